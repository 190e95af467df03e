//! A caller's HTTP client, which opens a connection per request.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::faults::check::Check;
use crate::faults::host::{Fate, Process};
use crate::faults::ledger::Ledger;

/// What a request may take above its deadline: a busy machine delays timers of host and caller.
const GRACE_MS: u64 = 1_500;
/// When a caller gives up; later than any bound, so that a late answer is seen.
const PATIENCE: Duration = Duration::from_secs(30);

/// A request of a caller.
pub(crate) struct Call {
    pub(crate) kind: &'static str,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: String,
    pub(crate) deadline_ms: u64,
}

/// The response to a request.
pub(crate) struct Answer {
    pub(crate) status: u16,
    headers: HeaderMap,
    /// The body, or `None` when it was aborted.
    pub(crate) body: Option<Bytes>,
}

/// How a request ended.
pub(crate) enum Ending {
    Answer(Answer),
    /// No connection could be opened, so nothing was sent.
    NotConnected,
    /// The connection ended without a response.
    Lost,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    pub(crate) fn text(&self) -> String {
        let body = self.body.as_deref().unwrap_or_default();
        String::from_utf8_lossy(body).into_owned()
    }
}

/// Sends a request and checks that it ends in time and that a host that was not killed answers it.
pub(crate) async fn send(ledger: &Ledger, process: &Process, call: &Call) -> Ending {
    let started = Instant::now();
    let ending = tokio::time::timeout(PATIENCE, exchange(process, call)).await;
    let took_ms = started.elapsed().as_millis();
    ledger.check(
        Check::Deadline,
        took_ms <= u128::from(call.deadline_ms + GRACE_MS),
        || format!("{} {} took {took_ms} ms", call.kind, call.path),
    );
    let ending = ending.unwrap_or(Ending::Lost);
    check_cut(ledger, process, call, &ending);
    ending
}

/// Checks that only a killed host leaves a request without an answer.
fn check_cut(ledger: &Ledger, process: &Process, call: &Call, ending: &Ending) {
    let (is_lost, fate) = (matches!(ending, Ending::Lost), process.fate());
    let check = match fate {
        Fate::Live => Check::OneOutcome,
        Fate::Leaving => Check::GracefulStop,
        Fate::Killed => return,
    };
    ledger.check(check, !is_lost, || {
        format!(
            "{} {} got no answer from a host that is {fate:?}",
            call.kind, call.path
        )
    });
}

async fn exchange(process: &Process, call: &Call) -> Ending {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .build(connector);
    let uri = format!("http://{}{}", process.address, call.path);
    let mut request = Request::builder().method(&call.method).uri(uri);
    for (name, value) in &call.headers {
        request = request.header(*name, value);
    }
    request = request.header("lacewingstile-deadline-ms", call.deadline_ms);
    let Ok(request) = request.body(Full::new(Bytes::from(call.body.clone()))) else {
        return Ending::NotConnected;
    };
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Ending::NotConnected,
        Err(_) => return Ending::Lost,
    };
    let (head, body) = response.into_parts();
    Ending::Answer(Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        body: body
            .collect()
            .await
            .ok()
            .map(http_body_util::Collected::to_bytes),
    })
}
