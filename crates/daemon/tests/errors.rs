//! Errors that callers cause.

mod support;

use http::Method;
use lw_stand::{FakeEngine, FakePlainService};
use support::{TestHost, document, local, raw_exchange};

struct Case {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    status: u16,
    kind: &'static str,
    outcome: &'static str,
}

const PLAIN_REQUEST: Case = Case {
    name: "",
    method: "GET",
    path: "/s/portal/x",
    headers: &[],
    body: "",
    status: 400,
    kind: "bad_request",
    outcome: "not-run",
};

const CHAT_REQUEST: Case = Case {
    method: "POST",
    path: "/v1/chat/completions",
    ..PLAIN_REQUEST
};

const MALFORMED_KEY: &str = "east.not-a-uuid";

const CASES: &[Case] = &[
    Case {
        name: "malformed JSON",
        body: "{",
        ..CHAT_REQUEST
    },
    Case {
        name: "no model in the body",
        body: "{}",
        ..CHAT_REQUEST
    },
    Case {
        name: "chat by GET",
        method: "GET",
        ..CHAT_REQUEST
    },
    Case {
        name: "unknown model",
        body: r#"{"model":"none"}"#,
        status: 404,
        kind: "unknown_service",
        ..CHAT_REQUEST
    },
    Case {
        name: "plain service as a model",
        body: r#"{"model":"portal"}"#,
        status: 404,
        kind: "unknown_service",
        ..CHAT_REQUEST
    },
    Case {
        name: "unknown service",
        path: "/s/none/x",
        status: 404,
        kind: "unknown_service",
        ..PLAIN_REQUEST
    },
    Case {
        name: "unknown path",
        path: "/other",
        status: 404,
        kind: "unknown_service",
        ..PLAIN_REQUEST
    },
    Case {
        name: "internal header from a caller",
        headers: &[("lw-hop", "owner")],
        ..PLAIN_REQUEST
    },
    Case {
        name: "attempt id from a caller",
        headers: &[("x-attempt-id", "1")],
        ..PLAIN_REQUEST
    },
    Case {
        name: "via header of the gateway itself",
        headers: &[("via", "1.1 other, 1.1 lacewingstile")],
        status: 508,
        kind: "loop_detected",
        ..PLAIN_REQUEST
    },
    Case {
        name: "unknown customer",
        headers: &[("x-customer", "nobody")],
        status: 401,
        kind: "unauthorized",
        ..PLAIN_REQUEST
    },
    Case {
        name: "missing credential",
        headers: &[("x-customer", "with-key")],
        status: 401,
        kind: "unauthorized",
        ..PLAIN_REQUEST
    },
    Case {
        name: "wrong credential",
        headers: &[
            ("x-customer", "with-key"),
            ("authorization", "Bearer other"),
        ],
        status: 401,
        kind: "unauthorized",
        ..PLAIN_REQUEST
    },
    Case {
        name: "customer bound to another region",
        headers: &[("x-customer", "bound-west")],
        status: 421,
        kind: "misdirected",
        ..PLAIN_REQUEST
    },
    Case {
        name: "unknown priority",
        headers: &[("lacewingstile-priority", "urgent")],
        ..PLAIN_REQUEST
    },
    Case {
        name: "zero deadline",
        headers: &[("lacewingstile-deadline-ms", "0")],
        ..PLAIN_REQUEST
    },
    Case {
        name: "missing idempotency key",
        method: "POST",
        kind: "key_missing",
        ..PLAIN_REQUEST
    },
    Case {
        name: "malformed idempotency key",
        method: "POST",
        headers: &[("idempotency-key", MALFORMED_KEY)],
        kind: "key_malformed",
        ..PLAIN_REQUEST
    },
    Case {
        name: "key of another region",
        method: "POST",
        headers: &[(
            "idempotency-key",
            "west.0190a0a0-a0a0-7000-8000-00000000000a",
        )],
        status: 421,
        kind: "misdirected",
        outcome: "unknown",
        ..PLAIN_REQUEST
    },
    Case {
        name: "key of another region, first attempt",
        method: "POST",
        headers: &[
            (
                "idempotency-key",
                "west.0190a0a0-a0a0-7000-8000-00000000000a",
            ),
            ("lacewingstile-attempt", "1"),
        ],
        status: 421,
        kind: "misdirected",
        ..PLAIN_REQUEST
    },
    Case {
        name: "key of an unknown region",
        method: "POST",
        headers: &[(
            "idempotency-key",
            "north.0190a0a0-a0a0-7000-8000-00000000000a",
        )],
        kind: "key_malformed",
        outcome: "unknown",
        ..PLAIN_REQUEST
    },
    Case {
        name: "key of an unknown region, first attempt",
        method: "POST",
        headers: &[
            (
                "idempotency-key",
                "north.0190a0a0-a0a0-7000-8000-00000000000a",
            ),
            ("lacewingstile-attempt", "1"),
        ],
        kind: "key_malformed",
        ..PLAIN_REQUEST
    },
];

/// Guards against passing a faulty request to a target, and against errors that callers cannot tell apart.
#[tokio::test(flavor = "multi_thread")]
async fn faulty_requests_get_their_error_and_reach_no_target() {
    let (portal, engine) = (
        FakePlainService::default(),
        FakeEngine::new(support::engine_options()),
    );
    let targets = (
        portal.start(local()).await.unwrap(),
        engine.start(local()).await.unwrap(),
    );
    let models = [("chat", targets.1.address())];
    let host = TestHost::start(&document(&[("portal", targets.0.address())], &models)).await;
    for case in CASES {
        let method: Method = case.method.parse().unwrap();
        let reply = host.send(method, case.path, case.headers, case.body).await;
        let text = reply.text();
        assert_eq!(reply.status, case.status, "{}: {text}", case.name);
        assert_eq!(
            reply.header("lacewingstile-error"),
            case.kind,
            "{}",
            case.name
        );
        assert_eq!(
            reply.header("lacewingstile-outcome"),
            case.outcome,
            "{}",
            case.name
        );
        let body: serde_json::Value = serde_json::from_str(&text).unwrap();
        assert_eq!(body["error"]["kind"], case.kind, "{}", case.name);
    }
    assert_eq!(portal.lookups() + portal.orders(), 0);
    host.drain().await;
}

/// Guards against headers or bodies of unlimited size.
#[tokio::test(flavor = "multi_thread")]
async fn header_and_body_sizes_are_limited() {
    let portal = FakePlainService::default();
    let target = portal.start(local()).await.unwrap();
    let host = TestHost::start(&document(&[("portal", target.address())], &[])).await;

    let long = "x".repeat(lw_gate::MAX_HEADER_BYTES);
    let reply = host
        .send(Method::GET, "/s/portal/x", &[("x-long", &long)], "")
        .await;
    assert_eq!(
        (reply.status, reply.header("lacewingstile-error")),
        (431, "headers_too_large")
    );

    let body = "x".repeat(lw_gate::MAX_BODY_BYTES + 1);
    let reply = host.send(Method::PUT, "/s/portal/x", &[], &body).await;
    assert_eq!(
        (reply.status, reply.header("lacewingstile-error")),
        (413, "body_too_large")
    );
    assert_eq!(portal.lookups() + portal.orders(), 0);
    host.drain().await;
}

/// Guards against request smuggling: the gateway and a target must not read different lengths from one message.
#[tokio::test(flavor = "multi_thread")]
async fn conflicting_lengths_are_refused() {
    let portal = FakePlainService::default();
    let target = portal.start(local()).await.unwrap();
    let host = TestHost::start(&document(&[("portal", target.address())], &[])).await;
    let address = host.daemon.addresses().callers;
    let heads = [
        "Content-Length: 3\r\nContent-Length: 5\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3x\r\n",
    ];
    for head in heads {
        let request = format!("PUT /s/portal/x HTTP/1.1\r\nHost: a\r\n{head}\r\nabcde");
        let answer = raw_exchange(address, request.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{head:?}: {answer}");
    }
    assert_eq!(portal.lookups() + portal.orders(), 0);
    host.drain().await;
}

/// Guards against passing a truncated body to a target as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_bodies_are_refused() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let portal = FakePlainService::default();
    let target = portal.start(local()).await.unwrap();
    let host = TestHost::start(&document(&[("portal", target.address())], &[])).await;
    let bodies = [
        "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
        "Content-Length: 5\r\n\r\nab",
    ];
    for body in bodies {
        let request = format!("PUT /s/portal/x HTTP/1.1\r\nHost: a\r\n{body}");
        let address = host.daemon.addresses().callers;
        let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
        socket.write_all(request.as_bytes()).await.unwrap();
        socket.shutdown().await.unwrap();
        let mut answer = String::new();
        let _ = socket.read_to_string(&mut answer).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{body:?}: {answer}");
        assert!(
            answer.contains("lacewingstile-outcome: not-run"),
            "{body:?}: {answer}"
        );
    }
    assert_eq!(portal.lookups() + portal.orders(), 0);
    host.drain().await;
}

/// Guards against a customer that exceeds its rate limit, and against a valid credential that is refused.
#[tokio::test(flavor = "multi_thread")]
async fn customers_are_authenticated_and_rate_limited() {
    let portal = FakePlainService::default();
    let target = portal.start(local()).await.unwrap();
    let host = TestHost::start(&document(&[("portal", target.address())], &[])).await;
    let headers = [
        ("x-customer", "with-key"),
        ("authorization", "Bearer password"),
    ];
    let reply = host.send(Method::GET, "/s/portal/x", &headers, "").await;
    assert_eq!(reply.status, 200);

    let mut kinds = Vec::new();
    for _ in 0..5 {
        let reply = host
            .send(Method::GET, "/s/portal/x", &[("x-customer", "limited")], "")
            .await;
        kinds.push(reply.header("lacewingstile-error").to_owned());
        if reply.status == 429 {
            assert!(!reply.header("retry-after").is_empty());
        }
    }
    assert!(
        kinds.iter().any(|kind| kind == "limit_exceeded"),
        "{kinds:?}"
    );
    host.drain().await;
}
