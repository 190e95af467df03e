//! A host whose process stands still for a while.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use lw_mesh::{Heartbeat, HostAddress, HostStatus, Listing, Stage, StateDoubt, StateVersion};
use lw_relay::run_heartbeats;

use crate::support::*;

const STATE: StateVersion = StateVersion {
    era: 1,
    revision: 7,
};

fn heartbeat_from(ip: std::net::Ipv4Addr) -> Vec<u8> {
    let heartbeat = Heartbeat {
        address: HostAddress {
            host: ip.to_string().into(),
            ip,
            zone: "z".into(),
            region: "north".into(),
            started_ms: 1,
        },
        status: HostStatus {
            stage: Stage::Ready,
            as_of: STATE,
            platform_contact_age_ms: 0,
            ..HostStatus::default()
        },
        targets: Vec::new(),
        placed: Vec::new(),
        leaving: Vec::new(),
        sightings: Vec::new(),
        parts: Vec::new(),
    };
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
