//! Responses that the HTTP library builds itself.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use common::{header, loopback_address, portal_document, send_request, start_host};
use lw_gate::IdempotencyHooks;
use lw_stand::FakePlainService;
use test_case::test_case;

fn send_raw_request(address: SocketAddr, request: &str) -> String {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    let _ = socket.read_to_string(&mut answer);
    answer
}

/// Guards against a 400 or 431 of the HTTP library, without headers of the gateway, for a request that ran: callers
/// treat such a response as "not run".
#[test_case("Content-Length: 3\r\nContent-Length: 5\r\n", "400"; "conflicting content lengths")]
#[test_case(&"X-Line: a\r\n".repeat(200), "431"; "too many header lines")]
#[test_case(&format!("X-Line: {}\r\n", "a".repeat(140 * 1_024)), "431"; "too many header bytes")]
#[test_case("Broken\r\n", "400"; "malformed header line")]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_the_http_library_rejects_does_not_run(head: &str, status: &str) {
    let fake_service = FakePlainService::default();
    let target = fake_service.start(loopback_address()).await.unwrap();
    let document = portal_document(target.address(), "").replace("ZONE", "east-1");
    let host = start_host(
        "east",
        &document,
        "one key",
        None,
        IdempotencyHooks::refuse_all(),
    );
    let request = format!("PUT /s/portal/x HTTP/1.1\r\nHost: a\r\n{head}\r\nabcde");
    let address = host.callers.address();
    let answer = tokio::task::spawn_blocking(move || send_raw_request(address, &request))
        .await
        .unwrap();
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert_eq!(fake_service.lookups() + fake_service.orders(), 0);
}

/// Guards against forwarding 101 Switching Protocols of a target as a complete response: the caller would switch to
/// another protocol on its connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_101_response_of_a_target_is_not_forwarded() {
    let listener = TcpListener::bind(loopback_address()).unwrap();
    let target = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let mut socket = socket.unwrap();
            let mut head = [0; 4_096];
            let _ = socket.read(&mut head);
            let reply =
                "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n";
            let _ = socket.write_all(reply.as_bytes());
        }
    });
    let document = portal_document(target, "").replace("ZONE", "east-1");
    let host = start_host(
        "east",
        &document,
        "one key",
        None,
        IdempotencyHooks::refuse_all(),
    );
    let reply = send_request(host.callers.address(), "PUT", "/s/portal/x", &[]).await;
    assert_eq!(reply.status(), 502, "{reply:?}");
    assert_eq!(header(&reply, "lacewingstile-error"), "answer_incomplete");
    assert_eq!(header(&reply, "lacewingstile-outcome"), "unknown");
}
