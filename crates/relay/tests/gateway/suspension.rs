//! A host whose process stands still for a while.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use lw_base::prelude::*;
use lw_mesh::{Heartbeat, HostAddress, HostStatus, Listing, Stage, StateDoubt, StateVersion};
use lw_relay::{must_wait_for_state, run_heartbeats};
use test_case::test_case;

use crate::support::*;

const STATE: StateVersion = StateVersion {
    era: 1,
    revision: 7,
};

fn heartbeat_from(ip: std::net::Ipv4Addr) -> Vec<u8> {
    let heartbeat = Heartbeat::new(
        HostAddress {
            host: ip.to_string().into(),
            ip,
            zone: "z".into(),
            region: "north".into(),
            started_ms: 1,
        },
        HostStatus {
            stage: Stage::Ready,
            as_of: STATE,
            platform_contact_age_ms: 0,
            ..HostStatus::default()
        },
    );
    heartbeat.encode().expect("a heartbeat can be encoded")
}

/// Guards against a host that takes heartbeats of the time in which it stood still for the current state.
#[test]
fn a_host_that_wakes_does_not_trust_the_heartbeats_that_waited() {
    on_one_thread(async {
        let plan = plan_with_route(ONCE, &[]);
        let host = start_host_in("north", unique_loopback_address(), Vec::new(), plan).await;
        let listing = Listing {
            items: std::collections::BTreeMap::default(),
            as_of: STATE,
        };
        host.update_mirror(|mirror, now| mirror.replace(now, listing));
        run_heartbeats(host.clone()).await.expect("a free port");
        let other = unique_loopback_address();
        let socket = UdpSocket::bind(SocketAddr::from((other, 0))).expect("a free port");
        let to = SocketAddr::from((host.settings.ip, host.settings.peer_port));
        let beat = heartbeat_from(other);
        let send = || socket.send_to(&beat, to).expect("a datagram");
        send();
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(host.state_doubt(host.clock.now()), None);
        for _ in 0..20 {
            send();
        }
        std::thread::sleep(Duration::from_millis(1_600));
        for _ in 0..20 {
            tokio::time::sleep(Duration::from_millis(10)).await;
            let doubt = host.state_doubt(host.clock.now());
            assert_eq!(doubt, Some(StateDoubt::Isolated));
        }
        send();
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(host.state_doubt(host.clock.now()), None);
    });
}

/// Guards against a host that acts on its last state until the next regular heartbeat after it has woken.
#[test]
fn a_host_that_wakes_fetches_the_state_before_it_serves() {
    on_one_thread(async {
        let script = vec![vec![Action::Send(ok_response("one"))]];
        let target = ScriptedTarget::start(script).await;
        let host = start_host(REPEATABLE, std::slice::from_ref(&target)).await;
        let neighbour = start_host(REPEATABLE, &[]).await;
        let newer = StateVersion {
            revision: STATE.revision + 1,
            ..STATE
        };
        for (host, as_of) in [(&host, STATE), (&neighbour, newer)] {
            let listing = Listing {
                items: std::collections::BTreeMap::default(),
                as_of,
            };
            host.update_mirror(|mirror, now| mirror.replace(now, listing));
        }
        let heartbeat = Heartbeat::decode(&heartbeat_from(neighbour.settings.ip));
        let heartbeat = heartbeat.expect("a heartbeat");
        let now = host.clock.now();
        host.hosts.borrow_mut().record_heartbeat(now, &heartbeat);
        run_heartbeats(host.clone()).await.expect("a free port");
        tokio::time::sleep(Duration::from_millis(100)).await;
        std::thread::sleep(Duration::from_millis(1_600));
        let answer = call(host.settings.caller_address, &request("a1")).await;
        assert_eq!(answer.status, 200);
        assert_eq!(host.mirror.borrow().as_of(), newer);
    });
}

/// Guards against hosts that wake together and confirm one another's old states.
#[test]
fn hosts_that_wake_together_stay_in_doubt() {
    on_one_thread(async {
        let ips = [unique_loopback_address(), unique_loopback_address()];
        let mut hosts = Vec::new();
        for ip in ips {
            let plan = plan_with_route(ONCE, &[]);
            let host = start_host_in("north", ip, ips.to_vec(), plan).await;
            let listing = Listing {
                items: std::collections::BTreeMap::default(),
                as_of: STATE,
            };
            host.update_mirror(|mirror, now| mirror.replace(now, listing));
            host.record_watch_answer();
            run_heartbeats(host.clone()).await.expect("a free port");
            hosts.push(host);
        }
        tokio::time::sleep(Duration::from_millis(600)).await;
        for host in &hosts {
            assert_eq!(host.state_doubt(host.clock.now()), None);
        }
        std::thread::sleep(Duration::from_millis(1_600));
        for _ in 0..100 {
            tokio::time::sleep(Duration::from_millis(10)).await;
            for host in &hosts {
                let doubt = host.state_doubt(host.clock.now());
                assert_eq!(doubt, Some(StateDoubt::Isolated));
            }
        }
        // The platform may have been silent meanwhile, so its first answers do not show yet that the state is current.
        hosts[0].record_watch_answer();
        tokio::time::sleep(Duration::from_millis(600)).await;
        for host in &hosts {
            let doubt = host.state_doubt(host.clock.now());
            assert_eq!(doubt, Some(StateDoubt::PlatformReturned));
        }
        for _ in 0..5 {
            hosts[0].record_watch_answer();
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
        assert_eq!(hosts[1].state_doubt(hosts[1].clock.now()), None);
    });
}

/// Guards against a host that stays silent after it has woken alone.
#[test]
fn a_host_that_wakes_alone_serves_and_sends_heartbeats() {
    on_one_thread(async {
        let script = vec![vec![Action::Send(ok_response("one"))]];
        let target = ScriptedTarget::start(script).await;
        let host = start_host(REPEATABLE, std::slice::from_ref(&target)).await;
        let other = unique_loopback_address();
        let address = SocketAddr::from((other, host.settings.peer_port));
        let socket = tokio::net::UdpSocket::bind(address)
            .await
            .expect("a free port");
        let heartbeat = Heartbeat::decode(&heartbeat_from(other)).expect("a heartbeat");
        let now = host.clock.now();
        host.hosts.borrow_mut().record_heartbeat(now, &heartbeat);
        run_heartbeats(host.clone()).await.expect("a free port");
        tokio::time::sleep(Duration::from_millis(100)).await;
        std::thread::sleep(Duration::from_millis(1_600));
        let answer = call(host.settings.caller_address, &request("a1")).await;
        assert_eq!(answer.status, 200);
        let mut bytes = [0; 2_048];
        while socket.try_recv_from(&mut bytes).is_ok() {}
        let received = socket.recv_from(&mut bytes);
        let received = tokio::time::timeout(Duration::from_secs(1), received).await;
        assert!(received.is_ok(), "no heartbeat");
    });
}

struct WaitCase {
    request_age_ms: u64,
    ran_ms_ago: Option<u64>,
    woke_ms_ago: u64,
    doubt: Option<StateDoubt>,
    waits: bool,
}

const WOKEN: WaitCase = WaitCase {
    request_age_ms: 5,
    ran_ms_ago: Some(5),
    woke_ms_ago: 10,
    doubt: Some(StateDoubt::Isolated),
    waits: true,
};

#[test_case(&WOKEN; "has woken")]
#[test_case(&WaitCase { ran_ms_ago: Some(3_000), woke_ms_ago: 90_000, ..WOKEN }; "wakes and has not noticed")]
#[test_case(&WaitCase { doubt: None, waits: false, ..WOKEN }; "a neighbour has answered")]
#[test_case(&WaitCase { doubt: Some(StateDoubt::PlatformSilent), waits: false, ..WOKEN }; "a neighbour knows no more")]
#[test_case(&WaitCase { woke_ms_ago: 90_000, waits: false, ..WOKEN }; "cut off, but did not stand still")]
#[test_case(&WaitCase { request_age_ms: 400, ran_ms_ago: Some(3_000), waits: false, ..WOKEN }; "has waited for long")]
#[test_case(&WaitCase { ran_ms_ago: None, woke_ms_ago: 90_000, waits: false, ..WOKEN }; "exchanges no heartbeats")]
fn requests_wait_for_the_state_of_a_neighbour_after_a_suspension(case: &WaitCase) {
    let now = MonoMs(200_000);
    let ago = |ms: u64| MonoMs(now.0 - ms);
    let waits = must_wait_for_state(
        now,
        ago(case.request_age_ms),
        case.ran_ms_ago.map(ago),
        ago(case.woke_ms_ago),
        case.doubt,
    );
    assert_eq!(waits, case.waits);
}
