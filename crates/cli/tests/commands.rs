//! Subcommands against a key-value service and an admin listener.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::PathBuf;

use lw_cli::{CommandOutput, run};
use lw_stand::{FakeKv, ServerHandle};
use serde_json::Value;
use test_case::test_case;

fn sample() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples/sahyog.json")
}

/// Writes a copy of the sample with `from` replaced by `to`; returns the path.
fn write_edited_sample(name: &str, from: &str, to: &str) -> String {
    let text = std::fs::read_to_string(sample()).expect("the sample exists");
    assert!(text.contains(from));
    let path = std::env::temp_dir().join(format!("lw-cli-{}-{name}.json", std::process::id()));
    std::fs::write(&path, text.replacen(from, to, 1)).expect("the file is writable");
    path.to_string_lossy().into_owned()
}

fn sample_path() -> String {
    sample().to_string_lossy().into_owned()
}

/// A key-value service that the tool is run against.
struct TestService {
    kv: FakeKv,
    server: ServerHandle,
}

impl TestService {
    async fn start() -> Self {
        let kv = FakeKv::default();
        let address = "127.0.0.1:0".parse().expect("an address");
        let server = kv.start(address).await.expect("the service starts");
        Self { kv, server }
    }

    async fn run(&self, arguments: &[&str]) -> CommandOutput {
        let kv = self.server.address().to_string();
        let shared = ["--kv", kv.as_str(), "--operator", "asha", "--json"];
        let all = shared
            .iter()
            .chain(arguments)
            .map(|text| (*text).to_owned());
        let all: Vec<String> = all.collect();
        tokio::task::spawn_blocking(move || run(&all))
            .await
            .expect("the run ends")
    }

    async fn json(&self, arguments: &[&str], code: u8) -> Value {
        let output = self.run(arguments).await;
        assert_eq!(output.code, code, "{output:?}");
        serde_json::from_str(&output.stdout).expect("the output is JSON")
    }
}

/// Guards against a wrong exit code or audit record when a change is published, conflicts and is rolled back.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_published_audited_and_rolled_back() {
    let service = TestService::start().await;
    let first = service
        .json(&["publish", &sample_path(), "--base", "0"], 0)
        .await;
    assert_eq!(first["revision"], 1);
    let next = write_edited_sample(
        "next",
        "\"requests_per_s\": 20.0",
        "\"requests_per_s\": 30.0",
    );
    let diff = service.json(&["diff", &next], 0).await;
    assert_eq!(diff["changes"][0]["path"], "customers/foundry-12");
    service.json(&["publish", &next, "--base", "1"], 0).await;

    let conflict = service
        .json(&["publish", &sample_path(), "--base", "1"], 4)
        .await;
    assert_eq!(conflict["error"]["head_revision"], 2);
    assert_eq!(
        conflict["error"]["changes"][0]["path"],
        "customers/foundry-12"
    );

    let back = service.json(&["rollback", "--to", "1"], 0).await;
    assert_eq!(back["revision"], 3);
    assert_eq!(back["digest"], first["digest"]);
    let status = service.json(&["status"], 0).await;
    assert_eq!(status["head"]["operator"], "asha");
    let audit = service.json(&["audit"], 0).await;
    let outcomes: Vec<_> = audit
        .as_array()
        .expect("a list")
        .iter()
        .map(|r| r["outcome"].clone())
        .collect();
    assert_eq!(outcomes, ["published", "refused", "published", "published"]);
    let shown = service.json(&["show", "--revision", "2"], 0).await;
    assert_eq!(shown["customers"]["foundry-12"]["requests_per_s"], 30.0);
}

/// Guards against publishing a document with faults, or with warnings that are not confirmed.
#[tokio::test(flavor = "multi_thread")]
async fn faults_and_warnings_stop_a_publish() {
    let service = TestService::start().await;
    service
        .json(&["publish", &sample_path(), "--base", "0"], 0)
        .await;
    let faulty = write_edited_sample("faulty", "127.0.0.1:9101", "127.0.0.1:9102");
    let error = service.json(&["publish", &faulty, "--base", "1"], 3).await;
    let fault = &error["error"]["faults"][0];
    assert_eq!(fault["path"], "targets/ga-02/address");
    assert!(fault["line"].as_u64().is_some_and(|line| line > 1));
    let broken = write_edited_sample("broken", "\"weights\"", "\"wheights\"");
    let error = service.json(&["validate", &broken], 3).await;
    assert!(
        error["error"]["message"]
            .as_str()
            .expect("text")
            .contains("expected one of")
    );
    let from = "\"regions\": [\"gujarat-east\"], \"allowed_regions\": [\"gujarat-east\"],";
    let relaxed = write_edited_sample("relaxed", from, "\"regions\": [\"gujarat-east\"],");
    let error = service.json(&["publish", &relaxed, "--base", "1"], 3).await;
    let path = "services/grade-assistant/allowed_regions";
    assert_eq!(error["error"]["warnings"][0]["path"], path);
    service
        .json(&["publish", &relaxed, "--base", "1", "--confirm"], 0)
        .await;
}

/// Guards against reporting an outage as success or as a fault in the document.
#[tokio::test(flavor = "multi_thread")]
async fn an_unavailable_service_has_its_own_exit_code() {
    let service = TestService::start().await;
    service.kv.set_outage(true);
    service
        .json(&["publish", &sample_path(), "--base", "0"], 5)
        .await;
    service.json(&["audit"], 5).await;
}

/// Guards against a wrong exit code, and against an error on standard output or help on standard error.
#[test_case(&["--kv", "127.0.0.1:1", "publish", "x.json"], 2; "missing base revision")]
#[test_case(&["status"], 2; "no address")]
#[test_case(&["--kv", "somewhere", "status"], 2; "malformed address")]
#[test_case(&["frobnicate"], 2; "unknown subcommand")]
#[test_case(&["--settings", "/nonexistent", "status"], 2; "unreadable settings file")]
#[test_case(&["--help"], 0; "help")]
#[test_case(&["publish", "--help"], 0; "help of a subcommand")]
fn usage_errors_and_help_have_their_exit_codes(arguments: &[&str], code: u8) {
    let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    let output = run(&arguments);
    assert_eq!(output.code, code, "{output:?}");
    assert_ne!(output.stdout.is_empty(), output.stderr.is_empty());
}

/// Runs a subcommand against an admin listener that replies with `body`; returns the output and the request.
fn run_against_admin(
    body: &'static str,
    name: &str,
    arguments: &[&str],
) -> (CommandOutput, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = vec![0; 4096];
        let length = stream.read(&mut head).expect("a request");
        let size = body.len();
        let reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n{body}");
        stream.write_all(reply.as_bytes()).expect("sent");
        String::from_utf8_lossy(&head[..length]).into_owned()
    });
    let settings = std::env::temp_dir().join(format!("lw-cli-{}-{name}.json", std::process::id()));
    let text =
        format!("// settings\n{{\"admin_address\": \"{address}\", \"operator_key\": \"secret\"}}");
    std::fs::write(&settings, text).expect("the file is writable");
    let settings = settings.to_string_lossy().into_owned();
    let all = ["--settings", settings.as_str()];
    let all: Vec<String> = all
        .iter()
        .chain(arguments)
        .map(|text| (*text).to_owned())
        .collect();
    let output = run(&all);
    (output, server.join().expect("the server ends"))
}

/// Guards against admin requests without the credential or with an unescaped query.
#[test_case(&["status"], "GET /admin/status ")]
#[test_case(&["explain", "--service", "a b", "--customer", "c&d"], "GET /admin/explain?service=a+b&customer=c%26d ")]
#[test_case(&["drain"], "POST /admin/drain ")]
fn admin_requests_have_the_credential_and_an_escaped_query(arguments: &[&str], request_line: &str) {
    let body = "{\"ready\":true,\"targets\":[{\"name\":\"ga-01\",\"score\":1.5}]}";
    let (output, request) = run_against_admin(body, arguments[0], arguments);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(output.stdout.contains("ga-01"));
    assert!(request.starts_with(request_line), "{request}");
    assert!(
        request
            .to_lowercase()
            .contains("authorization: bearer secret"),
        "{request}"
    );
}

/// Guards against a status that shows the usage of control work without its budget.
#[test]
fn status_shows_the_control_budget() {
    let body = r#"{"control_budget": [
        {"figure": "bytes_per_s", "measured": 1093.5, "budget": 12000.0, "within": true},
        {"figure": "core_share", "measured": 0.021, "budget": 0.015, "within": false}]}"#;
    let (output, _) = run_against_admin(body, "budget", &["status"]);
    assert_eq!(output.code, 0, "{output:?}");
    let row = |name: &str| {
        let line = output.stdout.lines().find(|line| line.contains(name));
        line.map(|line| line.split('|').map(str::trim).collect::<Vec<_>>().join(" "))
    };
    for (name, cells) in [
        ("bytes_per_s", ["1093.5", "12000", "true"]),
        ("core_share", ["0.021", "0.015", "false"]),
    ] {
        let row = row(name).expect("a row");
        assert!(cells.iter().all(|cell| row.contains(cell)), "{row}");
    }
}
