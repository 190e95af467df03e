//! Streams that break while another region could serve the request.

mod support;

use std::time::Duration;

use http::Method;
use lw_base::WallMs;
use lw_conf::PublishRequest;
use lw_daemon::{Daemon, Settings};
use lw_doc::parse_document;
use lw_stand::{FakeEngine, FakeKv, ServerHandle};
use support::{add_target, chat_body, document, engine_options, local, send, until};
use uuid::Uuid;

/// Time after which the retry budget allows another retry.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_200);

const REGIONS: [&str; 2] = ["east", "west"];

fn settings(region: &str, region_seeds: &[String]) -> Settings {
    let local = "127.0.0.1:0";
    let text = serde_json::json!({
        "host": format!("{region}-host"), "region": region, "zone": format!("{region}-1"),
        "listen": {"callers": local, "peers": local, "nng": local, "admin": local},
        "platform": {"key_value": "127.0.0.1:1"},
        "peer_key": "a key of the test hosts", "region_seeds": region_seeds,
    });
    Settings::parse("test settings", &text.to_string()).unwrap()
}

/// Starts a host in each of two regions; each region has one engine.
async fn start_regions(servers: &[ServerHandle; 2]) -> [Daemon; 2] {
    let kv = FakeKv::default();
    let mut document = document(&[], &[("chat", servers[0].address())]);
    document["services"]["chat"]["regions"] = serde_json::json!(REGIONS);
    add_target(&mut document, "chat-2", "chat", servers[1].address());
    document["targets"]["chat-2"]["zone"] = "west-1".into();
    let east = Daemon::start_with(settings("east", &[]), Some(kv.kv()));
    let east = east.await.unwrap();
    let seed = east.node().unwrap().peer_address().to_owned();
    let west = Daemon::start_with(settings("west", &[seed]), Some(kv.kv()));
    let west = west.await.unwrap();
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
    east.node().unwrap().publish(request).await.unwrap();
    until("both regions to be ready", || {
        let hosts = [&east, &west];
        hosts
            .iter()
            .all(|host| host.gate().state().is_ready() && host.gate().revision() == 1)
            && !east.node().unwrap().forward_addresses("west").is_empty()
    })
    .await;
    [east, west]
}

/// Guards against restarting a cut stream in another region, which would send its first tokens to the caller twice
/// (`Invariant::WholeAnswer`).
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_is_not_restarted_in_another_region() {
    let engines = [(); 2].map(|()| FakeEngine::new(engine_options()));
    let servers = [
        engines[0].start(local()).await.unwrap(),
        engines[1].start(local()).await.unwrap(),
    ];
    let hosts = start_regions(&servers).await;
    let client = support::client();
    let address = hosts[0].addresses().callers;
    let body = chat_body("a spec sheet", 8, true);
    let path = "/v1/chat/completions";
    let send_chat = || send(&client, address, Method::POST, path, &[], &body);
    // The other region serves a refused request once its summary has arrived; the budget allows one retry per second.
    for _ in 0..20 {
        engines[0].refuse(1);
        send_chat().await;
        tokio::time::sleep(RETRY_INTERVAL).await;
        if engines[1].totals().started > 0 {
            break;
        }
        assert_eq!(send_chat().await.status, 200);
    }
    assert_eq!(engines[1].totals().started, 1);
    engines[0].abort_completions_after_tokens(3, 1);
    let reply = send_chat().await;
    assert_eq!(engines[0].totals().cut_short, 1);
    assert_eq!(engines[1].totals().started, 1);
    assert!(reply.body.is_none(), "a cut stream looks complete");
    for host in hosts {
        host.kill().await;
    }
}
