//! Hosts of one region with a key-value service.

mod support;

use std::sync::atomic::{AtomicU32, Ordering};

use http::Method;
use lw_base::{Invariant, WallMs, violation_count};
use lw_conf::PublishRequest;
use lw_daemon::{Daemon, Exit, PlacementSettings, Settings};
use lw_doc::parse_document;
use lw_stand::{EngineOptions, FakeEngine, FakeKv, FakePlainService};
use support::{OPERATOR_DIGEST, TestClient, TestReply, document, local, send, until};
use uuid::Uuid;

static NEXT_HOST: AtomicU32 = AtomicU32::new(0);

fn region_settings(seeds: &[String]) -> Settings {
    let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let text = serde_json::json!({
        "host": format!("host-{number}"), "region": "east", "zone": "east-1",
        "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "nng": "127.0.0.1:0", "admin": "127.0.0.1:0"},
        "platform": {"key_value": "127.0.0.1:1"},
        "peer_key": "a key of the test hosts",
        "operators": [{"name": "test", "token_digest": OPERATOR_DIGEST}],
        "seeds": seeds, "move_ms": 50, "drain_limit_ms": 20_000,
    });
    Settings::parse("test settings", &text.to_string()).unwrap()
}

async fn start_hosts(kv: &FakeKv, count: usize) -> Vec<Daemon> {
    let mut hosts: Vec<Daemon> = Vec::new();
    for _ in 0..count {
        let seeds = hosts
            .iter()
            .map(|host| host.node().unwrap().peer_address().to_owned());
        let settings = region_settings(&seeds.collect::<Vec<_>>());
        hosts.push(Daemon::start_with(settings, Some(kv.kv())).await.unwrap());
    }
    hosts
}

async fn publish(host: &Daemon, document: &serde_json::Value) {
    let parsed = parse_document("test", &document.to_string()).unwrap();
    let request = PublishRequest {
        base_revision: 0,
        base_digest: None,
        next: parsed.document,
        operator: "test".to_owned(),
        operation: Uuid::now_v7(),
        wall: WallMs(1),
        gateway_addresses: Vec::new(),
        confirmed: true,
        known: None,
    };
    host.node().unwrap().publish(request).await.unwrap();
}

async fn order(client: &TestClient, host: &Daemon, key: &str) -> TestReply {
    let headers = [("idempotency-key", key)];
    let address = host.addresses().callers;
    send(
        client,
        address,
        Method::POST,
        "/s/portal/order",
        &headers,
        "one drum",
    )
    .await
}

/// Waits until newly issued keys are accepted: the first shard map of a region refuses keys that were issued before its
/// cutoff, 30 s after its start, because a lost map may have contained them.
async fn wait_for_cutoff(client: &TestClient, hosts: &[Daemon]) {
    for _ in 0..900 {
        let mut accepted = true;
        for host in hosts {
            let key = format!("east.{}", Uuid::now_v7());
            accepted &= order(client, host, &key).await.status == 200;
        }
        if accepted {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    panic!("no owner accepts new keys");
}

/// Retries an order while the shard of its key has no owner that can decide.
async fn order_until_done(client: &TestClient, host: &Daemon, key: &str) -> TestReply {
    for _ in 0..300 {
        let reply = order(client, host, key).await;
        if reply.status == 200 {
            return reply;
        }
        let kind = reply.header("lacewingstile-error").to_owned();
        let transient = ["claim_refused", "owner_unreachable", "not_ready"];
        assert!(transient.contains(&kind.as_str()), "{kind}");
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    panic!("no owner accepted the key {key}");
}

/// Guards against running an order twice through different hosts, also while one leaves, and against losing keys when
/// a host stops.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_runs_once_in_a_region() {
    let kv = FakeKv::default();
    let plain_service = FakePlainService::default();
    let target = plain_service.start(local()).await.unwrap();
    let mut hosts = start_hosts(&kv, 3).await;
    publish(&hosts[0], &document(&[("portal", target.address())], &[])).await;
    until("the configuration on all hosts", || {
        hosts
            .iter()
            .all(|host| host.gate().state().is_ready() && host.gate().revision() == 1)
    })
    .await;
    let client = support::client();
    wait_for_cutoff(&client, &hosts).await;
    let before = plain_service.orders();
    let keys: Vec<String> = (0..20)
        .map(|_| format!("east.{}", Uuid::now_v7()))
        .collect();
    for (number, key) in keys.iter().enumerate() {
        order_until_done(&client, &hosts[number % 3], key).await;
        assert_eq!(plain_service.runs_of(key), 1);
    }
    let last = hosts.pop().unwrap();
    assert_eq!(last.drain().await, Exit::Ok);
    for (number, key) in keys.iter().enumerate() {
        let reply = order_until_done(&client, &hosts[number % 2], key).await;
        assert_eq!(reply.header("lacewingstile-replayed"), "true");
    }
    assert_eq!(
        (plain_service.max_runs(), plain_service.orders() - before),
        (1, 20)
    );
    for host in hosts {
        host.kill().await;
    }
    for invariant in [
        Invariant::AtMostOnce,
        Invariant::NotRunIsTrue,
        Invariant::RevisionNeverReverts,
    ] {
        assert_eq!(violation_count(invariant), 0, "{invariant:?}");
    }
}

/// Guards against a daemon whose settings enable model placement and that never sends a command to an engine.
#[tokio::test(flavor = "multi_thread")]
async fn engines_load_the_version_of_the_document() {
    let kv = FakeKv::default();
    let engine = FakeEngine::new(EngineOptions {
        model: String::new(),
        version: String::new(),
        ..EngineOptions::default()
    });
    let server = engine.start(local()).await.unwrap();
    let mut document = document(&[], &[("chat", server.address())]);
    document["engine"] = serde_json::json!({"models": {"chat": {"version": "7"}}});
    document["targets"]["chat-1"]["fencing"] = true.into();
    let mut settings = region_settings(&[]);
    settings.placement = Some(PlacementSettings {
        weight_loads_per_s: 5.0,
        weight_burst: 5,
    });
    let host = Daemon::start_with(settings, Some(kv.kv())).await.unwrap();
    publish(&host, &document).await;
    // After taking over placement, a host first reads the states of all engines.
    for _ in 0..400 {
        if engine.state().version == "7" {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    assert_eq!(engine.state().version, "7");
    assert_eq!(engine.stale_commands(), 0);
    assert_eq!(host.drain().await, Exit::Ok);
}
