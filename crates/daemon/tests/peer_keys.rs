//! Rotation of the peer key.

mod support;

use std::net::SocketAddr;

use http::Method;
use lw_base::MonoMs;
use lw_daemon::{Daemon, Settings, UnknownKeyReporter};
use lw_stand::FakeKv;
use support::{OPERATOR_DIGEST, OPERATOR_TOKEN, TestClient, send, until};

const OLD_KEY: &str = "the old key of the hosts";
const NEW_KEY: &str = "the new key of the hosts";

fn settings(name: &str, key: &str, accepted: &[&str], seeds: &[String]) -> Settings {
    let text = serde_json::json!({
        "host": name, "region": "east", "zone": "east-1",
        "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "nng": "127.0.0.1:0", "admin": "127.0.0.1:0"},
        "platform": {"key_value": "127.0.0.1:1"},
        "peer_key": key, "peer_keys_accepted": accepted,
        "operators": [{"name": "test", "token_digest": OPERATOR_DIGEST}],
        "seeds": seeds, "move_ms": 50,
    });
    Settings::parse("test settings", &text.to_string()).unwrap()
}

async fn start(kv: &FakeKv, settings: Settings) -> Daemon {
    Daemon::start_with(settings, Some(kv.kv())).await.unwrap()
}

fn refused_key_frames(host: &Daemon) -> u64 {
    let status = host.node().unwrap().status();
    let frames = status.refused_frames.iter();
    frames
        .filter(|(reason, _)| *reason == "key")
        .map(|(_, count)| count)
        .sum()
}

async fn get_admin(client: &TestClient, address: SocketAddr, path: &str) -> String {
    let token = format!("Bearer {OPERATOR_TOKEN}");
    let headers = [("authorization", token.as_str())];
    let reply = send(client, address, Method::GET, path, &headers, "").await;
    assert_eq!(reply.status, 200);
    reply.text()
}

/// Guards against hosts that lose each other during a key rotation, against accepting frames with an unknown key, and
/// against refusals or control work that metrics and status don't show.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_rotation_keeps_hosts_connected_and_unknown_keys_are_refused() {
    let kv = FakeKv::default();
    let first = start(&kv, settings("first", OLD_KEY, &[NEW_KEY], &[])).await;
    let seeds = [first.node().unwrap().peer_address().to_owned()];
    let second = start(&kv, settings("second", NEW_KEY, &[OLD_KEY], &seeds)).await;
    let alive = |host: &Daemon| host.node().unwrap().status().alive_members;
    until("the hosts to see each other", || {
        alive(&first) == 1 && alive(&second) == 1
    })
    .await;
    assert_eq!(
        (refused_key_frames(&first), refused_key_frames(&second)),
        (0, 0)
    );

    let stranger = start(
        &kv,
        settings("stranger", "a key of some other hosts", &[], &seeds),
    )
    .await;
    until("a refused frame", || refused_key_frames(&first) > 0).await;
    assert_eq!((alive(&first), alive(&second), alive(&stranger)), (1, 1, 0));

    let client = support::client();
    let address = first.addresses().admin;
    let wanted = [
        "lacewingstile_refused_frames{reason=\"key\"}",
        "lacewingstile_control_use{figure=\"bytes_per_s\"}",
        "lacewingstile_control_use{figure=\"core_share\"}",
        "lacewingstile_control_use{figure=\"resident_bytes\"}",
        "lacewingstile_control_budget{figure=\"bytes_per_s\"} 12000",
        "lacewingstile_control_budget{figure=\"core_share\"} 0.015",
        "lacewingstile_control_budget{figure=\"resident_bytes\"} 256000000",
    ];
    let mut metrics = String::new();
    for _ in 0..1_000 {
        metrics = get_admin(&client, address, "/metrics").await;
        if wanted.iter().all(|line| metrics.contains(line)) {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    for line in wanted {
        assert!(metrics.contains(line), "{line}: {metrics}");
    }
    let status: serde_json::Value =
        serde_json::from_str(&get_admin(&client, address, "/admin/status").await).unwrap();
    for (index, budget) in [12_000.0, 0.015, 256_000_000.0].into_iter().enumerate() {
        let figure = &status["control_budget"][index];
        assert_eq!(figure["budget"].as_f64(), Some(budget));
        assert!(figure["measured"].as_f64().unwrap() > 0.0, "{figure}");
    }
    for host in [first, second, stranger] {
        host.kill().await;
    }
}

/// Guards against senders with an unknown key filling the log.
#[test]
fn unknown_keys_are_reported_once_a_minute() {
    let mut reporter = UnknownKeyReporter::default();
    assert_eq!(reporter.observe(MonoMs(0), 0), None);
    assert_eq!(reporter.observe(MonoMs(1_000), 3), Some(3));
    assert_eq!(reporter.observe(MonoMs(2_000), 9), None);
    assert_eq!(reporter.observe(MonoMs(61_000), 9), Some(6));
    assert_eq!(reporter.observe(MonoMs(200_000), 9), None);
}
