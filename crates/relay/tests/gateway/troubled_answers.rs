//! Targets in trouble that answer with statuses that HTTP does not define, in the middle of an upload, or without end.

use std::time::Duration;

use lw_base::prelude::*;
use lw_relay::Service;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::support::*;
use crate::warming_target::HEALTH_PATH;

/// More than the buffers of a connection hold at once.
const UPLOAD_BYTES: usize = 3 * 1024 * 1024;
const UPLOADS: usize = 8;
/// Longer than the health checks after a lost answer take together.
const CHECKED_AFTER: Duration = Duration::from_millis(1_500);

// Guards against an answer of a target in trouble that its caller cannot read, or may take for a success.
#[test_case("000")]
#[test_case("099")]
#[test_case("0")]
#[test_case("20x")]
#[test_case("1000")]
#[test_case("600")]
#[test_case("999")]
fn an_answer_with_an_undefined_status_is_not_passed_on(status: &str) {
    on_one_thread(async {
        let answer = ok_response("done").replace("200 OK", status);
        let target = ScriptedTarget::start(vec![vec![Action::Send(answer), Action::Close]]).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let answer = call(host.settings.caller_address, &request("a1")).await;
        assert_eq!(answer.status, 502, "{answer:?}");
        assert_eq!(header(&answer.head, "x-seal"), None, "{answer:?}");
    });
}

// Guards against a host that keeps the bytes without end of a target that it asks for its health after a lost answer.
#[test_case(&format!("HTTP/1.1 200 OK\r\nx-attempt: {ATTEMPT_ID}\r\n"), "x-more: 1\r\n"; "a head")]
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n"; "interim responses")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "x"; "a body without a length")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nbody\r\n"; "a chunked body")]
fn a_health_check_without_end_is_given_up(start: &str, repeated: &str) {
    on_one_thread(async {
        let endless = vec![
            Action::Send(start.to_owned()),
            Action::SendWithoutEnd(repeated.to_owned()),
        ];
        let target = ScriptedTarget::start(vec![vec![Action::Reset], endless]).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let mut plan = plan_with_route(ONCE, std::slice::from_ref(&target));
        let service = plan.services.keys().next().expect("a service");
        let with_health = Service {
            health_path: Some(HEALTH_PATH.into()),
            ..plan.services[service].clone()
        };
        plan.services = NamedArena::default();
        plan.services.push("s", with_health);
        host.set_plan(plan);
        let answer = call(host.settings.caller_address, &request("a1")).await;
        assert_eq!(answer.status, 502, "{answer:?}");
        tokio::time::sleep(CHECKED_AFTER).await;
        let is_asked = |head: &String| head.starts_with(&format!("GET {HEALTH_PATH} "));
        assert!(target.request_heads.borrow().iter().any(is_asked));
        let sent = target.sent_without_end_bytes.get();
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(target.sent_without_end_bytes.get(), sent);
    });
}

struct EarlyAnswer {
    head: &'static str,
    /// How much of the upload the target reads before it answers.
    read_bytes: usize,
    /// How long the target waits between its answer and the reset, in milliseconds.
    wait_ms: u64,
}

// Guards against a part of an answer that passes for a whole one: the target answers while the upload is still being written, and
// resets the connection.
#[test_case(&EarlyAnswer { head: "HTTP/1.1 200 OK", read_bytes: 1, wait_ms: 0 }; "at once")]
#[test_case(&EarlyAnswer { head: "HTTP/1.1 200 OK", read_bytes: 1, wait_ms: 50 }; "the reset follows")]
#[test_case(&EarlyAnswer { head: "HTTP/1.1 200 OK", read_bytes: 100_000, wait_ms: 0 }; "after a part of the upload")]
#[test_case(&EarlyAnswer { head: "HTTP/1.1 200 OK\r\nconnection: close", read_bytes: 1, wait_ms: 0 }; "the answer says that the connection closes")]
#[test_case(&EarlyAnswer { head: "HTTP/1.0 200 OK", read_bytes: 1, wait_ms: 50 }; "an older version of HTTP")]
fn an_answer_without_a_length_that_is_reset_during_the_upload_is_not_complete(case: &EarlyAnswer) {
    let EarlyAnswer {
        head,
        read_bytes,
        wait_ms,
    } = *case;
    on_one_thread(async {
        let mut target = ScriptedTarget::start(vec![vec![]]).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        target.address = listener.local_addr().expect("a bound socket");
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(answer_early(stream, head, read_bytes, wait_ms));
            }
        });
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let mut plan = plan_with_route(ONCE, &[target]);
        plan.limits.body_bytes = UPLOAD_BYTES;
        host.set_plan(plan);
        for number in 0..UPLOADS {
            let head = format!(
                "POST /x/1 HTTP/1.1\r\nhost: a.example\r\nx-attempt: a{number}\r\nx-remaining: 1500\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n"
            );
            let upload = head + &"u".repeat(UPLOAD_BYTES);
            let answer = call(host.settings.caller_address, &upload).await;
            assert_eq!(answer.status, 502, "upload {number}: {}", answer.head);
        }
    });
}

async fn answer_early(mut stream: TcpStream, head: &'static str, read_bytes: usize, wait_ms: u64) {
    let mut received = Vec::new();
    let mut buffer = vec![0; 16 * 1024];
    let is_enough = |received: &[u8]| {
        let head_end = received.windows(4).position(|part| part == b"\r\n\r\n");
        head_end.is_some_and(|end| received.len() >= end + 4 + read_bytes)
    };
    while !is_enough(&received) {
        match stream.read(&mut buffer).await {
            Ok(length) if length > 0 => received.extend_from_slice(&buffer[..length]),
            _ => return,
        }
    }
    let text = String::from_utf8_lossy(&received);
    let id = header(&text, "x-attempt").unwrap_or_default();
    let answer = format!("{head}\r\nx-attempt: {id}\r\nx-seal: s\r\n\r\na part of the answer");
    if stream.write_all(answer.as_bytes()).await.is_err() {
        return;
    }
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    let socket = socket2::SockRef::from(&stream);
    socket
        .set_linger(Some(Duration::ZERO))
        .expect("a TCP socket");
}
