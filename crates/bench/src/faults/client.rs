//! The HTTP client of a caller, which opens one connection per request.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::faults::check::Check;
use crate::faults::host::{Process, ProcessState};
use crate::faults::observations::Observations;

/// Time that a request may take beyond its deadline, because a busy machine delays the timers of host and caller.
const GRACE_MS: u64 = 1_500;
/// Client timeout; longer than any deadline plus margin, so that late responses are still observed.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);

/// A request to send.
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
    /// The body, or `None` if it was aborted.
    pub(crate) body: Option<Bytes>,
}

/// How a request ended.
pub(crate) enum Ending {
    Answer(Answer),
    /// The connection failed, so nothing was sent.
    NotConnected,
    /// The connection closed without a response.
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

/// Sends a request and checks that it ends within its deadline and that a host that was not killed answers it.
pub(crate) async fn send(observations: &Observations, process: &Process, call: &Call) -> Ending {
    let started = Instant::now();
    let ending = tokio::time::timeout(CLIENT_TIMEOUT, exchange(process, call)).await;
    let took_ms = started.elapsed().as_millis();
    observations.check(
        Check::Deadline,
        took_ms <= u128::from(call.deadline_ms + GRACE_MS),
        || format!("{} {} took {took_ms} ms", call.kind, call.path),
    );
    let ending = ending.unwrap_or(Ending::Lost);
    check_lost_response(observations, process, call, &ending);
    ending
}

/// Checks that only a killed host leaves a request without a response.
fn check_lost_response(
    observations: &Observations,
    process: &Process,
    call: &Call,
    ending: &Ending,
) {
    let (is_lost, process_state) = (matches!(ending, Ending::Lost), process.state());
    let check = match process_state {
        ProcessState::Live => Check::OneOutcome,
        ProcessState::Leaving => Check::GracefulStop,
        ProcessState::Killed => return,
    };
    observations.check(check, !is_lost, || {
        format!(
            "{} {} got no answer from a host that is {process_state:?}",
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
