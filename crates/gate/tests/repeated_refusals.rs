//! Targets that write an earlier refusal once more where the response to another request is due.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use common::{header, loopback_address, portal_document, send_request, start_host};
use lw_gate::IdempotencyHooks;
use test_case::test_case;

/// Time within which a target has to read a request that was sent to it.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the head of a request without a body and returns the id of its attempt.
fn read_attempt(socket: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if socket.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let attempt = head
        .lines()
        .find_map(|line| line.strip_prefix("x-attempt-id:"));
    Some(attempt.unwrap_or_default().trim().to_owned())
}

/// Serves the requests of a connection. Before each but the first one is read, the target writes `copy`, in which `{first}`
/// and `{this}` stand for the ids of the first attempt and of the current one.
fn serve(mut socket: TcpStream, copy: &str, runs: &AtomicU32) {
    let mut first: Option<String> = None;
    while socket.peek(&mut [0]).is_ok_and(|length| length > 0) {
        let mut this = None;
        if copy.contains("{this}") {
            this = read_attempt(&mut socket);
        }
        if let Some(first) = &first {
            let copy = copy.replace("{first}", first);
            let copy = copy.replace("{this}", this.as_deref().unwrap_or_default());
            let _ = socket.write_all(copy.as_bytes());
        }
        let Some(attempt) = this.or_else(|| read_attempt(&mut socket)) else {
            return;
        };
        runs.fetch_add(1, Ordering::Relaxed);
        let reply =
            format!("HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\ncontent-length: 2\r\n\r\nok");
        let _ = socket.write_all(reply.as_bytes());
        first.get_or_insert(attempt);
    }
}

fn start_target(copy: &'static str) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind(loopback_address()).unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Arc::new(AtomicU32::new(0));
    let counter = runs.clone();
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let counter = counter.clone();
            std::thread::spawn(move || serve(socket.unwrap(), copy, &counter));
        }
    });
    (address, runs)
}

/// Waits until the target has read `expected` requests; the caller may have its response before the target reads its request.
async fn wait_for_runs(runs: &AtomicU32, expected: u32) {
    let reach = async {
        while runs.load(Ordering::Relaxed) < expected {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let _ = tokio::time::timeout(READ_TIMEOUT, reach).await;
    assert_eq!(runs.load(Ordering::Relaxed), expected);
}

// Guards against callers that are told that a request did not run although a target runs it.
#[test_case("HTTP/1.1 503 Busy\r\nx-not-started: true\r\ncontent-length: 0\r\n\r\n"; "without an id")]
#[test_case("HTTP/1.1 429 Busy\r\nx-not-started: true\r\ncontent-length: 0\r\n\r\n"; "a 429 without an id")]
#[test_case("HTTP/1.1 503 Busy\r\nx-attempt-id: {first}\r\nx-not-started: true\r\ncontent-length: 0\r\n\r\n"; "with its id")]
#[test_case("HTTP/1.1 503 Busy\r\nx-attempt-id:\r\nx-not-started: true\r\ncontent-length: 0\r\n\r\n"; "with an empty id")]
#[test_case("HTTP/1.1 503 Busy\r\nx-attempt-id: {this}\r\nx-attempt-id: {first}\r\nx-not-started: true\r\ncontent-length: 0\r\n\r\n"; "with two ids")]
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_is_not_taken_for_the_response_to_another_request(copy: &'static str) {
    let (target, runs) = start_target(copy);
    let document = portal_document(target, "").replace("ZONE", "east-1");
    let host = start_host(
        "east",
        &document,
        "one key",
        None,
        IdempotencyHooks::refuse_all(),
    );
    let address = host.callers.address();
    let first = send_request(address, "PUT", "/s/portal/x", &[]).await;
    assert_eq!(first.status(), 200, "{first:?}");
    let second = send_request(address, "PUT", "/s/portal/x", &[]).await;
    wait_for_runs(&runs, 2).await;
    assert_eq!(second.status(), 502, "{second:?}");
    assert_eq!(
        header(&second, "lacewingstile-outcome"),
        "unknown",
        "{second:?}"
    );
}
