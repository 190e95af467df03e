//! Responses of targets: complete, for another attempt, cut off, slow and late.

mod support;

use std::time::Duration;

use http::Method;
use lw_base::{Invariant, violation_count};
use lw_stand::{FakeEngine, FakePlainService, whole_answer};
use support::{TestHost, add_target, chat_body, document, engine_options, local, until};
use test_case::test_case;

const CHAT: &str = "/v1/chat/completions";

fn assert_no_violation() {
    for invariant in Invariant::ALL {
        assert_eq!(violation_count(invariant), 0, "{invariant:?}");
    }
}

/// Guards against a stream or a body that is not the complete answer to its own prompt.
#[test_case(true ; "stream")]
#[test_case(false ; "single body")]
#[tokio::test(flavor = "multi_thread")]
async fn a_chat_response_is_complete(stream: bool) {
    let engine = FakeEngine::new(engine_options());
    let target = engine.start(local()).await.unwrap();
    let host = TestHost::start(&document(&[], &[("chat", target.address())])).await;
    let reply = host
        .send(Method::POST, CHAT, &[], &chat_body("grade 7", 20, stream))
        .await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let text = reply.text();
    if stream {
        assert_eq!(support::streamed_text(&text), whole_answer("grade 7", 20));
        assert!(text.ends_with("data: [DONE]\n\n"));
    } else {
        assert!(text.contains(&whole_answer("grade 7", 20)), "{text}");
        assert_eq!(reply.header("lacewingstile-outcome"), "complete");
    }
    host.drain().await;
    assert_no_violation();
}

/// Guards against a cut stream that looks complete, or that resumes with missing or repeated tokens.
#[test_case(true ; "resumed on another engine")]
#[test_case(false ; "ended with an error event")]
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_is_resumed_or_ends_with_an_error(resume: bool) {
    let engines = [
        FakeEngine::new(engine_options()),
        FakeEngine::new(engine_options()),
    ];
    let first = engines[0].start(local()).await.unwrap();
    let second = engines[1].start(local()).await.unwrap();
    let mut document = document(&[], &[("chat", first.address())]);
    add_target(&mut document, "chat-2", "chat", second.address());
    for target in ["chat-1", "chat-2"] {
        document["targets"][target]["resume"] = resume.into();
    }
    let host = TestHost::start(&document).await;
    // The first engine cuts its first stream; the second one never does.
    engines[0].abort_completions_after_tokens(5, 1);
    let mut cut = false;
    for number in 0..20 {
        let prompt = format!("prompt {number}");
        let reply = host
            .send(Method::POST, CHAT, &[], &chat_body(&prompt, 12, true))
            .await;
        if resume {
            assert_eq!(
                support::streamed_text(&reply.text()),
                whole_answer(&prompt, 12)
            );
        } else if reply.body.is_none() {
            cut = true;
        } else {
            assert!(reply.text().ends_with("data: [DONE]\n\n"));
        }
    }
    assert!(resume || cut, "no stream was cut");
    host.drain().await;
    assert_no_violation();
}

/// Guards against an error event that is lost because the body is aborted after it.
#[tokio::test(flavor = "multi_thread")]
async fn an_aborted_stream_ends_with_its_error_event() {
    let engine = FakeEngine::new(engine_options());
    let target = engine.start(local()).await.unwrap();
    let host = TestHost::start(&document(&[], &[("chat", target.address())])).await;
    engine.abort_completions_after_tokens(5, 1);
    let body = chat_body("grade 7", 12, true);
    let request = format!(
        "POST {CHAT} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = support::raw_exchange(host.daemon.addresses().callers, request.as_bytes()).await;
    assert!(
        answer.contains("event: error\ndata: {\"error\":{\"kind\":\"answer_incomplete\""),
        "{answer}"
    );
    assert!(
        !answer.contains("[DONE]") && !answer.ends_with("0\r\n\r\n"),
        "{answer}"
    );
    host.drain().await;
}

/// Guards against passing on the response of another attempt, and against a retry that is not allowed.
#[tokio::test(flavor = "multi_thread")]
async fn responses_of_other_attempts_and_refusals_are_errors() {
    let plain_services = [FakePlainService::default(), FakePlainService::default()];
    let first = plain_services[0].start(local()).await.unwrap();
    let second = plain_services[1].start(local()).await.unwrap();
    let mut document = document(&[("portal", first.address())], &[]);
    let host = TestHost::start(&document).await;
    plain_services[0].answer_with_wrong_attempt(1);
    let reply = host.get("/s/portal/crossed").await;
    assert_eq!(reply.header("lacewingstile-error"), "answer_incomplete");
    assert_eq!(
        (reply.status, reply.header("lacewingstile-outcome")),
        (502, "unknown")
    );
    host.drain().await;

    // A new host, because the first case used up the one retry per second.
    let host = TestHost::start(&document).await;
    plain_services[0].refuse(1);
    let reply = host.get("/s/portal/refused").await;
    assert_eq!(
        (reply.status, reply.header("lacewingstile-error")),
        (503, "target_refused")
    );
    assert_eq!(reply.header("lacewingstile-outcome"), "not-run");
    host.drain().await;

    // With a second target the lookup is retried, because a lookup may run twice.
    add_target(&mut document, "portal-2", "portal", second.address());
    let host = TestHost::start(&document).await;
    plain_services[0].answer_with_wrong_attempt(1);
    for number in 0..20 {
        let reply = host.get(&format!("/s/portal/{number}")).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert_eq!(
        plain_services[0].lookups() + plain_services[1].lookups(),
        1 + 21
    );
    host.drain().await;
}

/// Guards against a wrong outcome when the deadline passes, in the queue or after the request was sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_missed_deadline_reports_whether_the_request_ran() {
    let plain_service = FakePlainService::default();
    let target = plain_service.start(local()).await.unwrap();
    let mut document = document(&[("portal", target.address())], &[]);
    document["targets"]["portal-1"]["slots"] = 1.into();
    document["services"]["portal"]["max_in_flight_per_target"] = 1.into();
    let host = TestHost::start(&document).await;
    plain_service.set_delay_ms(1_000);
    let headers = [("lacewingstile-deadline-ms", "300")];
    let slow = host.send(Method::GET, "/s/portal/slow", &headers, "");
    let queued = async {
        until("the first request", || plain_service.lookups() == 1).await;
        host.send(
            Method::GET,
            "/s/portal/queued",
            &[("lacewingstile-deadline-ms", "100")],
            "",
        )
        .await
    };
    let (slow, queued) = tokio::join!(slow, queued);
    assert_eq!(slow.header("lacewingstile-error"), "deadline_after_send");
    assert_eq!(
        (slow.status, slow.header("lacewingstile-outcome")),
        (504, "unknown")
    );
    assert_eq!(queued.header("lacewingstile-outcome"), "not-run");
    let kind = queued.header("lacewingstile-error");
    assert!(
        ["deadline_before_send", "deadline_unreachable"].contains(&kind),
        "{kind}"
    );
    assert_eq!(plain_service.lookups(), 1);
    host.drain().await;
}

/// Guards against an engine that keeps working for a caller that has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_frees_its_engine() {
    let engine = FakeEngine::new(lw_stand::EngineOptions {
        decode_ms: 50.0,
        ..engine_options()
    });
    let target = engine.start(local()).await.unwrap();
    let host = TestHost::start(&document(&[], &[("chat", target.address())])).await;
    let body = chat_body("long", 2_000, false);
    let send = host.send(Method::POST, CHAT, &[], &body);
    assert!(
        tokio::time::timeout(Duration::from_millis(300), send)
            .await
            .is_err()
    );
    until("the engine to stop", || {
        engine.queued_and_running() == (0, 0)
    })
    .await;
    until("the request to end", || {
        host.daemon.gate().state().in_flight() == 0
    })
    .await;
    host.drain().await;
    assert_no_violation();
}

/// Guards against buffering a body without bound for a slow reader.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_applies_backpressure_to_its_target() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    const BODY_BYTES: usize = 64 * 1024 * 1024;
    let (listener, sent) = support::bulk_target(BODY_BYTES).await;
    let host = TestHost::start(&document(&[("portal", listener)], &[])).await;
    let mut socket = tokio::net::TcpStream::connect(host.daemon.addresses().callers)
        .await
        .unwrap();
    socket
        .write_all(b"GET /s/portal/big HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    let mut first = [0; 1024];
    socket.read_exact(&mut first).await.unwrap();
    let sent_bytes = || sent.load(std::sync::atomic::Ordering::Acquire);
    // The target stops sending once the buffers of both connections are full.
    let mut before = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(500)).await;
        if sent_bytes() == before {
            break;
        }
        before = sent_bytes();
    }
    assert!(
        before < BODY_BYTES / 2,
        "{before} of {BODY_BYTES} bytes were taken from the target"
    );
    drop(socket);
    until("the request to end", || {
        host.daemon.gate().state().in_flight() == 0
    })
    .await;
    host.drain().await;
}

/// Guards against a caller that never reads and so keeps its request and connection open beyond the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_reader_is_cut_off_after_its_deadline() {
    use tokio::io::AsyncWriteExt;
    let (listener, _) = support::bulk_target(64 * 1024 * 1024).await;
    let host = TestHost::start(&document(&[("portal", listener)], &[])).await;
    let callers = host.daemon.addresses().callers;
    let mut socket = tokio::net::TcpStream::connect(callers).await.unwrap();
    let head = "GET /s/portal/big HTTP/1.1\r\nHost: a\r\nLacewingstile-Deadline-Ms: 300\r\n\r\n";
    socket.write_all(head.as_bytes()).await.unwrap();
    let state = host.daemon.gate().state().clone();
    until("the request to start", || state.in_flight() == 1).await;
    until("the request to end", || state.in_flight() == 0).await;
    // The drain limit of the test hosts is 5 s; an open connection would delay the stop until then.
    let started = std::time::Instant::now();
    host.drain().await;
    assert!(
        started.elapsed() < Duration::from_secs(4),
        "{:?}",
        started.elapsed()
    );
    drop(socket);
}

/// Guards against passing on a truncated body as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_body_is_an_error() {
    let address = support::truncating_target().await;
    let host = TestHost::start(&document(&[("portal", address)], &[])).await;
    let reply = host.get("/s/portal/short").await;
    assert_eq!(
        (reply.status, reply.header("lacewingstile-error")),
        (502, "answer_incomplete")
    );
    assert_eq!(reply.header("lacewingstile-outcome"), "unknown");
    host.drain().await;
}
