//! Answers of targets that fail, reject requests, break streams or violate the protocol.

use std::time::Duration;

use test_case::test_case;
use tokio::io::AsyncWriteExt;

use crate::support::*;

struct Case {
    options: RouteOptions,
    first: Vec<Action>,
    /// The actions of the second target; `None` when there is only one.
    second: Option<Vec<Action>>,
    status: u16,
    body: Option<&'static str>,
    /// The number of requests that reach the two targets together.
    arrivals: usize,
}

fn send(text: impl Into<String>) -> Action {
    Action::Send(text.into())
}

fn not_run_answer() -> Vec<Action> {
    vec![send(
        "HTTP/1.1 503 Busy\r\nx-attempt: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    )]
}

fn error_answer() -> Vec<Action> {
    vec![send(
        "HTTP/1.1 500 Error\r\nx-attempt: {id}\r\nx-seal: s\r\ncontent-length: 3\r\n\r\nbad",
    )]
}

fn other_attempts_answer() -> Vec<Action> {
    let other = ok_response("other").replace("{id}", "zz");
    vec![send(other)]
}

// Guards against a request that runs twice, a false report that a request did not run, and an answer that belongs to
// another request or is truncated.
#[test_case(Case { options: ONCE, first: vec![send(ok_response("hello"))], second: None, status: 200, body: Some("hello"), arrivals: 1 }; "a valid answer")]
#[test_case(Case { options: ONCE, first: vec![Action::Reset], second: Some(vec![Action::Reset]), status: 502, body: None, arrivals: 1 }; "a lost answer is not retried")]
#[test_case(Case { options: ONCE, first: not_run_answer(), second: Some(vec![send(ok_response("hello"))]), status: 200, body: Some("hello"), arrivals: 2 }; "a request that did not run is retried at another target")]
#[test_case(Case { options: ONCE, first: not_run_answer(), second: None, status: 503, body: None, arrivals: 1 }; "a request that no target ran is rejected as not run")]
#[test_case(Case { options: ONCE, first: error_answer(), second: Some(error_answer()), status: 500, body: Some("bad"), arrivals: 1 }; "an error answer is forwarded")]
#[test_case(Case { options: ONCE, first: other_attempts_answer(), second: Some(other_attempts_answer()), status: 502, body: None, arrivals: 1 }; "an answer with the attempt id of another request")]
#[test_case(Case { options: ONCE, first: vec![send(ok_response("hello").replace("x-seal: s\r\n", ""))], second: None, status: 502, body: None, arrivals: 1 }; "a success without a seal")]
#[test_case(Case { options: ONCE, first: vec![send(ok_response("hello").replace("length: 5", "length: 9")), Action::Close], second: None, status: 502, body: None, arrivals: 1 }; "a truncated body")]
#[test_case(Case { options: ONCE, first: vec![send("nonsense\r\n\r\n"), Action::Close], second: None, status: 502, body: None, arrivals: 1 }; "bytes that are not HTTP")]
#[test_case(Case { options: ONCE, first: vec![send(ok_response("hello").replace("content-length: 5\r\n", "")), Action::Close], second: None, status: 200, body: Some("hello"), arrivals: 1 }; "an answer delimited by the close of its connection")]
#[test_case(Case { options: ONCE, first: vec![Action::Wait(4_000)], second: None, status: 504, body: None, arrivals: 1 }; "no answer until the deadline")]
#[test_case(Case { options: REPEATABLE, first: vec![Action::Reset], second: Some(vec![send(ok_response("hello"))]), status: 200, body: Some("hello"), arrivals: 2 }; "a lost answer of a repeatable request is retried")]
#[test_case(Case { options: REPEATABLE, first: vec![Action::Reset], second: Some(not_run_answer()), status: 502, body: None, arrivals: 2 }; "a request that may have run is not reported as not run")]
#[test_case(Case { options: REPEATABLE, first: error_answer(), second: Some(vec![send(ok_response("hello"))]), status: 200, body: Some("hello"), arrivals: 2 }; "an error answer of a repeatable request is retried")]
#[test_case(Case { options: REPEATABLE, first: error_answer(), second: Some(error_answer()), status: 500, body: Some("bad"), arrivals: 2 }; "the runs of a request are limited")]
#[test_case(Case { options: STREAM, first: vec![Action::Reset], second: Some(vec![Action::Reset]), status: 502, body: None, arrivals: 1 }; "a stream that must not run twice is not retried")]
fn answers_and_outcomes_are_correct_when_targets_fail(case: Case) {
    on_one_thread(async move {
        let first = ScriptedTarget::start(vec![case.first]).await;
        let mut targets = vec![first];
        if let Some(second) = case.second {
            targets.push(ScriptedTarget::start(vec![second]).await);
        }
        let host = start_host(case.options, &targets).await;
        // The load on the second target makes the first one preferred.
        if let Some(second) = targets.get(1) {
            let plan = host.plan();
            plan.targets[0][1].load.borrow_mut().running = 1;
            assert_ne!(second.address, targets[0].address);
        }
        let answer = call(host.settings.caller_address, &request("a1")).await;
        assert_eq!(answer.status, case.status, "{answer:?}");
        assert!(answer.is_complete, "{answer:?}");
        if let Some(body) = case.body {
            assert_eq!(answer.body, body);
        }
        let is_refusal = answer.status == 503;
        assert_eq!(header(&answer.head, "retry-after").is_some(), is_refusal);
        let arrivals: usize = targets
            .iter()
            .map(|target| target.request_heads.borrow().len())
            .sum();
        assert_eq!(arrivals, case.arrivals);
    });
}

/// Guards against an unsolicited second answer on a keep-alive connection that is used for the next request.
#[test]
fn an_unsolicited_answer_is_not_used_for_the_next_request() {
    on_one_thread(async {
        let extra = format!("{}{}", ok_response("one"), ok_response("late"));
        let target =
            ScriptedTarget::start(vec![vec![send(extra)], vec![send(ok_response("two"))]]).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let first = call(host.settings.caller_address, &request("a1")).await;
        assert_eq!(first.body, "one");
        let second = call(host.settings.caller_address, &request("a2")).await;
        assert_eq!((second.status, &*second.body), (200, "two"));
    });
}

/// Guards against a timeout of a target's idle connections that overflows when it is converted to milliseconds.
#[test]
fn a_huge_keep_alive_timeout_leaves_the_connection_usable() {
    on_one_thread(async {
        let head = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=18446744073709551615\r\n";
        let first = ok_response("one").replacen("HTTP/1.1 200 OK\r\n", head, 1);
        let actions = vec![vec![send(first)], vec![send(ok_response("two"))]];
        let target = ScriptedTarget::start(actions).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let first = call(host.settings.caller_address, &request("a1")).await;
        assert_eq!((first.status, &*first.body), (200, "one"));
        let second = call(host.settings.caller_address, &request("a2")).await;
        assert_eq!((second.status, &*second.body), (200, "two"));
    });
}

struct PaceCase {
    /// What the target sends at each interval, in this order; the last one repeats until the client closes.
    pieces: &'static [&'static str],
    interval_ms: u64,
    is_complete: bool,
}

// Guards against slow streams that are cut before their deadline of 1.5 s, and against stalled ones that a byte now and
// then keeps open for ever.
#[test_case(&PaceCase { pieces: &["id: 1\n\n", "id: 2\n\n", "id: 3\n\n", ""], interval_ms: 330, is_complete: true }; "a slow stream")]
#[test_case(&PaceCase { pieces: &["id: 1\n\n", "id: 2\ndata: ", "x", "x", "x", "x\n\n", ""], interval_ms: 150, is_complete: true }; "a slow event")]
#[test_case(&PaceCase { pieces: &["id: 1\n\n", "x"], interval_ms: 100, is_complete: false }; "a byte now and then in an event")]
#[test_case(&PaceCase { pieces: &["id: 1\n\n", ":\n\n"], interval_ms: 100, is_complete: false }; "comments without an event")]
#[test_case(&PaceCase { pieces: &[":", "x"], interval_ms: 100, is_complete: false }; "a byte now and then before the first event")]
fn streams_end_with_their_last_event_or_their_deadline(case: &PaceCase) {
    on_one_thread(async {
        let mut actions = vec![send(stream_head())];
        let repeats = if case.is_complete { 0 } else { 40 };
        let last = case.pieces.last().copied();
        let pieces = case.pieces.iter().copied();
        for piece in pieces.chain(last.into_iter().cycle().take(repeats)) {
            let text = if piece.is_empty() {
                "0\r\n\r\n".to_owned()
            } else {
                chunk(piece)
            };
            actions.extend([send(text), Action::Wait(case.interval_ms)]);
        }
        let target = ScriptedTarget::start(vec![actions]).await;
        let host = start_host(STREAM, std::slice::from_ref(&target)).await;
        let started = std::time::Instant::now();
        let answer = call(host.settings.caller_address, &request("a1")).await;
        let is_whole = answer.status == 200 && answer.is_complete;
        assert_eq!(is_whole, case.is_complete, "{answer:?}");
        assert!(started.elapsed() < Duration::from_millis(2_000));
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(host.requests(), 0);
    });
}

struct UnframedCase {
    /// The body of a stream without a length or chunks.
    body: String,
    end: Action,
    status: u16,
    is_complete: bool,
}

// Guards against a stream that is delimited by the close of its connection and broken off, but looks complete.
#[test_case(UnframedCase { body: format!("{}{}", event(1), event(2)), end: Action::Close, status: 200, is_complete: true }; "closed after an event")]
#[test_case(UnframedCase { body: format!("{}id: 2\ndata: pi", event(1)), end: Action::Close, status: 200, is_complete: false }; "closed inside an event")]
#[test_case(UnframedCase { body: format!("{}{}", event(1), event(2)), end: Action::Reset, status: 200, is_complete: false }; "reset after an event")]
#[test_case(UnframedCase { body: "id: 1\ndata: pi".to_owned(), end: Action::Close, status: 502, is_complete: true }; "closed inside the first event")]
#[test_case(UnframedCase { body: String::new(), end: Action::Close, status: 502, is_complete: true }; "closed before the first event")]
#[test_case(UnframedCase { body: ": wait\n\n".to_owned(), end: Action::Close, status: 502, is_complete: true }; "closed after a comment")]
fn unframed_streams_are_complete_only_after_an_event(case: UnframedCase) {
    on_one_thread(async move {
        let head = stream_head().replace("transfer-encoding: chunked\r\n", "");
        let actions = vec![
            send(format!("{head}{}", case.body)),
            Action::Wait(100),
            case.end,
        ];
        let target = ScriptedTarget::start(vec![actions]).await;
        let host = start_host(STREAM, std::slice::from_ref(&target)).await;
        let answer = call(host.settings.caller_address, &request("a1")).await;
        let seen = (answer.status, answer.is_complete);
        assert_eq!(seen, (case.status, case.is_complete), "{answer:?}");
    });
}

/// Guards against work that is started again elsewhere because another request lost its connection to the same target.
#[test]
fn a_lost_answer_does_not_end_other_requests_at_its_target() {
    on_one_thread(async {
        let first = ScriptedTarget::start(vec![
            vec![Action::Wait(150), Action::Reset],
            vec![Action::Wait(400), send(ok_response("one"))],
        ])
        .await;
        let second = ScriptedTarget::start(vec![vec![send(ok_response("two"))]]).await;
        let targets = [first, second];
        let host = start_host(REPEATABLE, &targets).await;
        // The load on the second target makes the first one preferred.
        host.plan().targets[0][1].load.borrow_mut().running = 4;
        let address = host.settings.caller_address;
        let lost = tokio::task::spawn_local(async move { call(address, &request("a1")).await });
        tokio::time::sleep(Duration::from_millis(50)).await;
        let answer = call(address, &request("a2")).await;
        assert_eq!(answer.body, "one", "{answer:?}");
        let lost = lost.await.expect("the caller task completes");
        assert_eq!(lost.body, "two", "{lost:?}");
        assert_eq!(targets[1].request_heads.borrow().len(), 1);
    });
}

/// The idle timeout of callers in the tests of slow readers, in milliseconds.
const READER_IDLE_MS: u64 = 600;

struct ReaderCase {
    options: RouteOptions,
    answer: Vec<Action>,
    /// The caller reads up to 256 KiB at this interval; it reads nothing if there is none.
    read_interval_ms: Option<u64>,
    /// Whether the connection is still open after six times the idle timeout.
    is_open: bool,
}

fn large_answer() -> Vec<Action> {
    vec![send(ok_response(&"x".repeat(12 * 1024 * 1024)))]
}

fn endless_stream() -> Vec<Action> {
    vec![
        send(stream_head()),
        Action::SendWithoutEnd(chunk(&event(1))),
    ]
}

// Guards against callers that stop reading and hold an answer and its memory for ever, and against slow readers that are
// taken for such.
#[test_case(ReaderCase { options: ONCE, answer: large_answer(), read_interval_ms: None, is_open: false }; "a caller that does not read an answer")]
#[test_case(ReaderCase { options: STREAM, answer: endless_stream(), read_interval_ms: None, is_open: false }; "a caller that does not read a stream")]
#[test_case(ReaderCase { options: ONCE, answer: large_answer(), read_interval_ms: Some(100), is_open: true }; "a slow reader of an answer")]
fn callers_that_do_not_read_are_disconnected(case: ReaderCase) {
    on_one_thread(async move {
        let target = ScriptedTarget::start(vec![case.answer]).await;
        let options = RouteOptions {
            timeout_ms: 60_000,
            ..case.options
        };
        let host = start_host(options, std::slice::from_ref(&target)).await;
        let mut plan = (*host.plan()).clone();
        plan.limits.idle_timeout_ms = READER_IDLE_MS;
        host.set_plan(plan);
        let mut caller = connect_with_small_buffer(host.settings.caller_address).await;
        let request = request("a1").replace("x-remaining: 1500", "x-remaining: 60000");
        let sent = caller.write_all(request.as_bytes()).await;
        sent.expect("the host reads");
        tokio::time::sleep(Duration::from_millis(READER_IDLE_MS / 2)).await;
        assert_eq!(host.connections(), 1);
        let end = tokio::time::Instant::now() + Duration::from_millis(6 * READER_IDLE_MS);
        let mut buffer = vec![0; 256 * 1024];
        while tokio::time::Instant::now() < end {
            let interval_ms = case.read_interval_ms.unwrap_or(READER_IDLE_MS);
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
            if case.read_interval_ms.is_some() {
                let read = tokio::io::AsyncReadExt::read(&mut caller, &mut buffer).await;
                assert!(read.expect("the connection is open") > 0);
            }
        }
        assert_eq!(host.connections() > 0, case.is_open);
        assert_eq!(host.requests() > 0, case.is_open);
    });
}

struct LateCopyCase {
    /// The answer to the first request.
    first: String,
    /// What follows on its connection once the connection is used again, or after a while.
    late: String,
    /// The status of the answer to the second request.
    status: u16,
}

const REJECTION_WITHOUT_ID: &str = "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
const ERROR_WITHOUT_ID: &str = "HTTP/1.1 500 Error\r\nx-seal: s\r\ncontent-length: 4\r\n\r\nlate";

// Guards against a second copy of an answer that arrives when its connection is in use again: the next caller would get the
// answer to another request, or be told that its request has not run.
#[test_case(&LateCopyCase { first: ok_response("one"), late: ok_response("late").replace(ATTEMPT_ID, "a1"), status: 502 }; "a success")]
#[test_case(&LateCopyCase { first: ok_response("one"), late: ERROR_WITHOUT_ID.to_owned(), status: 502 }; "an error without an id")]
#[test_case(&LateCopyCase { first: ok_response("one"), late: ERROR_WITHOUT_ID.replace("500 Error", "404 Not Found"), status: 502 }; "a client error without an id")]
#[test_case(&LateCopyCase { first: REJECTION_WITHOUT_ID.to_owned(), late: REJECTION_WITHOUT_ID.to_owned(), status: 200 }; "a rejection without an id")]
fn a_late_copy_of_an_answer_is_not_the_answer_to_the_next_request(case: &LateCopyCase) {
    on_one_thread(async {
        let script = vec![
            vec![
                send(case.first.as_str()),
                // Ends early when the next request arrives on the connection.
                Action::Wait(1_000),
                send(case.late.as_str()),
            ],
            vec![send(ok_response("two"))],
        ];
        let target = ScriptedTarget::start(script).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        call(host.settings.caller_address, &request("a1")).await;
        let second = call(host.settings.caller_address, &request("a2")).await;
        assert_eq!(second.status, case.status, "{second:?}");
        assert!(!second.body.contains("late"), "{second:?}");
    });
}

/// Guards against lost or duplicated events, and against a resumed stream that follows a partial event.
#[test]
fn a_broken_stream_is_resumed_at_another_target() {
    on_one_thread(async {
        let head = stream_head();
        let half = "id: 3\ndata: pi";
        let first = vec![
            send(format!("{head}{}{}", chunk(&event(1)), chunk(&event(2)))),
            Action::Wait(50),
            send(chunk(half)),
            Action::Reset,
        ];
        let rest = format!("{head}{}{}0\r\n\r\n", chunk(&event(3)), chunk(&event(4)));
        let targets = [
            ScriptedTarget::start(vec![first]).await,
            ScriptedTarget::start(vec![vec![send(rest)]]).await,
        ];
        let host = start_host(RESUMABLE, &targets).await;
        host.plan().targets[0][1].load.borrow_mut().running = 1;
        let answer = call(host.settings.caller_address, &request("a1")).await;
        assert!(answer.is_complete, "{answer:?}");
        for id in 1..=4 {
            let piece = format!("piece {id}\n");
            assert_eq!(answer.body.matches(&piece).count(), 1, "{answer:?}");
        }
        assert!(!answer.body.contains("data: piid"));
        let resumed = targets[1].request_heads.borrow()[0].clone();
        assert_eq!(header(&resumed, "last-event-id").as_deref(), Some("2"));
    });
}

/// Guards against a truncated stream that looks complete to the caller.
#[test]
fn a_broken_stream_that_must_not_run_twice_is_truncated_for_the_caller() {
    on_one_thread(async {
        let actions = vec![
            send(format!("{}{}", stream_head(), chunk(&event(1)))),
            Action::Reset,
        ];
        let target = ScriptedTarget::start(vec![actions]).await;
        let host = start_host(STREAM, std::slice::from_ref(&target)).await;
        let answer = call(host.settings.caller_address, &request("a1")).await;
        assert!(!answer.is_complete, "{answer:?}");
        assert!(answer.body.contains("piece 1"));
        assert_eq!(target.request_heads.borrow().len(), 1);
    });
}

/// Guards against requests that lack the target's id, carry reserved headers of the caller, or are changed on the way.
#[test]
fn the_target_receives_the_request_unchanged_with_its_id() {
    on_one_thread(async {
        let target = ScriptedTarget::start(vec![vec![send(ok_response("x"))]]).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let request = request("a1").replace(
            "x-remaining",
            "x-hold: h\r\nx-target: other\r\nconnection: x-private\r\nx-private: 1\r\nx-public: 2\r\nx-remaining",
        );
        call(host.settings.caller_address, &request).await;
        let head = target.request_heads.borrow()[0].clone();
        assert!(head.starts_with("POST /x/1?q=%20a HTTP/1.1"), "{head}");
        assert_eq!(header(&head, "host").as_deref(), Some("a.example"));
        assert_eq!(header(&head, "x-target").as_deref(), Some("t0"));
        assert_eq!(header(&head, "x-public").as_deref(), Some("2"));
        assert_eq!(header(&head, "x-hold"), None);
        assert_eq!(header(&head, "x-private"), None);
        let remaining = header(&head, "x-remaining").and_then(|text| text.parse::<u64>().ok());
        assert!(
            remaining.is_some_and(|remaining| remaining <= 1_500),
            "{head}"
        );
    });
}

#[derive(Clone, Copy)]
struct LimitCase {
    request: &'static str,
    status: u16,
}

// Guards against forwarding requests that exceed the limits, have invalid framing, or match no route.
#[test_case(LimitCase { request: "POST /x/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 20000\r\n\r\n", status: 413 }; "a content length above the limit")]
#[test_case(LimitCase { request: "POST /x/1 HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", status: 400 }; "a malformed chunk")]
#[test_case(LimitCase { request: "GET /y/1 HTTP/1.1\r\nhost: a.example\r\n\r\n", status: 404 }; "no route for the path")]
#[test_case(LimitCase { request: "GET /x/1 HTTP/1.1\r\nhost: b.example\r\n\r\n", status: 404 }; "no route for the host")]
fn invalid_requests_are_rejected(case: LimitCase) {
    on_one_thread(async move {
        let target = ScriptedTarget::start(vec![vec![send(ok_response("x"))]]).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let answer = call(host.settings.caller_address, case.request).await;
        assert_eq!(answer.status, case.status, "{answer:?}");
        assert!(target.request_heads.borrow().is_empty());
    });
}

/// Guards against accepting headers that are larger than the configured limit.
#[test]
fn headers_above_the_size_limit_are_rejected() {
    on_one_thread(async {
        let target = ScriptedTarget::start(vec![vec![send(ok_response("x"))]]).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let large = "v".repeat(3_000);
        let request =
            request("a1").replace("x-remaining", &format!("x-large: {large}\r\nx-remaining"));
        let answer = call(host.settings.caller_address, &request).await;
        assert_eq!(answer.status, 431);
    });
}

// Guards against a second host that refuses a request because of the headers that the first one has added.
#[test_case(2_000, 200; "at the limit")]
#[test_case(2_001, 431; "above the limit")]
fn headers_up_to_the_size_limit_pass_through_another_host(size_bytes: usize, status: u16) {
    on_one_thread(async move {
        let target = ScriptedTarget::start(vec![vec![send(ok_response("x"))]]).await;
        let first = start_host(ONCE, &[]).await;
        let second = start_host(ONCE, std::slice::from_ref(&target)).await;
        let now = first.clock.now();
        let heartbeat = heartbeat_with_free_slots(&second);
        assert!(first.hosts.borrow_mut().record_heartbeat(now, &heartbeat));
        let plain = request("a1");
        let (head, _) = plain.split_once("\r\n\r\n").expect("a head");
        let headers = head.lines().skip(1).map(|line| line.len() + 2);
        let added = size_bytes - headers.sum::<usize>() - "x-large: \r\n".len();
        let large = format!("x-large: {}\r\nx-remaining", "v".repeat(added));
        let request = plain.replace("x-remaining", &large);
        let answer = call(first.settings.caller_address, &request).await;
        assert_eq!(answer.status, status, "{answer:?}");
    });
}

struct ManyHeaders {
    of_request: usize,
    of_answer: usize,
}

// Guards against a request that is refused, or an answer that is lost, because of the number of its headers: the limits state their
// size.
#[test_case(&ManyHeaders { of_request: 120, of_answer: 0 }; "120 of a request")]
#[test_case(&ManyHeaders { of_request: 300, of_answer: 0 }; "300 of a request")]
#[test_case(&ManyHeaders { of_request: 0, of_answer: 120 }; "120 of an answer")]
#[test_case(&ManyHeaders { of_request: 300, of_answer: 300 }; "300 of both")]
fn many_small_headers_pass_through_another_host(case: &ManyHeaders) {
    on_one_thread(async {
        let small = |count: usize| -> String { (0..count).map(|_| "a: b\r\n").collect() };
        let headers = format!("\r\n{}content-length", small(case.of_answer));
        let answer = ok_response("x").replace("\r\ncontent-length", &headers);
        let target = ScriptedTarget::start(vec![vec![send(answer)]]).await;
        let first = start_host(ONCE, &[]).await;
        let second = start_host(ONCE, std::slice::from_ref(&target)).await;
        for host in [&first, &second] {
            let mut plan = (*host.plan()).clone();
            plan.limits.header_bytes = 16 * 1024;
            host.set_plan(plan);
        }
        let now = first.clock.now();
        let heartbeat = heartbeat_with_free_slots(&second);
        assert!(first.hosts.borrow_mut().record_heartbeat(now, &heartbeat));
        let headers = format!("{}x-remaining", small(case.of_request));
        let request = request("a1").replace("x-remaining", &headers);
        let answer = call(first.settings.caller_address, &request).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.head.matches("\r\na: b").count(), case.of_answer);
    });
}

/// Guards against targets that continue to work on a request after its caller has disconnected.
#[test]
fn a_disconnect_of_the_caller_cancels_the_request() {
    on_one_thread(async {
        let target =
            ScriptedTarget::start(vec![vec![Action::Wait(3_000), send(ok_response("x"))]]).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let mut caller = tokio::net::TcpStream::connect(host.settings.caller_address)
            .await
            .expect("the host listens");
        let sent = caller.write_all(request("a1").as_bytes()).await;
        sent.expect("the host reads");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(target.request_heads.borrow().len(), 1);
        drop(caller);
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(target.disconnects.get(), 1);
        assert_eq!(host.requests(), 0);
    });
}

/// Guards against a planned stop that hangs because a reader keeps the lock of the stop channel, and against one that
/// truncates a stream because its request counts as ended once the head of the answer is sent.
#[test]
fn a_planned_stop_lets_a_stream_complete() {
    on_one_thread(async {
        let mut actions = vec![send(format!("{}{}", stream_head(), chunk(&event(1))))];
        actions.push(Action::Wait(500));
        actions.push(send(format!("{}0\r\n\r\n", chunk(&event(2)))));
        let target = ScriptedTarget::start(vec![actions]).await;
        let host = start_host(STREAM, std::slice::from_ref(&target)).await;
        let address = host.settings.caller_address;
        let caller = tokio::task::spawn_local(async move { call(address, &request("a1")).await });
        tokio::time::sleep(Duration::from_millis(200)).await;
        for step in [
            lw_relay::StopStep::Announce,
            lw_relay::StopStep::CloseIdle,
            lw_relay::StopStep::CloseListener,
        ] {
            host.set_stop_step(step);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(host.requests(), 1);
        assert!(tokio::net::TcpStream::connect(address).await.is_err());
        let ready = call(
            host.settings.ready_address,
            "GET /ready HTTP/1.1\r\nhost: h\r\n\r\n",
        )
        .await;
        assert_eq!(ready.status, 503);
        let answer = caller.await.expect("the caller task completes");
        assert!(answer.is_complete, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!((host.requests(), host.connections()), (0, 0));
    });
}

/// Guards against a stream that a stopping host takes from a caller who uses an open connection, and that lasts longer than
/// the grace period: it was cut off.
#[test]
fn a_stopping_host_refuses_a_request_that_it_cannot_complete() {
    on_one_thread(async {
        let target = ScriptedTarget::start(vec![vec![send(ok_response("x"))]]).await;
        let options = RouteOptions {
            timeout_ms: 20_000,
            ..ONCE
        };
        let host = start_host(options, std::slice::from_ref(&target)).await;
        let address = host.settings.caller_address;
        host.set_stop_step(lw_relay::StopStep::Announce);
        let lasting = |id: &str, remaining_ms: u64| {
            request(id).replace("x-remaining: 1500", &format!("x-remaining: {remaining_ms}"))
        };
        assert_eq!(call(address, &lasting("a1", 12_000)).await.status, 200);
        tokio::time::sleep(Duration::from_millis(2_050)).await;
        assert_eq!(call(address, &lasting("a2", 3_000)).await.status, 200);
        let answer = call(address, &lasting("a3", 12_000)).await;
        assert_eq!(answer.status, 503, "{answer:?}");
        let retry_after = header(&answer.head, "retry-after");
        assert_eq!(retry_after.as_deref(), Some("0.00"), "{answer:?}");
        assert_eq!(target.request_heads.borrow().len(), 2);
    });
}

/// Guards against a planned stop that ends the process while a caller still reads a large answer.
#[test]
fn a_planned_stop_waits_for_slow_readers() {
    const BODY_BYTES: usize = 12 * 1024 * 1024;
    on_one_thread(async {
        let text = ok_response(&"x".repeat(BODY_BYTES));
        let target = ScriptedTarget::start(vec![vec![send(text)]]).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let mut caller = connect_with_small_buffer(host.settings.caller_address).await;
        let sent = caller.write_all(request("a1").as_bytes()).await;
        sent.expect("the host reads");
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(host.requests(), 1, "the answer is not sent completely");
        let answer = read_answer(&mut caller).await;
        assert!(answer.is_complete && answer.body.len() == BODY_BYTES);
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(host.requests(), 0);
    });
}

/// What a caller has done when the host, which had no time to notice it, takes a step of the planned stop.
struct RaceCase {
    is_connection_used: bool,
    step: lw_relay::StopStep,
}

// Guards against a planned stop that closes a connection, or the queue of new ones, although a request is in it.
#[test_case(&RaceCase { is_connection_used: true, step: lw_relay::StopStep::CloseIdle }; "a used connection")]
#[test_case(&RaceCase { is_connection_used: true, step: lw_relay::StopStep::CloseListener }; "a used connection, and the listener closes")]
#[test_case(&RaceCase { is_connection_used: false, step: lw_relay::StopStep::CloseIdle }; "a new connection")]
#[test_case(&RaceCase { is_connection_used: false, step: lw_relay::StopStep::CloseListener }; "a new connection, and the listener closes")]
fn a_planned_stop_answers_requests_that_have_just_arrived(case: &RaceCase) {
    use std::io::Write;

    on_one_thread(async {
        let target = ScriptedTarget::start(vec![vec![send(ok_response("x"))]]).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let address = host.settings.caller_address;
        let mut used = None;
        if case.is_connection_used {
            let mut caller = tokio::net::TcpStream::connect(address)
                .await
                .expect("the host listens");
            let sent = caller.write_all(request("a1").as_bytes()).await;
            sent.expect("the host reads");
            assert_eq!(read_answer(&mut caller).await.status, 200);
            used = Some(caller.into_std().expect("a socket"));
        }
        // From here to the step, the host does not run.
        let mut caller = match used {
            Some(caller) => caller,
            None => std::net::TcpStream::connect(address).expect("the host listens"),
        };
        caller
            .write_all(request("a2").as_bytes())
            .expect("the socket has room");
        host.set_stop_step(case.step);
        caller.set_nonblocking(true).expect("a socket option");
        let mut caller = tokio::net::TcpStream::from_std(caller).expect("a socket");
        let answer = read_answer(&mut caller).await;
        assert_eq!((answer.status, &*answer.body), (200, "x"));
    });
}

/// Guards against a directory that lists a host that announced its stop.
#[test]
fn the_directory_does_not_list_a_leaving_host() {
    on_one_thread(async {
        let host = start_host(ONCE, &[]).await;
        let lookup = "GET /entry?name=a.example&region=north&zone=z HTTP/1.1\r\nhost: h\r\n\r\n";
        let answer = call(host.settings.directory_address, lookup).await;
        assert_eq!(answer.status, 200);
        assert!(
            answer
                .body
                .contains(&host.settings.caller_address.to_string())
        );
        host.set_stop_step(lw_relay::StopStep::Announce);
        let answer = call(host.settings.directory_address, lookup).await;
        assert_eq!(answer.status, 503);
        assert_eq!(header(&answer.head, "retry-after").as_deref(), Some("1"));
    });
}

struct TwoHostsCase {
    actions: Vec<Action>,
    status: u16,
    arrivals: usize,
}

// Guards against a second host that sends a request to a target on which the first host has already tried it, because
// the first host does not forward the list of tried targets.
#[test_case(TwoHostsCase { actions: error_answer(), status: 500, arrivals: 1 }; "an error answer")]
#[test_case(TwoHostsCase { actions: not_run_answer(), status: 503, arrivals: 1 }; "a rejection")]
fn a_second_host_does_not_try_the_same_target(case: TwoHostsCase) {
    on_one_thread(async move {
        let target = ScriptedTarget::start(vec![case.actions]).await;
        let targets = std::slice::from_ref(&target);
        let first = start_host(REPEATABLE, targets).await;
        let second = start_host(REPEATABLE, targets).await;
        let is_recorded = first
            .hosts
            .borrow_mut()
            .record_heartbeat(first.clock.now(), &heartbeat_with_free_slots(&second));
        assert!(is_recorded);
        let answer = call(first.settings.caller_address, &request("a1")).await;
        assert_eq!(answer.status, case.status, "{answer:?}");
        assert_eq!(target.request_heads.borrow().len(), case.arrivals);
    });
}

/// Guards against a host without a retry budget: if the hosts that cover the targets of a service counted its requests,
/// a host that covers none of them would have no budget. A tenth of the lookups at low load then ended with an error
/// that a retry at another target would have avoided.
#[test]
fn a_host_that_covers_no_target_has_a_retry_budget() {
    on_one_thread(async {
        let failing = ScriptedTarget::start(vec![error_answer()]).await;
        let healthy = ScriptedTarget::start(vec![vec![send(ok_response("x"))]]).await;
        let first = start_host(REPEATABLE, &[]).await;
        let others = [
            start_host(REPEATABLE, std::slice::from_ref(&failing)).await,
            start_host(REPEATABLE, std::slice::from_ref(&healthy)).await,
        ];
        first.bounds.set(lw_relay::Bounds {
            retry_ratio: 2.0,
            retry_extra: 0.0,
            ..first.bounds.get()
        });
        for id in 0..8 {
            for other in &others {
                let heartbeat = heartbeat_with_free_slots(other);
                first
                    .hosts
                    .borrow_mut()
                    .record_heartbeat(first.clock.now(), &heartbeat);
            }
            let answer = call(first.settings.caller_address, &request(&format!("a{id}"))).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        assert!(
            !failing.request_heads.borrow().is_empty(),
            "no request was retried"
        );
    });
}

/// Guards against retries through another host that no retry budget counts: with crashing targets, hosts sent 571
/// retries with a limit of 568.
#[test]
fn retries_through_another_host_use_the_retry_budget() {
    on_one_thread(async {
        let failing = ScriptedTarget::start(vec![vec![Action::Reset]]).await;
        let other = ScriptedTarget::start(vec![vec![send(ok_response("x"))]]).await;
        let first = start_host(REPEATABLE, std::slice::from_ref(&failing)).await;
        // The second host also knows the target that the first one has tried.
        let second = start_host(REPEATABLE, &[failing, other.clone()]).await;
        let bounds = lw_relay::Bounds {
            retry_ratio: 0.0,
            retry_extra: 12.0,
            ..first.bounds.get()
        };
        first.bounds.set(bounds);
        second.bounds.set(bounds);
        let mut statuses = Vec::new();
        for id in 0..8 {
            let is_recorded = first
                .hosts
                .borrow_mut()
                .record_heartbeat(first.clock.now(), &heartbeat_with_free_slots(&second));
            assert!(is_recorded || id > 0);
            first.plan().targets[0][0].load.borrow_mut().health = lw_relay::TargetHealth::default();
            let answer = call(first.settings.caller_address, &request(&format!("a{id}"))).await;
            statuses.push(answer.status);
        }
        // A recently started host has an eighth of the 12 retries as its share, and uses 0.7 of that: one.
        assert_eq!(other.request_heads.borrow().len(), 1, "{statuses:?}");
        assert_eq!(statuses.iter().filter(|status| **status == 502).count(), 7);
    });
}

// Guards against restarted hosts that use the extra retries of their predecessors again.
#[test_case(None, 200; "without an earlier process")]
#[test_case(Some(1), 200; "the listed process is this one")]
#[test_case(Some(0), 502; "the platform lists an earlier process")]
fn a_restarted_host_has_only_the_retries_of_its_requests(
    listed_started_ms: Option<u64>,
    status: u16,
) {
    on_one_thread(async {
        let failing = ScriptedTarget::start(vec![vec![Action::Reset]]).await;
        let other = ScriptedTarget::start(vec![vec![send(ok_response("x"))]]).await;
        let host = start_host(REPEATABLE, &[failing, other]).await;
        if let Some(started_ms) = listed_started_ms {
            let mut address = heartbeat_with_free_slots(&host).address;
            address.started_ms = started_ms;
            host.record_listed_host(lw_mesh::ListedHost {
                address,
                capacity_permille: 250,
            });
        }
        // The second target answers; whichever is chosen first, one of two requests meets the failing one.
        let mut worst = 0;
        for id in 0..2 {
            let answer = call(host.settings.caller_address, &request(&format!("a{id}"))).await;
            worst = worst.max(answer.status);
        }
        assert_eq!(worst, status);
    });
}
