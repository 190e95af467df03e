//! The fakes of the host list, the directory and the weight store work with the clients of `lw_plat`.

use std::net::SocketAddr;

use lw_plat::{
    Directory, HostEntry, HostList, HostState, HttpTimeouts, PlatformError, WeightStore,
};
use lw_stand::{FakeHostList, FakeWeightStore};

const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect_ms: 5_000,
    call_ms: 5_000,
};

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address")
}

fn host(name: &str, region: &str) -> HostEntry {
    HostEntry {
        host: name.into(),
        region: region.into(),
        zone: "z".into(),
        caller_address: "127.0.0.1:1".into(),
        peer_address: "127.0.0.1:2".into(),
        state: HostState::Live,
    }
}

/// Guards against a host list without a lag, which would hide failures that depend on the lag.
#[tokio::test]
async fn host_list_changes_are_delayed() {
    let fake = FakeHostList::default();
    let server = fake.start(loopback()).await.expect("start");
    let list = HostList::over_http(&server.address().to_string(), TIMEOUTS);
    fake.set_hosts(vec![host("a", "r")]);
    assert_eq!(list.list().await, Ok(vec![host("a", "r")]));
    fake.set_lag_ms(3_600_000);
    fake.set_hosts(Vec::new());
    assert_eq!(list.list().await, Ok(Vec::new()));
    fake.set_lag_ms(0);
    fake.set_outage(true);
    assert_eq!(list.list().await, Err(PlatformError::Unavailable));
}

/// Guards against a removed host that stays in the directory, and a repeated removal that fails.
#[tokio::test]
async fn removed_hosts_leave_the_directory() {
    let fake = FakeHostList::default();
    let server = fake.start(loopback()).await.expect("start");
    let directory = Directory::over_http(&server.address().to_string(), TIMEOUTS);
    directory.put(host("a", "r")).await.expect("put");
    directory.put(host("b", "other")).await.expect("put");
    assert_eq!(directory.list("r").await, Ok(vec![host("a", "r")]));
    directory.remove("a").await.expect("remove");
    directory.remove("a").await.expect("repeated remove");
    assert_eq!(directory.list("r").await, Ok(Vec::new()));
}

/// Guards against a weight store that serves more loads than its rate limit.
#[tokio::test]
async fn the_weight_store_limits_its_rate() {
    let fake = FakeWeightStore::new(0.001);
    fake.add("grade", "3", "weights");
    let server = fake.start(loopback()).await.expect("start");
    let store = WeightStore::over_http(&server.address().to_string(), TIMEOUTS, 1 << 20);
    assert_eq!(store.fetch("grade", "4").await, Err(PlatformError::Absent));
    assert_eq!(store.fetch("grade", "3").await, Ok("weights".into()));
    let refused = store.fetch("grade", "3").await;
    assert_eq!(refused, Err(PlatformError::Unavailable));
    assert_eq!(fake.loads(), (1, 1));
}
