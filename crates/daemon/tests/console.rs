//! The console on the admin listener of a host.

mod support;

use std::net::SocketAddr;

use http::Method;
use lw_daemon::{Daemon, Settings};
use lw_stand::FakeKv;
use support::{OPERATOR_DIGEST, OPERATOR_TOKEN, TestReply, client, document, send, settings};

const FORM: (&str, &str) = ("content-type", "application/x-www-form-urlencoded");

fn console_settings() -> Settings {
    let text = serde_json::json!({
        "host": "host-of-console", "region": "east", "zone": "east-1",
        "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "nng": "127.0.0.1:0", "admin": "127.0.0.1:0"},
        "platform": {"key_value": "127.0.0.1:1"},
        "peer_key": "a key of the test hosts",
        "operators": [{"name": "test", "token_digest": OPERATOR_DIGEST}],
        "move_ms": 50, "drain_limit_ms": 5000,
    });
    Settings::parse("test settings", &text.to_string()).unwrap()
}

fn cookies(reply: &TestReply) -> String {
    let values = reply.headers.get_all("set-cookie").iter();
    let pairs = values.map(|value| value.to_str().unwrap().split(';').next().unwrap());
    pairs.collect::<Vec<_>>().join("; ")
}

fn form_token(page: &str) -> &str {
    let field = page.split("name=\"token\"").nth(1).expect("a form token");
    let value = field.split("value=\"").nth(1).expect("a value");
    value.split('"').next().unwrap()
}

async fn sign_in(address: SocketAddr, secret: &str) -> TestReply {
    let client = client();
    let page = send(&client, address, Method::GET, "/console/sign-in", &[], "").await;
    let (text, visitor) = (page.text(), cookies(&page));
    let body = format!("token={}&operator=test&secret={secret}", form_token(&text));
    let origin = format!("http://{address}");
    let headers = [FORM, ("cookie", &visitor), ("origin", &origin)];
    send(
        &client,
        address,
        Method::POST,
        "/console/sign-in",
        &headers,
        &body,
    )
    .await
}

/// Guards against a daemon that serves no console, or one that accepts other operators than those in its settings.
#[tokio::test(flavor = "multi_thread")]
async fn only_an_operator_of_the_settings_signs_in() {
    let kv = FakeKv::default();
    let daemon = Daemon::start_with(console_settings(), Some(kv.kv()))
        .await
        .unwrap();
    let address = daemon.addresses().admin;

    let refused = sign_in(address, "wrong").await;
    assert_ne!(refused.status, 303, "a wrong secret signs in");

    let accepted = sign_in(address, OPERATOR_TOKEN).await;
    assert_eq!(accepted.status, 303, "{}", accepted.text());
    let session = cookies(&accepted);
    let headers = [("cookie", session.as_str())];
    let page = send(&client(), address, Method::GET, "/console", &headers, "").await;
    assert_eq!(page.status, 200);
    assert!(page.text().contains("host-of-console"), "no status row");
    daemon.kill().await;
}

/// Guards against routing the admin paths, or other paths that begin with `/console`, to the console.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_key_value_service_only_console_paths_report_it() {
    let daemon = Daemon::start(settings(&document(&[], &[]))).await.unwrap();
    let address = daemon.addresses().admin;
    let get = async |path| send(&client(), address, Method::GET, path, &[], "").await;

    let console = get("/console").await;
    assert_eq!(console.status, 404);
    assert!(console.text().contains("platform.key_value"));
    assert_eq!(get("/healthz").await.status, 200);
    assert_eq!(
        get("/consoles").await.header("lacewingstile-error"),
        "unknown_service"
    );
    daemon.kill().await;
}
