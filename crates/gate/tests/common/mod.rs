//! Helpers that start hosts and send requests.
#![allow(dead_code, reason = "each test target uses only some of the helpers")]

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use lw_doc::{compile, parse_document};
use lw_gate::{
    Clock, Gate, GateParts, HostView, HttpServer, IdempotencyHooks, Identity, MAX_BODY_BYTES,
    ServerOptions,
};
use lw_route::Router;

const OPTIONS: ServerOptions = ServerOptions {
    worker_threads: 1,
    max_body_bytes: MAX_BODY_BYTES,
    body_timeout_ms: 5_000,
    keep_alive_ms: 5_000,
};

pub(crate) const IDEMPOTENCY_KEY: &str = "east.0190a0a0-a0a0-7000-8000-00000000000a";

pub(crate) fn loopback_address() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Returns a configuration with the service `portal` and one target, whose zone is the placeholder `ZONE`.
pub(crate) fn portal_document(target: SocketAddr, allowed: &str) -> String {
    format!(
        r#"{{"format": 1,
        "regions": {{"east": {{"zones": ["east-1"]}}, "west": {{"zones": ["west-1"]}}}},
        "services": {{"portal": {{"kind": "plain", "priority": "lookup", "regions": ["east", "west"],
            "allowed_regions": [{allowed}], "deadline_ms": 3000}}}},
        "targets": {{"portal-1": {{"service": "portal", "zone": "ZONE", "address": "{target}"}}}}}}"#
    )
}

pub(crate) struct Host {
    pub(crate) gate: Arc<Gate>,
    pub(crate) callers: HttpServer,
    pub(crate) peers: HttpServer,
}

pub(crate) fn start_host(
    region: &str,
    document: &str,
    key: &str,
    forward: Option<SocketAddr>,
    idempotency_hooks: IdempotencyHooks,
) -> Host {
    start_host_accepting(region, document, key, &[], forward, idempotency_hooks)
}

/// Starts a host that also accepts the peer keys in `accepted`.
pub(crate) fn start_host_accepting(
    region: &str,
    document: &str,
    key: &str,
    accepted: &[&str],
    forward: Option<SocketAddr>,
    idempotency_hooks: IdempotencyHooks,
) -> Host {
    let parsed = parse_document("test", document).unwrap();
    let fleet = Arc::new(compile(&parsed.document, 1));
    let clock = Clock::start();
    let mut hosts = HostView::alone();
    hosts.forward_addresses = Arc::new(move |_| forward.iter().map(ToString::to_string).collect());
    let gate = Gate::new(GateParts {
        identity: Identity {
            host: format!("{region}-host").as_str().into(),
            region: region.into(),
            zone: format!("{region}-1").as_str().into(),
        },
        clock,
        router: Arc::new(Router::new(clock.mono(), &fleet, region, 7)),
        hosts,
        idempotency_hooks,
        peer_key: key.as_bytes().to_vec(),
        peer_keys_accepted: accepted.iter().map(|key| key.as_bytes().to_vec()).collect(),
        operators: Vec::new(),
    });
    gate.state().set_ready(true);
    Host {
        callers: HttpServer::start(loopback_address(), OPTIONS, gate.caller_handler()).unwrap(),
        peers: HttpServer::start(loopback_address(), OPTIONS, gate.peer_handler()).unwrap(),
        gate,
    }
}

pub(crate) async fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> Response<Bytes> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::default()).unwrap();
    let (head, body) = client.request(request).await.unwrap().into_parts();
    Response::from_parts(head, body.collect().await.unwrap().to_bytes())
}

pub(crate) fn header<'a>(response: &'a Response<Bytes>, name: &str) -> &'a str {
    response
        .headers()
        .get(name)
        .map_or("", |value| value.to_str().unwrap())
}
