//! Hosts of two regions with targets that crash when they begin to answer certain requests, or requests with a certain prompt
//! part.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use lw_base::prelude::*;
use lw_relay::{
    AnswerForm, EngineCapacity, Host, Plan, RouteTable, Service, Target, TargetLoad, run_heartbeats,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::support::*;
use crate::warming_target::HEALTH_PATH;

const REGIONS: [&str; 2] = ["north", "south"];
/// An engine reads a prompt for this long before it sends the first event.
const PREFILL: Duration = Duration::from_millis(30);
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const EVENTS_PER_ANSWER: u64 = 5;
/// More events than it takes to show that an engine has begun to answer without a crash.
const LATE_CRASH_EVENTS: u64 = 25;
/// An engine is back this long after a crash, as a new incarnation at the same address.
const RESTART_DELAY: Duration = Duration::from_millis(900);
/// An engine that hangs goes on after this time, and answers the requests of that time no more.
const HANG: Duration = Duration::from_secs(4);
/// Hosts learn of the new incarnation after this time.
const LISTING_DELAY: Duration = Duration::from_millis(200);

type SharedLoad = Rc<RefCell<TargetLoad>>;

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    pub(crate) parts: String,
    pub(crate) path: String,
}

struct Engine {
    region: &'static str,
    address: SocketAddr,
    /// Counts the starts of the process.
    incarnation: Cell<u64>,
    crash: tokio::sync::Notify,
    hangs_until: Cell<Option<Instant>>,
}

impl Engine {
    fn hangs(&self) -> bool {
        let until = self.hangs_until.get();
        until.is_some_and(|until| Instant::now() < until)
    }
}

/// What a crashing part does to an engine that begins to answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    Crash,
    /// A crash in the middle of the answer, after [`LATE_CRASH_EVENTS`].
    LateCrash,
    Hang,
}

/// Hosts and engines of two regions.
pub(crate) struct EngineFleet {
    pub(crate) hosts: RefCell<Vec<Rc<Host>>>,
    engines: Vec<Engine>,
    options: RouteOptions,
    effect: Effect,
    addresses: Vec<Ipv4Addr>,
    /// Engines crash when they begin to answer a request with one of these parts.
    pub(crate) crashing_parts: RefCell<Vec<String>>,
    /// The same for requests with one of these paths.
    pub(crate) crashing_paths: RefCell<Vec<String>>,
    pub(crate) arrivals: RefCell<Vec<Arrival>>,
    pub(crate) crashes: RefCell<Vec<Instant>>,
    /// The load of each incarnation of an engine as known to each host.
    loads: RefCell<BTreeMap<(usize, String), SharedLoad>>,
}

impl EngineFleet {
    /// Starts the fleet and waits until the hosts have heard from one another.
    pub(crate) async fn start(
        options: RouteOptions,
        effect: Effect,
        hosts_per_region: usize,
        engines_per_region: usize,
    ) -> Rc<Self> {
        let mut engines = Vec::new();
        let mut listeners = Vec::new();
        for region in REGIONS {
            for _ in 0..engines_per_region {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
                engines.push(Engine {
                    region,
                    address: listener.local_addr().expect("a bound socket"),
                    incarnation: Cell::new(1),
                    crash: tokio::sync::Notify::new(),
                    hangs_until: Cell::default(),
                });
                listeners.push(listener);
            }
        }
        let addresses = (0..hosts_per_region * REGIONS.len()).map(|_| unique_loopback_address());
        let fleet = Rc::new(Self {
            hosts: RefCell::default(),
            engines,
            options,
            effect,
            addresses: addresses.collect(),
            crashing_parts: RefCell::default(),
            crashing_paths: RefCell::default(),
            arrivals: RefCell::default(),
            crashes: RefCell::default(),
            loads: RefCell::default(),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            tokio::task::spawn_local(fleet.clone().run_engine(index, listener));
        }
        for index in 0..fleet.addresses.len() {
            let region = REGIONS[index / hosts_per_region];
            let seeds = fleet.addresses.clone();
            let plan = fleet.plan(index);
            let host = start_host_in(region, fleet.addresses[index], seeds, plan).await;
            run_heartbeats(host.clone()).await.expect("a free port");
            fleet.hosts.borrow_mut().push(host);
        }
        // Longer than two intervals of heartbeats.
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet
    }

    fn plan(&self, host: usize) -> Plan {
        let mut plan = plan_with_route(self.options, &[]);
        plan.services = NamedArena::default();
        let service = plan.services.push(
            "s",
            Service {
                name: "s".into(),
                hash: 1,
                max_connections: 100,
                cold_ms: 0,
                cold_per_s: 0.0,
                health_path: Some(HEALTH_PATH.into()),
                engine: (self.options.form != AnswerForm::Whole).then_some(EngineCapacity {
                    memory_tokens: 200_000,
                }),
            },
        );
        plan.routes = RouteTable::new([route_of(self.options, service)]);
        let targets = self.engines.iter().enumerate().map(|(index, engine)| {
            let incarnation = format!("t{index}#{}", engine.incarnation.get());
            let mut loads = self.loads.borrow_mut();
            let load = loads.entry((host, incarnation.clone())).or_default();
            Target {
                id: incarnation.as_str().into(),
                hash: lw_relay::short_hash(&incarnation),
                incarnation: incarnation.into(),
                service,
                address: engine.address,
                zone: "z".into(),
                region: engine.region.into(),
                slots: 16,
                is_in_service: true,
                load: load.clone(),
            }
        });
        plan.targets = vec![targets.collect()];
        plan
    }

    /// Serves as one engine: until it crashes, and again after a delay.
    async fn run_engine(self: Rc<Self>, index: usize, mut listener: TcpListener) {
        let engine = &self.engines[index];
        loop {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let (stream, _) = accepted.expect("a connection");
                        connections.spawn_local(self.clone().serve(index, stream));
                    }
                    () = engine.crash.notified() => break,
                }
            }
            self.crashes.borrow_mut().push(Instant::now());
            drop(listener);
            connections.shutdown().await;
            tokio::time::sleep(RESTART_DELAY).await;
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.set_reuseaddr(true).expect("a socket option");
            socket.bind(engine.address).expect("the engine's own port");
            listener = socket.listen(64).expect("a bound socket");
            engine.incarnation.set(engine.incarnation.get() + 1);
            let fleet = self.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(LISTING_DELAY).await;
                let hosts = fleet.hosts.borrow();
                for (index, host) in hosts.iter().enumerate() {
                    host.set_plan(fleet.plan(index));
                }
            });
        }
    }

    async fn serve(self: Rc<Self>, index: usize, mut stream: TcpStream) {
        let engine = &self.engines[index];
        while let Some(head) = read_request(&mut stream).await {
            if engine.hangs() {
                std::future::pending::<()>().await;
            }
            if head.starts_with(&format!("GET {HEALTH_PATH} ")) {
                let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let id = header(&head, "x-attempt").unwrap_or_default();
            let parts = header(&head, "x-parts").unwrap_or_default();
            let target = header(&head, "x-target").unwrap_or_default();
            if target != format!("t{index}#{}", engine.incarnation.get()) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nx-attempt: {id}\r\ncontent-length: 0\r\n\r\n"
                );
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let is_crashing = self.crashing_paths.borrow().contains(&path) || {
                let crashing = self.crashing_parts.borrow();
                parts
                    .split(',')
                    .filter_map(|part| part.split_once(':'))
                    .any(|(id, _)| crashing.iter().any(|crashing| crashing == id))
            };
            self.arrivals.borrow_mut().push(Arrival {
                at: Instant::now(),
                parts,
                path,
            });
            tokio::time::sleep(PREFILL).await;
            if self.options.form == AnswerForm::Whole {
                if is_crashing {
                    engine.crash.notify_one();
                    std::future::pending::<()>().await;
                }
                let answer = ok_response("done").replace(ATTEMPT_ID, &id);
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let head = stream_head().replace(ATTEMPT_ID, &id);
            if stream.write_all(head.as_bytes()).await.is_err() {
                return;
            }
            if is_crashing && self.effect == Effect::LateCrash {
                for number in 1..=LATE_CRASH_EVENTS {
                    let part = chunk(&event(number));
                    if stream.write_all(part.as_bytes()).await.is_err() {
                        return;
                    }
                    tokio::time::sleep(EVENT_INTERVAL).await;
                }
            }
            if is_crashing && !engine.hangs() {
                match self.effect {
                    Effect::Crash | Effect::LateCrash => engine.crash.notify_one(),
                    Effect::Hang => {
                        engine.hangs_until.set(Some(Instant::now() + HANG));
                        self.crashes.borrow_mut().push(Instant::now());
                    }
                }
                std::future::pending::<()>().await;
            }
            for number in 1..=EVENTS_PER_ANSWER {
                if engine.hangs() {
                    std::future::pending::<()>().await;
                }
                let part = chunk(&event(number));
                if stream.write_all(part.as_bytes()).await.is_err() {
                    return;
                }
                tokio::time::sleep(EVENT_INTERVAL).await;
            }
            if stream.write_all(b"0\r\n\r\n").await.is_err() {
                return;
            }
        }
    }
}
