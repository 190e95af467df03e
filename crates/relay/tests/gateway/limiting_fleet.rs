//! Hosts and targets of which some name a limit on their requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lw_base::prelude::*;
use lw_mesh::{HostAddress, ListedHost};
use lw_relay::{
    AnswerForm, EngineCapacity, Host, Plan, RouteTable, Service, Target, TargetLoad, run_heartbeats,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::support::*;
use crate::warming_target::HEALTH_PATH;

/// A target works on a request for this long.
const WORK: Duration = Duration::from_millis(20);
const EVENTS_PER_ANSWER: u64 = 3;
/// A limit holds for each interval of this length, see [`allowed`].
const WINDOW: Duration = Duration::from_secs(4);
/// Hosts must keep a limit from this long after its target first named it.
const SETTLE: Duration = Duration::from_secs(1);

/// How a target answers a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    Serves,
    /// It answers every second request with an error.
    Fails,
    /// It breaks every second stream after its first event.
    Breaks,
}

/// Options of a fleet.
#[derive(Clone, Copy)]
pub(crate) struct FleetOptions {
    pub(crate) route: RouteOptions,
    pub(crate) regions: &'static [&'static str],
    pub(crate) hosts_per_region: usize,
    pub(crate) targets_per_region: usize,
    pub(crate) is_engine: bool,
    /// The hosts hear one another; otherwise they know one another from the platform's list.
    pub(crate) hears_hosts: bool,
    pub(crate) behaviour: Behaviour,
    /// The limit that a target names at a time after the start of the traffic.
    pub(crate) limit_per_s: fn(target: usize, at: Duration) -> Option<f64>,
}

pub(crate) struct Fleet {
    options: FleetOptions,
    pub(crate) hosts: Vec<Rc<Host>>,
    /// The addresses of the targets.
    addresses: Vec<SocketAddr>,
    /// The start of the traffic.
    pub(crate) began_at: Instant,
    /// When requests, health checks included, arrived at each target.
    arrivals: Vec<RefCell<Vec<Duration>>>,
}

/// Returns the number of requests that a target with a limit may get within [`WINDOW`].
fn allowed(limit_per_s: f64) -> f64 {
    1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0
}

impl Fleet {
    /// Starts the fleet and waits until the hosts have heard from one another.
    pub(crate) async fn start(options: FleetOptions) -> Rc<Self> {
        let hosts = options.regions.len() * options.hosts_per_region;
        let targets = options.regions.len() * options.targets_per_region;
        let mut listeners = Vec::new();
        for _ in 0..targets {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("a free port"));
        }
        let addresses: Vec<SocketAddr> = listeners
            .iter()
            .map(|listener| listener.local_addr().expect("a bound socket"))
            .collect();
        let ips: Vec<_> = (0..hosts).map(|_| unique_loopback_address()).collect();
        let mut started = Vec::new();
        for (index, ip) in ips.iter().enumerate() {
            let region = options.regions[index / options.hosts_per_region];
            let plan = plan_of(&options, &addresses);
            let peer_port = match options.hears_hosts {
                true => PEER_PORT,
                // Each host sends its heartbeats to its own port, where no other one listens.
                false => PEER_PORT + 1 + index as u16,
            };
            let seeds = ips.clone();
            let host = start_host_with_port(region, *ip, peer_port, seeds, plan).await;
            run_heartbeats(host.clone()).await.expect("a free port");
            started.push(host);
        }
        if !options.hears_hosts {
            list_hosts(&started);
        }
        // Longer than two intervals of heartbeats.
        tokio::time::sleep(Duration::from_secs(1)).await;
        let fleet = Rc::new(Self {
            options,
            hosts: started,
            addresses,
            began_at: Instant::now(),
            arrivals: vec![RefCell::default(); targets],
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let fleet = fleet.clone();
            tokio::task::spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::task::spawn_local(fleet.clone().serve(index, stream));
                }
            });
        }
        fleet
    }

    /// Starts a further host of the first region, which knows the others as seeds.
    pub(crate) async fn start_host(&self) -> Rc<Host> {
        let seeds = self.hosts.iter().map(|host| host.settings.ip).collect();
        let plan = plan_of(&self.options, &self.addresses);
        let ip = unique_loopback_address();
        let host = start_host_in(self.options.regions[0], ip, seeds, plan).await;
        run_heartbeats(host.clone()).await.expect("a free port");
        host
    }

    async fn serve(self: Rc<Self>, target: usize, mut stream: TcpStream) {
        while let Some(head) = read_request(&mut stream).await {
            let number = {
                let mut arrivals = self.arrivals[target].borrow_mut();
                arrivals.push(self.began_at.elapsed());
                arrivals.len()
            };
            if head.starts_with(&format!("GET {HEALTH_PATH} ")) {
                let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let limit = (self.options.limit_per_s)(target, self.began_at.elapsed());
            tokio::time::sleep(WORK).await;
            let is_faulty = number.is_multiple_of(2);
            let answer = self.answer(&head, limit, is_faulty);
            let sent = stream.write_all(answer.as_bytes()).await;
            if sent.is_err() || (is_faulty && self.options.behaviour == Behaviour::Breaks) {
                return;
            }
        }
    }

    fn answer(&self, head: &str, limit: Option<f64>, is_faulty: bool) -> String {
        let id = header(head, "x-attempt").unwrap_or_default();
        let named = limit.map_or_else(String::new, |limit| format!("x-limit: {limit}\r\n"));
        let answer = match (self.options.route.form, self.options.behaviour) {
            (_, Behaviour::Fails) if is_faulty => {
                ok_response("error").replace("200 OK", "500 Error")
            }
            (AnswerForm::Whole, _) => ok_response("whole"),
            (AnswerForm::Events { .. }, behaviour) => {
                let first = header(head, "last-event-id").and_then(|text| text.parse().ok());
                let first = first.map_or(1, |last: u64| last + 1);
                let mut answer = stream_head();
                for number in first..=EVENTS_PER_ANSWER.max(first) {
                    answer.push_str(&chunk(&event(number)));
                    if is_faulty && behaviour == Behaviour::Breaks {
                        return answer.replace(ATTEMPT_ID, &id).replacen(
                            "\r\n",
                            &format!("\r\n{named}"),
                            1,
                        );
                    }
                }
                answer.push_str("0\r\n\r\n");
                answer
            }
        };
        answer
            .replace(ATTEMPT_ID, &id)
            .replacen("\r\n", &format!("\r\n{named}"), 1)
    }

    /// Returns, for the worst interval of any target, the number of requests that arrived and the number allowed.
    pub(crate) fn worst_window(&self) -> Option<(usize, f64)> {
        let mut worst: Option<(usize, f64)> = None;
        for (target, arrivals) in self.arrivals.iter().enumerate() {
            let arrivals = arrivals.borrow();
            for (first, from) in arrivals.iter().enumerate() {
                let Some(allowed) = self.allowed_from(target, *from) else {
                    continue;
                };
                let within = arrivals[first..].iter();
                let count = within.take_while(|at| **at < *from + WINDOW).count();
                if worst.is_none_or(|(most, bound)| count as f64 / allowed > most as f64 / bound) {
                    worst = Some((count, allowed));
                }
            }
        }
        worst
    }

    /// Returns the number of requests that a target may get in the interval that begins at `from`, or `None` if the target
    /// does not name a limit throughout.
    fn allowed_from(&self, target: usize, from: Duration) -> Option<f64> {
        const STEP: Duration = Duration::from_millis(100);
        let steps = WINDOW.as_millis() / STEP.as_millis();
        let limit_at = |at| (self.options.limit_per_s)(target, at);
        limit_at(from.checked_sub(SETTLE)?)?;
        // Requests that were sent by a former limit arrive a bit later.
        let since = from.checked_sub(SETTLE)?;
        let settling_steps = (SETTLE.as_millis() / STEP.as_millis()) as u32;
        let mut highest: f64 = 0.0;
        for step in 0..=(steps as u32 + settling_steps) {
            highest = highest.max(limit_at(since + STEP * step)?);
        }
        Some(allowed(highest))
    }

    /// Returns the number of requests that arrived at a target in an interval.
    pub(crate) fn arrivals_within(&self, target: usize, times: std::ops::Range<Duration>) -> usize {
        let arrivals = self.arrivals[target].borrow();
        arrivals.iter().filter(|at| times.contains(at)).count()
    }
}

/// Lets the hosts know one another from the platform's list only.
fn list_hosts(hosts: &[Rc<Host>]) {
    for host in hosts {
        for other in hosts {
            let settings = &other.settings;
            host.record_listed_host(ListedHost {
                address: HostAddress {
                    host: settings.host.clone(),
                    ip: settings.ip,
                    zone: settings.zone.clone(),
                    region: settings.region.clone(),
                    started_ms: other.started_ms,
                },
                capacity_permille: settings.capacity_permille,
            });
        }
    }
}

fn plan_of(options: &FleetOptions, addresses: &[SocketAddr]) -> Plan {
    let mut plan = plan_with_route(options.route, &[]);
    plan.services = NamedArena::default();
    let service = plan.services.push(
        "s",
        Service {
            name: "s".into(),
            hash: 1,
            max_connections: 400,
            cold_ms: 0,
            cold_per_s: 0.0,
            health_path: Some(HEALTH_PATH.into()),
            engine: options.is_engine.then_some(EngineCapacity {
                memory_tokens: 200_000,
            }),
        },
    );
    plan.routes = RouteTable::new([route_of(options.route, service)]);
    let targets = addresses.iter().enumerate().map(|(index, address)| {
        let incarnation = format!("t{index}#1");
        Target {
            id: incarnation.as_str().into(),
            hash: lw_relay::short_hash(&incarnation),
            incarnation: incarnation.into(),
            service,
            address: *address,
            zone: "z".into(),
            region: options.regions[index / options.targets_per_region].into(),
            slots: 64,
            is_in_service: true,
            load: Rc::new(RefCell::new(TargetLoad::default())),
        }
    });
    plan.targets = vec![targets.collect()];
    plan
}
