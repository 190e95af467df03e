//! The fake engine and the fake plain service produce the faults that the gateway must tolerate.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lw_plat::{EngineCommand, EngineControl, HttpTimeouts, PlatformError};
use lw_stand::{EngineOptions, FakeEngine, FakePlainService, answer_token, whole_answer};
use serde_json::{Value, json};

type HttpClient = Client<HttpConnector, Full<Bytes>>;

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address")
}

fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

fn fast_options() -> EngineOptions {
    EngineOptions {
        prefill_tokens_per_s: 1e6,
        decode_ms: 0.1,
        load_lag_ms: 0,
        event_lag_ms: 0,
        ..EngineOptions::default()
    }
}

async fn send(
    client: &HttpClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: &Value,
) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("x-attempt-id", "r-1")
        .header("idempotency-key", "k")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("request");
    client.request(request).await
}

async fn text(response: Response<Incoming>) -> Option<String> {
    let body = response.into_body().collect().await.ok()?;
    String::from_utf8(body.to_bytes().to_vec()).ok()
}

fn chat(prompt: &str, stream: bool, resume_from: usize) -> Value {
    json!({
        "model": "grade", "max_tokens": 5, "stream": stream, "resume_from": resume_from,
        "messages": [{"role": "user", "content": prompt}],
    })
}

/// Waits until the engine has the given numbers of queued and running completions.
async fn wait_for_counts(engine: &FakeEngine, counts: (usize, usize)) {
    let reached = async {
        while engine.queued_and_running() != counts {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let limit = Duration::from_secs(20);
    tokio::time::timeout(limit, reached).await.expect("counts");
}

const CHAT: &str = "/v1/chat/completions";

/// Guards against answers that do not depend on the prompt, and against a wrong end of whole and resumed answers.
#[tokio::test]
async fn answers_depend_on_the_prompt_and_streams_resume() {
    let engine = FakeEngine::new(fast_options());
    let server = engine.start(loopback()).await.expect("start");
    let (client, at) = (client(), server.address());
    let whole = send(&client, Method::POST, at, CHAT, &chat("a b", false, 0)).await;
    let whole = whole.expect("answer");
    assert_eq!(whole.headers()["x-attempt-id"], "r-1");
    let body: Value = serde_json::from_str(&text(whole).await.expect("body")).expect("json");
    let content = &body["choices"][0]["message"]["content"];
    assert_eq!(content, &whole_answer("a b", 5));
    let rest = send(&client, Method::POST, at, CHAT, &chat("a b", true, 3)).await;
    let rest = text(rest.expect("stream")).await.expect("body");
    let events: Vec<&str> = rest.split_terminator("\n\n").collect();
    assert_eq!(events.len(), 3);
    assert!(events[0].contains(answer_token("a b", 3).as_str()));
    assert_eq!(events[2], "data: [DONE]");
}

/// Guards against requests that cancel each other because they have the same attempt id or none.
#[tokio::test]
async fn equal_attempt_ids_do_not_cancel_each_other() {
    let engine = FakeEngine::new(fast_options());
    let server = engine.start(loopback()).await.expect("start");
    let (client, at) = (client(), server.address());
    let requests = (0..16).map(|index| {
        let client = client.clone();
        async move {
            let prompt = format!("p{index}");
            let body = chat(&prompt, true, 0);
            let sent = send(&client, Method::POST, at, CHAT, &body).await;
            let stream = text(sent.expect("stream")).await.expect("whole body");
            stream.contains(answer_token(&prompt, 4).as_str())
        }
    });
    let own = futures_util::future::join_all(requests).await;
    assert_eq!(own, [true; 16]);
    assert_eq!(engine.totals().cut_short, 0);
}

/// Guards against aborted streams that look complete, and refused requests that were executed.
#[tokio::test]
async fn injected_engine_faults_take_effect() {
    let engine = FakeEngine::new(fast_options());
    let server = engine.start(loopback()).await.expect("start");
    let (client, at) = (client(), server.address());
    engine.refuse(1);
    let refused = send(&client, Method::POST, at, CHAT, &chat("a", true, 0)).await;
    let refused = refused.expect("refusal");
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers()["x-not-started"], "true");
    assert_eq!(engine.totals().started, 0);
    engine.abort_completions_after_tokens(2, 1);
    let aborted = send(&client, Method::POST, at, CHAT, &chat("a", true, 0)).await;
    assert_eq!(text(aborted.expect("start")).await, None);
    engine.abort_completions_after_tokens(2, 1);
    let aborted = send(&client, Method::POST, at, CHAT, &chat("a", false, 0)).await;
    assert!(aborted.is_err());
    engine.answer_with_wrong_attempt(1);
    let wrong = send(&client, Method::POST, at, CHAT, &chat("a", false, 0)).await;
    assert_ne!(wrong.expect("answer").headers()["x-attempt-id"], "r-1");
    assert_eq!(engine.totals().cut_short, 2);
}

/// Guards against a cancelled request that continues, and a slot that is never released.
#[tokio::test]
async fn a_cancel_frees_the_slot() {
    let engine = FakeEngine::new(EngineOptions {
        slots: 1,
        ..fast_options()
    });
    let server = engine.start(loopback()).await.expect("start");
    let (client, at) = (client(), server.address());
    engine.slow_down(1e6);
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { send(&client, Method::POST, at, CHAT, &chat("a", true, 0)).await }
    });
    wait_for_counts(&engine, (0, 1)).await;
    let body = json!({"attempt": "r-1"});
    let cancelled = send(&client, Method::POST, at, "/v1/cancel", &body).await;
    assert_eq!(cancelled.expect("cancel").status(), StatusCode::OK);
    assert!(waiting.await.expect("join").is_err());
    wait_for_counts(&engine, (0, 0)).await;
    engine.slow_down(1.0);
    let next = send(&client, Method::POST, at, CHAT, &chat("a", false, 0)).await;
    assert_eq!(next.expect("answer").status(), StatusCode::OK);
}

/// Guards against a prefix cache that never hits or never evicts, and against an event feed without lost events.
#[tokio::test]
async fn the_cache_is_bounded_and_its_events_have_gaps() {
    let options = EngineOptions {
        cache_tokens: 32,
        event_gap_every: 3,
        ..fast_options()
    };
    let engine = FakeEngine::new(options);
    let server = engine.start(loopback()).await.expect("start");
    let (client, at) = (client(), server.address());
    let prompt = |name: &str| format!("{name} ").repeat(32);
    for (name, cached) in [("a", 0), ("a", 32), ("b", 32), ("a", 32)] {
        let request = chat(&prompt(name), false, 0);
        let sent = send(&client, Method::POST, at, CHAT, &request).await;
        assert_eq!(sent.expect("answer").status(), StatusCode::OK);
        assert_eq!(engine.totals().cached_tokens, cached);
    }
    let events = send(
        &client,
        Method::GET,
        at,
        "/cache-events?after=1",
        &Value::Null,
    )
    .await;
    let events = text(events.expect("events")).await.expect("body");
    let events: Vec<Value> = serde_json::from_str(&events).expect("json");
    let numbers: Vec<u64> = events.iter().filter_map(|e| e["seq"].as_u64()).collect();
    assert_eq!(numbers, [2, 4, 5, 7, 8, 10]);
}

/// Guards against an engine with fencing that applies a stale command, and one without fencing that rejects it.
#[tokio::test]
async fn stale_commands_are_rejected_if_fencing_is_on() {
    let control = EngineControl::over_http(HttpTimeouts {
        connect_ms: 5_000,
        call_ms: 5_000,
    });
    let cases = [(true, Err(PlatformError::Stale), 0), (false, Ok(()), 1)];
    for (fencing, old, stale) in cases {
        let engine = FakeEngine::new(EngineOptions {
            fencing,
            ..fast_options()
        });
        let server = engine.start(loopback()).await.expect("start");
        let at = server.address().to_string();
        let command = |fencing| EngineCommand {
            fencing,
            model: "m".into(),
            version: "2".into(),
            role: "r".into(),
        };
        for (number, expected) in [(5, Ok(())), (5, Ok(())), (4, old)] {
            let sent = control.command(&at, command(number)).await;
            assert_eq!(sent, expected);
        }
        assert_eq!(engine.stale_commands(), stale);
        let state = control.state(&at).await.expect("state");
        assert_eq!((state.model.as_str(), state.fencing), ("m", 5));
        assert_eq!(control.load(&at).await.expect("load").queued, 0);
    }
}

/// Guards against wrong execution counts, which would hide an order that is executed twice.
#[tokio::test]
async fn the_plain_service_counts_executions() {
    let plain = FakePlainService::default();
    let server = plain.start(loopback()).await.expect("start");
    let (client, at) = (client(), server.address());
    plain.refuse(1);
    let refused = send(&client, Method::POST, at, "/orders", &Value::Null).await;
    assert_eq!(refused.expect("refusal").headers()["x-not-started"], "true");
    assert_eq!(plain.runs_of("k"), 0);
    plain.abort_after_execution(1);
    let aborted = send(&client, Method::POST, at, "/orders", &Value::Null).await;
    assert!(aborted.is_err());
    assert_eq!(plain.runs_of("k"), 1);
    let again = send(&client, Method::POST, at, "/orders", &Value::Null).await;
    assert_eq!(again.expect("answer").headers()["x-attempt-id"], "r-1");
    assert_eq!(plain.max_runs(), 2);
    let lookup = send(&client, Method::GET, at, "/stock", &Value::Null).await;
    assert_eq!(lookup.expect("answer").status(), StatusCode::OK);
    assert_eq!((plain.orders(), plain.lookups()), (2, 1));
}
