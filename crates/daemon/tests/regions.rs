//! Hosts of two regions over the HTTP interfaces of the platform.

mod support;

use http::Method;
use lw_base::{Invariant, WallMs, violation_count};
use lw_conf::PublishRequest;
use lw_daemon::{Daemon, Exit, Settings};
use lw_doc::parse_document;
use lw_stand::{FakeHostList, FakeKv, FakePlainService};
use support::{OPERATOR_DIGEST, OPERATOR_TOKEN, document, local, send, until};
use uuid::Uuid;

struct Platform {
    key_value: String,
    host_list: String,
}

fn settings(region: &str, platform: &Platform, region_seeds: &[&str]) -> Settings {
    let text = serde_json::json!({
        "host": format!("{region}-host"), "region": region, "zone": format!("{region}-1"),
        "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "nng": "127.0.0.1:0", "admin": "127.0.0.1:0"},
        "platform": {
            "key_value": platform.key_value, "directory": platform.host_list, "host_list": platform.host_list,
        },
        "peer_key": "a key of the test hosts",
        "operators": [{"name": "test", "token_digest": OPERATOR_DIGEST}],
        "region_seeds": region_seeds, "move_ms": 50, "drain_limit_ms": 10_000,
    });
    Settings::parse("test settings", &text.to_string()).unwrap()
}

/// Guards against hosts of two regions that do not discover each other, and against forwarding a request that is bound
/// to its region (`Invariant::Residency`).
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_forwarded_to_another_region_unless_bound() {
    let (kv, host_list, plain_service) = (
        FakeKv::default(),
        FakeHostList::default(),
        FakePlainService::default(),
    );
    let servers = (
        kv.start(local()).await.unwrap(),
        host_list.start(local()).await.unwrap(),
    );
    let platform = Platform {
        key_value: servers.0.address().to_string(),
        host_list: servers.1.address().to_string(),
    };
    let target = plain_service.start(local()).await.unwrap();
    let mut document = document(&[("portal", target.address())], &[]);
    document["services"]["portal"]["regions"] = serde_json::json!(["west"]);
    document["targets"]["portal-1"]["zone"] = "west-1".into();
    document["customers"]["bound-east"] = serde_json::json!({"home_region": "east"});

    let east = Daemon::start(settings("east", &platform, &[]))
        .await
        .unwrap();
    let seed = east.node().unwrap().peer_address().to_owned();
    let west = Daemon::start(settings("west", &platform, &[&seed]))
        .await
        .unwrap();
    let request = PublishRequest {
        base_revision: 0,
        base_digest: None,
        next: parse_document("test", &document.to_string())
            .unwrap()
            .document,
        operator: "test".to_owned(),
        operation: Uuid::now_v7(),
        wall: WallMs(1),
        gateway_addresses: Vec::new(),
        confirmed: true,
        known: None,
    };
    west.node().unwrap().publish(request).await.unwrap();
    until("the configuration in both regions", || {
        [&east, &west]
            .iter()
            .all(|host| host.gate().state().is_ready() && host.gate().revision() == 1)
    })
    .await;
    until("a forward address in the other region", || {
        !east.node().unwrap().forward_addresses("west").is_empty()
    })
    .await;

    let client = support::client();
    let callers = east.addresses().callers;
    let mut reply = send(&client, callers, Method::GET, "/s/portal/x", &[], "").await;
    for _ in 0..100 {
        if reply.status == 200 {
            break;
        }
        assert_eq!(
            reply.header("lacewingstile-outcome"),
            "not-run",
            "{}",
            reply.text()
        );
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        reply = send(&client, callers, Method::GET, "/s/portal/x", &[], "").await;
    }
    assert_eq!(
        (reply.status, plain_service.lookups()),
        (200, 1),
        "{}",
        reply.text()
    );

    let bound = [("x-customer", "bound-east")];
    let reply = send(&client, callers, Method::GET, "/s/portal/x", &bound, "").await;
    assert_eq!(
        reply.header("lacewingstile-outcome"),
        "not-run",
        "{}",
        reply.text()
    );
    let reply = send(
        &client,
        west.addresses().callers,
        Method::GET,
        "/s/portal/x",
        &bound,
        "",
    )
    .await;
    assert_eq!(
        (reply.status, reply.header("lacewingstile-error")),
        (421, "misdirected")
    );
    assert_eq!(plain_service.lookups(), 1);

    let token = format!("Bearer {OPERATOR_TOKEN}");
    let admin = [("authorization", token.as_str())];
    let status = send(
        &client,
        east.addresses().admin,
        Method::GET,
        "/admin/status",
        &admin,
        "",
    )
    .await;
    let status: serde_json::Value = serde_json::from_str(&status.text()).unwrap();
    assert!(status["digest"].is_string(), "{status}");
    assert!(
        status["control"]["sent_bytes"].as_u64().unwrap() > 0,
        "{status}"
    );
    until("the directory", || host_list.directory().len() == 2).await;
    assert_eq!(east.drain().await, Exit::Ok);
    assert_eq!(host_list.directory().len(), 1);
    west.kill().await;
    assert_eq!(violation_count(Invariant::Residency), 0);
}
