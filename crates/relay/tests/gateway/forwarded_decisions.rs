//! Requests that are forwarded between hosts with different versions of the configuration.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lw_base::prelude::*;
use lw_mesh::{Item, Listing, ServiceUsage, StateVersion};
use lw_relay::{Host, Plan, Route, RouteTable, WeightedService, run_heartbeats};
use test_case::test_case;

use crate::run_delay::RunDelays;
use crate::support::*;

/// The key of the configuration's version in the platform state.
const VERSION_KEY: &str = "version";
/// The version that moves the route from the old service to the new one.
const MOVED: u64 = 2;
const OLD: ServiceKey = ServiceKey(0);
const OLD_HASH: u32 = 1;
const NEW: ServiceKey = ServiceKey(1);
const NEW_HASH: u32 = 2;
/// The requests of a test of the service that runs them.
const REQUESTS: usize = 32;

/// The targets of both services.
#[derive(Clone)]
struct Targets {
    old: ScriptedTarget,
    new: ScriptedTarget,
}

impl Targets {
    async fn start() -> Self {
        let script = vec![vec![Action::Send(ok_response("x"))]];
        Self {
            old: ScriptedTarget::start(script.clone()).await,
            new: ScriptedTarget::start(script).await,
        }
    }

    fn runs(&self) -> [usize; 2] {
        [&self.old, &self.new].map(|target| target.request_heads.borrow().len())
    }
}

/// Returns a plan with both services, and a route with these weights.
fn plan_of(version: u64, weights: &[(ServiceKey, f64)], targets: Option<&Targets>) -> Plan {
    let of_service = |target: Option<&ScriptedTarget>| {
        plan_with_route(ONCE, target.map_or(&[], std::slice::from_ref))
    };
    let mut plan = of_service(targets.map(|targets| &targets.old));
    let of_new = of_service(targets.map(|targets| &targets.new));
    let mut service = plan.services[OLD].clone();
    service.name = "new".into();
    service.hash = NEW_HASH;
    plan.services.push("new", service);
    let targets = of_new.targets.into_iter().flatten().map(|mut target| {
        target.id = "new".into();
        target.hash = 99;
        target.service = NEW;
        target
    });
    plan.targets.push(targets.collect());
    plan.version = version;
    let weights = weights.iter().map(|(service, weight)| WeightedService {
        service: *service,
        weight: *weight,
    });
    plan.routes = RouteTable::new([Route {
        services: weights.collect(),
        ..route_of(ONCE, OLD)
    }]);
    plan
}

fn plan_at(version: u64, targets: Option<&Targets>) -> Plan {
    let service = if version < MOVED { OLD } else { NEW };
    plan_of(version, &[(service, 1.0)], targets)
}

/// Starts a host whose plan follows its copy of the platform state.
async fn start_following_host(region: &str, plan: Plan, targets: Option<Targets>) -> Rc<Host> {
    let settings = host_settings(region, unique_loopback_address(), PEER_PORT, Vec::new());
    let on_changed = move |host: &Host, _: &_| {
        let mirror = host.mirror.borrow();
        let item = mirror.get(VERSION_KEY).expect("a version");
        let version = str::from_utf8(&item.value).expect("a text").parse();
        drop(mirror);
        host.set_plan(plan_at(version.expect("a number"), targets.as_ref()));
    };
    start_host_with_changes(settings, plan, Box::new(on_changed)).await
}

/// Writes a version into a host's copy of the platform state.
fn write_version(host: &Host, version: u64) {
    let item = Item {
        value: version.to_string().into(),
        revision: version,
    };
    let listing = Listing {
        as_of: StateVersion {
            era: 1,
            revision: version,
        },
        items: [(VERSION_KEY.into(), item)].into(),
    };
    host.update_mirror(|mirror, now| mirror.replace(now, listing));
}

/// Lets a host know that another one has free slots for both services.
fn record_free_slots(host: &Host, other: &Host) {
    let mut heartbeat = heartbeat_with_free_slots(other);
    let usage = heartbeat.status.services[0];
    heartbeat.status.services = [OLD_HASH, NEW_HASH]
        .map(|service| ServiceUsage { service, ..usage })
        .to_vec();
    let now = host.clock.now();
    assert!(host.hosts.borrow_mut().record_heartbeat(now, &heartbeat));
}

struct Case {
    /// The version at the host that the caller sends the request to.
    first_version: u64,
    /// The version at the host that has the targets.
    second_version: u64,
    /// The second host may get the platform state of the first one.
    may_fetch: bool,
    /// The second host's plan has no route before it fetches the platform state.
    is_route_new: bool,
    status: u16,
    /// The requests that reach the target of the old service, and that of the new one.
    runs: [usize; 2],
}

const BEHIND: Case = Case {
    first_version: MOVED,
    second_version: 1,
    may_fetch: true,
    is_route_new: false,
    status: 200,
    runs: [0, 1],
};
const SAME: Case = Case {
    second_version: MOVED,
    ..BEHIND
};
const AHEAD: Case = Case {
    first_version: 1,
    second_version: MOVED,
    ..BEHIND
};
const BOTH_OLD: Case = Case {
    first_version: 1,
    runs: [1, 0],
    ..BEHIND
};

// Guards against a host that handles a forwarded request by an older configuration than its sender.
#[test_case(&BOTH_OLD; "both are old")]
#[test_case(&SAME; "both are new")]
#[test_case(&AHEAD; "the second is ahead")]
#[test_case(&BEHIND; "the second is behind")]
#[test_case(&Case { is_route_new: true, ..BEHIND }; "the second does not know the route")]
#[test_case(&Case { may_fetch: false, status: 503, runs: [0, 0], ..BEHIND }; "the second stays behind")]
#[test_case(&Case { may_fetch: false, is_route_new: true, status: 503, runs: [0, 0], ..BEHIND }; "the second stays without the route")]
fn a_forwarded_request_is_not_handled_by_an_older_configuration(case: &Case) {
    on_one_thread(async {
        let targets = Targets::start().await;
        let mut plan = plan_at(case.second_version, Some(&targets));
        if case.is_route_new {
            plan.routes = RouteTable::default();
        }
        let second = start_following_host("north", plan, Some(targets.clone())).await;
        let plan = plan_at(case.first_version, None);
        let first = start_following_host("north", plan, None).await;
        if case.may_fetch {
            write_version(&first, case.first_version);
        }
        record_free_slots(&first, &second);
        let answer = call(first.settings.caller_address, &request("a1")).await;
        assert_eq!(answer.status, case.status, "{answer:?}");
        if answer.status == 503 {
            assert!(answer.body.contains(r#""outcome":"not_"#), "{answer:?}");
        }
        assert_eq!(targets.runs(), case.runs);
    });
}

/// Guards against a request that is refused because the update of the configuration reaches the second host only after
/// the request.
#[test]
fn a_forwarded_request_waits_for_the_configuration() {
    on_one_thread(async {
        let targets = Targets::start().await;
        let plan = plan_at(1, Some(&targets));
        let second = start_following_host("north", plan, Some(targets.clone())).await;
        let first = start_following_host("north", plan_at(MOVED, None), None).await;
        record_free_slots(&first, &second);
        let address = first.settings.caller_address;
        let caller = tokio::task::spawn_local(async move { call(address, &request("a1")).await });
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(targets.runs(), [0, 0]);
        write_version(&second, MOVED);
        let answer = caller.await.expect("the caller task completes");
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(targets.runs(), [0, 1]);
    });
}

struct SplitCase {
    /// The weights of the old and the new service at the second host.
    weights: [f64; 2],
    /// The decision of the sender.
    decision: Option<(u64, u32)>,
    /// The runs of the new service.
    runs_of_new: std::ops::Range<usize>,
}

const EVEN: [f64; 2] = [1.0, 1.0];
const SOME: std::ops::Range<usize> = 1..REQUESTS;
const ALL: std::ops::Range<usize> = REQUESTS..REQUESTS + 1;
const NONE: std::ops::Range<usize> = 0..1;

// Guards against a host that draws the service of a forwarded request once more.
#[test_case(&SplitCase { weights: EVEN, decision: Some((MOVED, NEW_HASH)), runs_of_new: ALL }; "the new service")]
#[test_case(&SplitCase { weights: EVEN, decision: Some((MOVED, OLD_HASH)), runs_of_new: NONE }; "the old service")]
#[test_case(&SplitCase { weights: EVEN, decision: Some((1, NEW_HASH)), runs_of_new: ALL }; "by an older configuration")]
#[test_case(&SplitCase { weights: [1.0, 0.0], decision: Some((1, NEW_HASH)), runs_of_new: NONE }; "the route no longer uses the service")]
#[test_case(&SplitCase { weights: EVEN, decision: Some((1, 7)), runs_of_new: SOME }; "an unknown service")]
#[test_case(&SplitCase { weights: EVEN, decision: None, runs_of_new: SOME }; "no decision")]
fn a_forwarded_request_keeps_its_service(case: &SplitCase) {
    on_one_thread(async {
        let targets = Targets::start().await;
        let [old, new] = case.weights;
        let plan = plan_of(MOVED, &[(OLD, old), (NEW, new)], Some(&targets));
        let host = start_following_host("north", plan, None).await;
        let peer_address = (host.settings.ip, PEER_PORT).into();
        let decision = case.decision.map(|(version, service)| {
            format!(
                "x-relay-decision: {version} {service} {}\r\n",
                host.settings.ip
            )
        });
        let headers =
            decision.unwrap_or_default() + "x-relay-near: 1\r\nx-relay-remaining-ms: 1000";
        for id in 0..REQUESTS {
            let request = request(&format!("a{id}")).replace("x-remaining: 1500", &headers);
            let answer = call(peer_address, &request).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        let [of_old, of_new] = targets.runs();
        assert_eq!(of_old + of_new, REQUESTS);
        assert!(
            case.runs_of_new.contains(&of_new),
            "{of_new} runs of the new service"
        );
    });
}

/// A host may act on an older version for this long after the effect of a newer one was seen.
const MAX_REGRESSION: Duration = Duration::from_millis(250);
/// After this time a test gives up waiting.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the time until a host has a version of the configuration.
async fn time_until_version(host: &Host, version: u64, delays: &RunDelays) -> Duration {
    let began_at = Instant::now();
    while host.plan().version < version {
        assert!(began_at.elapsed() < TEST_TIMEOUT, "version {version}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    delays.undelayed_since(began_at).await
}

// Guards against a host that keeps an older configuration than the hosts that it forwards requests to, because it waits for its
// own watch of the platform.
#[test_case(true; "its watches are refused")]
#[test_case(false; "its watches are not answered")]
fn a_host_gets_the_configuration_of_the_hosts_that_it_forwards_to(is_refused: bool) {
    on_one_thread(async {
        let delays = RunDelays::start();
        let first = start_following_host("north", plan_at(1, None), None).await;
        let second = start_following_host("north", plan_at(1, None), None).await;
        for (host, other) in [(&first, &second), (&second, &first)] {
            record_free_slots(host, other);
            write_version(host, 1);
            run_heartbeats(host.clone()).await.expect("a free port");
        }
        for version in [MOVED, MOVED + 1, MOVED + 2] {
            // Not a multiple of the interval of heartbeats.
            tokio::time::sleep(Duration::from_millis(930)).await;
            if is_refused {
                first.record_watch_failure();
            }
            write_version(&second, version);
            let took = time_until_version(&first, version, &delays).await;
            assert!(took < MAX_REGRESSION, "version {version}: {took:?}");
        }
    });
}

/// The other hosts of a large region: a heartbeat of a host of another region reaches some of them only.
const OTHER_HOSTS: u8 = 200;

/// Lets a host know many hosts of a region.
fn fill_region(host: &Host, region: &str) {
    for index in 0..OTHER_HOSTS {
        let mut heartbeat = heartbeat_with_free_slots(host);
        heartbeat.address.host = format!("other-{index}").into();
        heartbeat.address.ip = Ipv4Addr::new(127, 1, 0, index);
        heartbeat.address.region = region.into();
        heartbeat.status.services.clear();
        let now = host.clock.now();
        assert!(host.hosts.borrow_mut().record_heartbeat(now, &heartbeat));
    }
}

// Guards against a host of a large region that goes on with an older configuration after a host with a newer one has handled its
// request: the next heartbeat to it may be seconds away.
#[test_case(true; "its watches are refused")]
#[test_case(false; "its watches are not answered")]
fn a_host_gets_the_configuration_of_a_host_that_is_ahead(is_refused: bool) {
    on_one_thread(async {
        let targets = Targets::start().await;
        let delays = RunDelays::start();
        let first = start_following_host("south", plan_at(1, None), None).await;
        let plan = plan_at(1, Some(&targets));
        let second = start_following_host("north", plan, Some(targets.clone())).await;
        record_free_slots(&first, &second);
        for host in [&first, &second] {
            write_version(host, 1);
            run_heartbeats(host.clone()).await.expect("a free port");
        }
        tokio::time::sleep(Duration::from_millis(930)).await;
        if is_refused {
            first.record_watch_failure();
        }
        fill_region(&second, "south");
        write_version(&second, MOVED);
        let answer = call(first.settings.caller_address, &request("a1")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(targets.runs(), [0, 1]);
        let took = time_until_version(&first, MOVED, &delays).await;
        assert!(took < MAX_REGRESSION, "{took:?}");
    });
}
