//! Test host with a document file, and an HTTP client for it.

#![allow(dead_code, reason = "no test file uses all helpers")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lw_daemon::{Daemon, Exit, Settings};

pub(crate) type TestClient = Client<HttpConnector, Full<Bytes>>;

/// Bearer token of the operator in the settings.
pub(crate) const OPERATOR_TOKEN: &str = "operator-token";
/// SHA-256 digest of [`OPERATOR_TOKEN`].
pub(crate) const OPERATOR_DIGEST: &str =
    "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";

static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

pub(crate) fn local() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Builds a document with plain services and model services, each with one target.
pub(crate) fn document(
    plain: &[(&str, SocketAddr)],
    models: &[(&str, SocketAddr)],
) -> serde_json::Value {
    let mut document = serde_json::json!({
        "format": 1,
        "regions": {"east": {"zones": ["east-1"]}, "west": {"zones": ["west-1"]}},
        "services": {}, "targets": {},
        "customers": {
            "bound-west": {"home_region": "west"},
            "with-key": {"key_digest": "5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8"},
            "limited": {"requests_per_s": 1.0},
        },
    });
    for (name, address) in plain {
        document["services"][name] = serde_json::json!({
            "kind": "plain", "priority": "lookup", "regions": ["east"], "deadline_ms": 5000,
            "non_idempotent_methods": ["POST", "PATCH"],
        });
        add_target(&mut document, &format!("{name}-1"), name, *address);
    }
    for (name, address) in models {
        document["services"][name] = serde_json::json!({
            "kind": "model", "priority": "interactive", "regions": ["east"], "deadline_ms": 5000,
            "non_idempotent_methods": [],
        });
        add_target(&mut document, &format!("{name}-1"), name, *address);
    }
    document
}

/// Adds a target that can resume streams.
pub(crate) fn add_target(
    document: &mut serde_json::Value,
    name: &str,
    service: &str,
    address: SocketAddr,
) {
    document["targets"][name] = serde_json::json!({
        "service": service, "zone": "east-1", "address": address.to_string(), "resume": true,
    });
}

pub(crate) struct TestHost {
    pub(crate) daemon: Daemon,
    pub(crate) client: TestClient,
}

pub(crate) struct TestReply {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    /// The body, or `None` if the connection was closed before its end.
    pub(crate) body: Option<Bytes>,
}

impl TestReply {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(self.body.as_ref().expect("the body is complete")).into_owned()
    }
}

/// Writes the document to a file and returns settings for a host that reads it.
pub(crate) fn settings(document: &serde_json::Value) -> Settings {
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let name = format!("lw-daemon-test-{}-{number}.json", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, document.to_string()).unwrap();
    let text = serde_json::json!({
        "host": "host-1", "region": "east", "zone": "east-1",
        "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "nng": "127.0.0.1:0", "admin": "127.0.0.1:0"},
        "document_file": file,
        "peer_key": "a key of the test hosts",
        "operators": [{"name": "test", "token_digest": OPERATOR_DIGEST}],
        "move_ms": 50, "drain_limit_ms": 5000,
    });
    Settings::parse("test settings", &text.to_string()).unwrap()
}

impl TestHost {
    pub(crate) async fn start(document: &serde_json::Value) -> Self {
        Self::start_with(settings(document)).await
    }

    pub(crate) async fn start_with(settings: Settings) -> Self {
        let file = settings.document_file.clone();
        let daemon = Daemon::start(settings).await.unwrap();
        if let Some(file) = file {
            let _ = std::fs::remove_file(file);
        }
        Self {
            daemon,
            client: client(),
        }
    }

    pub(crate) async fn get(&self, path: &str) -> TestReply {
        self.send(Method::GET, path, &[], "").await
    }

    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> TestReply {
        send(
            &self.client,
            self.daemon.addresses().callers,
            method,
            path,
            headers,
            body,
        )
        .await
    }

    pub(crate) async fn drain(self) {
        assert_eq!(self.daemon.drain().await, Exit::Ok);
    }
}

pub(crate) fn client() -> TestClient {
    Client::builder(TokioExecutor::new()).build_http()
}

pub(crate) async fn send(
    client: &TestClient,
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> TestReply {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    let response = client.request(request).await.unwrap();
    let (head, body) = response.into_parts();
    TestReply {
        status: head.status.as_u16(),
        headers: head.headers,
        body: body
            .collect()
            .await
            .ok()
            .map(http_body_util::Collected::to_bytes),
    }
}

/// Returns options of a fast engine that serves the model `chat`.
pub(crate) fn engine_options() -> lw_stand::EngineOptions {
    lw_stand::EngineOptions {
        model: "chat".to_owned(),
        decode_ms: 2.0,
        resume: true,
        ..lw_stand::EngineOptions::default()
    }
}

/// Builds the body of a chat request.
pub(crate) fn chat_body(prompt: &str, tokens: usize, stream: bool) -> String {
    serde_json::json!({
        "model": "chat", "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens, "stream": stream,
    })
    .to_string()
}

/// Sends bytes and returns all received bytes, until the connection closes or 5 s have passed.
pub(crate) async fn raw_exchange(address: SocketAddr, request: &[u8]) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
    socket.write_all(request).await.unwrap();
    let mut answer = Vec::new();
    let read = socket.read_to_end(&mut answer);
    let _ = tokio::time::timeout(std::time::Duration::from_secs(5), read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Polls until `done` returns true; panics after 1,000 polls, 10 ms apart.
pub(crate) async fn until(what: &str, mut done: impl FnMut() -> bool) {
    for _ in 0..1_000 {
        if done() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    panic!("still waiting for {what}");
}

/// Serves one response with a body of `bytes` bytes as fast as it is read; returns the address and the sent byte count.
pub(crate) async fn bulk_target(
    bytes: usize,
) -> (SocketAddr, std::sync::Arc<std::sync::atomic::AtomicUsize>) {
    use tokio::io::AsyncWriteExt;
    let listener = tokio::net::TcpListener::bind(local()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let count = sent.clone();
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        read_head(&mut socket).await;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {bytes}\r\n\r\n");
        socket.write_all(head.as_bytes()).await.unwrap();
        let part = vec![b'x'; 16 * 1024];
        while count.load(Ordering::Acquire) < bytes && socket.write_all(&part).await.is_ok() {
            count.fetch_add(part.len(), Ordering::AcqRel);
        }
    });
    (address, sent)
}

/// Serves bodies that end before their declared length.
pub(crate) async fn truncating_target() -> SocketAddr {
    use tokio::io::AsyncWriteExt;
    let listener = tokio::net::TcpListener::bind(local()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            read_head(&mut socket).await;
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort";
            let _ = socket.write_all(answer).await;
        }
    });
    address
}

async fn read_head(socket: &mut tokio::net::TcpStream) {
    use tokio::io::AsyncReadExt;
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && matches!(socket.read(&mut byte).await, Ok(1)) {
        head.push(byte[0]);
    }
}

/// Concatenates the token texts of a server-sent event stream.
pub(crate) fn streamed_text(events: &str) -> String {
    let data = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok());
    chunks
        .filter_map(|chunk| {
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect()
}
