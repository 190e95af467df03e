//! Hosts whose state of the platform has aged, beside a target that turns cold.

use std::rc::Rc;
use std::time::{Duration, Instant};

use lw_mesh::{Heartbeat, HostAddress, HostStatus, StateDoubt, StateVersion};
use lw_relay::{Host, Plan};
use test_case::test_case;

use crate::support::*;
use crate::warming_target::*;

const HOSTS: usize = 4;
/// The requests per second that a cold target accepts: 3.5 per second, times 1.5, plus 3.
const LIMIT_PER_S: f64 = 8.25;
const COLD_PER_S: f64 = 3.5;
/// The interval between the requests of a host.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);
const COLD_AT: Duration = Duration::from_millis(1_200);
const RETURN_AT: Duration = Duration::from_millis(1_100);
const SILENT_AT: Duration = Duration::from_millis(1_000);
const END: Duration = Duration::from_millis(3_400);

/// What the hosts hear of one another and of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum News {
    /// Nothing: the hosts are cut off.
    None,
    /// They hear one another, and the platform answers none of them.
    Hosts,
    /// They hear one another, and the platform answers.
    HostsAndPlatform,
    /// They receive heartbeats of one another, and the platform answers. It falls silent just before the target turns cold.
    PlatformFallsSilent,
    /// They hear one another, and the platform answers again from [`RETURN_AT`] on. It does not know yet that the target
    /// has turned cold.
    PlatformReturns,
}

struct Case {
    name: &'static str,
    news: News,
    target: TargetOptions,
}

/// The least share of requests that are answered while the target is warm. A restart breaks those that it works on.
const MIN_SERVED: f64 = 1.0;
const MIN_SERVED_BEFORE_RESTART: f64 = 0.9;

const STATE: StateVersion = StateVersion {
    era: 1,
    revision: 7,
};
const TURNS_COLD: TargetOptions = TargetOptions {
    health: Health::Told,
    cold_at: Some(COLD_AT),
    down: None,
};
const STAYS_WARM: TargetOptions = TargetOptions {
    cold_at: None,
    ..TURNS_COLD
};

fn plan_with(target: &WarmingTarget) -> Plan {
    let scripted = ScriptedTarget {
        address: target.address,
        request_heads: Rc::default(),
        disconnects: Rc::default(),
        sent_without_end_bytes: Rc::default(),
    };
    let mut plan = plan_with_route(REPEATABLE, &[scripted]);
    let service = plan.services.keys().next().expect("one service");
    plan.services[service].cold_ms = 3_000;
    plan.services[service].cold_per_s = COLD_PER_S;
    plan.services[service].health_path = Some(HEALTH_PATH.into());
    plan
}

fn heartbeat_of(host: &Host, platform_age_ms: u16) -> Heartbeat {
    Heartbeat::new(
        HostAddress {
            host: host.settings.host.clone(),
            ip: host.settings.ip,
            zone: host.settings.zone.clone(),
            region: host.settings.region.clone(),
            started_ms: 1,
        },
        HostStatus {
            as_of: STATE,
            platform_contact_age_ms: platform_age_ms,
            capacity_permille: 250,
            stage: lw_mesh::Stage::Ready,
            ..HostStatus::default()
        },
    )
}

/// Lets the platform answer each host, if it answers, and lets each host hear from all others.
fn exchange_heartbeats(hosts: &[Rc<Host>], platform_answers: bool) {
    /// What hosts state while the platform is silent.
    const SILENT_MS: u16 = 6_000;
    for host in hosts.iter().filter(|_| platform_answers) {
        host.record_platform_answer();
    }
    for host in hosts {
        for other in hosts {
            let now = host.clock.now();
            let age_ms = if platform_answers { 0 } else { SILENT_MS };
            let mut heartbeat = heartbeat_of(other, age_ms);
            heartbeat.status.has_platform_returned =
                other.state_doubt(now) == Some(StateDoubt::PlatformReturned);
            if host.hosts.borrow_mut().record_heartbeat(now, &heartbeat) {
                host.record_state_of(now, STATE, &heartbeat.status);
            }
        }
    }
}

/// Sends requests to all hosts until `END`, and returns the time and the status of each answer.
async fn send_requests(hosts: &[Rc<Host>], start: Instant) -> Vec<(Duration, u16)> {
    let mut callers = Vec::new();
    for (index, host) in hosts.iter().enumerate() {
        let address = host.settings.caller_address;
        callers.push(tokio::task::spawn_local(async move {
            let mut answers = Vec::new();
            let mut number = 0;
            while start.elapsed() < END {
                let answer = call(address, &request(&format!("a{index}-{number}"))).await;
                answers.push((start.elapsed(), answer.status));
                number += 1;
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
            answers
        }));
    }
    let mut answers = Vec::new();
    for caller in callers {
        answers.extend(caller.await.expect("a caller that ends"));
    }
    answers
}

fn served_share(answers: &[(Duration, u16)], times: std::ops::Range<Duration>) -> f64 {
    let within: Vec<u16> = answers
        .iter()
        .filter(|(at, _)| times.contains(at))
        .map(|(_, status)| *status)
        .collect();
    let served = within.iter().filter(|status| **status == 200).count();
    served as f64 / within.len().max(1) as f64
}

fn run(case: &Case) {
    let name = case.name;
    on_one_thread(async {
        let target = WarmingTarget::start(case.target).await;
        let start = Instant::now();
        let mut hosts = Vec::new();
        for _ in 0..HOSTS {
            let ip = unique_loopback_address();
            hosts.push(start_host_in("north", ip, Vec::new(), plan_with(&target)).await);
        }
        let returns_at = match case.news {
            News::None | News::Hosts => END,
            News::HostsAndPlatform => Duration::ZERO,
            News::PlatformReturns => RETURN_AT,
            News::PlatformFallsSilent => Duration::ZERO,
        };
        let silent_from = match case.news {
            News::PlatformFallsSilent => SILENT_AT,
            _ => END,
        };
        let platform_answers = move || (returns_at..silent_from).contains(&start.elapsed());
        exchange_heartbeats(&hosts, platform_answers());
        let heartbeats = hosts.clone();
        if case.news != News::None {
            tokio::task::spawn_local(async move {
                loop {
                    tokio::time::sleep(Duration::from_millis(300)).await;
                    exchange_heartbeats(&heartbeats, platform_answers());
                }
            });
        }
        let answers = send_requests(&hosts, start).await;
        let peak = target.peak_cold_arrivals_per_s();
        assert!(
            peak as f64 <= LIMIT_PER_S,
            "{name}: {peak} requests in one second"
        );
        let down = case.target.down.unwrap_or_default();
        let warm_until = case.target.cold_at.map_or(END, |at| at - down);
        let min_served = match case.target.down {
            Some(_) => MIN_SERVED_BEFORE_RESTART,
            None => MIN_SERVED,
        };
        let served = served_share(&answers, Duration::ZERO..warm_until);
        assert!(
            served >= min_served,
            "{name}: {served} of the requests while warm"
        );
    });
}

/// Runs the cases side by side.
fn run_all(cases: &[Case]) {
    std::thread::scope(|scope| {
        for case in cases {
            scope.spawn(|| run(case));
        }
    });
}

/// Guards against hosts that flood a target that turned cold while they could not hear of it.
#[test]
fn hosts_with_an_aged_state_spare_a_target_that_turns_cold() {
    run_all(&[
        Case {
            name: "cut off",
            news: News::None,
            target: TURNS_COLD,
        },
        Case {
            name: "cut off, the target says that it fails",
            news: News::None,
            target: TargetOptions {
                health: Health::Failing,
                ..TURNS_COLD
            },
        },
        Case {
            name: "the platform is silent",
            news: News::Hosts,
            target: TURNS_COLD,
        },
        Case {
            name: "the platform returns",
            news: News::PlatformReturns,
            target: TURNS_COLD,
        },
        Case {
            name: "the target restarts under its id",
            news: News::HostsAndPlatform,
            target: TargetOptions {
                down: Some(Duration::ZERO),
                ..TURNS_COLD
            },
        },
        Case {
            name: "the target is down and restarts under its id",
            news: News::HostsAndPlatform,
            target: TargetOptions {
                down: Some(Duration::from_millis(700)),
                ..TURNS_COLD
            },
        },
    ]);
}

/// Guards against hosts that flood a target that turned cold while their state still counted as current.
#[test]
fn hosts_with_a_current_state_spare_a_target_that_turns_cold() {
    run_all(&[
        Case {
            name: "the platform has just fallen silent",
            news: News::PlatformFallsSilent,
            target: TURNS_COLD,
        },
        Case {
            name: "the entry of the target is late",
            news: News::HostsAndPlatform,
            target: TURNS_COLD,
        },
        Case {
            name: "the entry of the target is late, and the target says that it fails",
            news: News::HostsAndPlatform,
            target: TargetOptions {
                health: Health::Failing,
                ..TURNS_COLD
            },
        },
    ]);
}

/// Guards against hosts that give up warm targets because they cannot hear of them.
#[test]
fn hosts_with_an_aged_state_use_warm_targets() {
    let healths = [
        Health::Told,
        Health::Failing,
        Health::Rejected,
        Health::Silent,
    ];
    let cases = healths.map(|health| {
        let target = TargetOptions {
            health,
            ..STAYS_WARM
        };
        [
            ("cut off", News::None),
            ("the platform is silent", News::Hosts),
        ]
        .map(|(name, news)| Case { name, news, target })
    });
    run_all(cases.as_flattened());
}

struct RateCase {
    /// The time between two requests.
    interval: Duration,
    /// The most health checks for each request.
    max_checks: f64,
}

/// The requests that a lone host may send in a second without a check: 0.8 of [`LIMIT_PER_S`].
const UNVERIFIED_PER_S: f64 = 6.0;

// Guards against health checks, which cost the targets time, while the state of a host is current and its requests could not
// exceed the limit of a cold target.
#[test_case(&RateCase { interval: Duration::from_millis(200), max_checks: 0.0 }; "fewer requests than the limit")]
#[test_case(&RateCase { interval: Duration::from_millis(5), max_checks: 1.0 / UNVERIFIED_PER_S }; "more requests than the limit")]
fn hosts_with_a_current_state_ask_no_target_without_need(case: &RateCase) {
    const REQUESTS: usize = 20;
    on_one_thread(async {
        let target = WarmingTarget::start(STAYS_WARM).await;
        let host = start_host_in(
            "north",
            unique_loopback_address(),
            Vec::new(),
            plan_with(&target),
        )
        .await;
        for index in 0..REQUESTS {
            host.record_watch_answer();
            let answer = call(host.settings.caller_address, &request(&format!("a{index}"))).await;
            assert_eq!(answer.status, 200);
            tokio::time::sleep(case.interval).await;
        }
        let checks = target.health_checks.get() as f64;
        assert!(checks <= case.max_checks * REQUESTS as f64, "{checks}");
    });
}

/// Guards against a burst whose last requests have no time left for a check, so that the target counts as one that answers
/// none, and is not asked any more.
#[test]
fn a_burst_does_not_end_the_checks() {
    const BURST: usize = 200;
    on_one_thread(async {
        let target = WarmingTarget::start(TargetOptions {
            health: Health::ToldAfter(Duration::from_millis(20)),
            ..STAYS_WARM
        })
        .await;
        let host = start_host_in(
            "north",
            unique_loopback_address(),
            Vec::new(),
            plan_with(&target),
        )
        .await;
        host.record_watch_answer();
        let address = host.settings.caller_address;
        let burst: Vec<_> = (0..BURST)
            .map(|index| {
                tokio::task::spawn_local(async move {
                    call(address, &request(&format!("b{index}"))).await
                })
            })
            .collect();
        for answer in burst {
            answer.await.expect("a caller that ends");
        }
        let checks = target.health_checks.get();
        for index in 0..BURST {
            host.record_watch_answer();
            call(address, &request(&format!("a{index}"))).await;
        }
        assert!(target.health_checks.get() > checks, "{checks} checks");
    });
}
