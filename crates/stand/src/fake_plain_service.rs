//! A fake plain service that counts the executions of each idempotency key.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use hyper::body::Incoming;
use lw_base::FastMap;
use parking_lot::Mutex;
use serde::Serialize;

use crate::attempt_echo::{echo_attempt, refuse_before_start};
use crate::http_server::{ConnectionAborted, Reply, ServerHandle, json_reply, read_body, start};

/// A fake plain service: GET and HEAD are lookups, other methods place orders; clones share one state.
#[derive(Clone, Default)]
pub struct FakePlainService {
    state: Arc<Mutex<State>>,
}

/// A callback that receives the path and the idempotency key of each request that is executed.
type Observer = Arc<dyn Fn(&str, Option<&str>) + Send + Sync>;

#[derive(Default)]
struct State {
    observer: Option<Observer>,
    runs: FastMap<String, u64>,
    lookups: u64,
    orders: u64,
    delay_ms: u64,
    extra_bytes: usize,
    refusals_left: u32,
    aborts_left: u32,
    wrong_attempts_left: u32,
}

/// The faults that apply to the response of one request.
struct ResponseFaults {
    delay_ms: u64,
    abort: bool,
    wrong_attempt: bool,
}

#[derive(Serialize)]
struct ResponseBody {
    path: String,
    key: Option<String>,
    order: Option<u64>,
    received_bytes: usize,
    padding: String,
}

impl FakePlainService {
    /// Serves all paths over HTTP.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(&self, address: SocketAddr) -> std::io::Result<ServerHandle> {
        let fake = self.clone();
        start(address, move |request| {
            let fake = fake.clone();
            async move { fake.handle_request(request).await }
        })
        .await
    }

    /// Returns the number of executions of the idempotency key.
    #[must_use]
    pub fn runs_of(&self, key: &str) -> u64 {
        self.state.lock().runs.get(key).copied().unwrap_or(0)
    }

    /// Returns the highest number of executions of any idempotency key.
    #[must_use]
    pub fn max_runs(&self) -> u64 {
        self.state.lock().runs.values().copied().max().unwrap_or(0)
    }

    /// Returns the number of executed orders, with and without an idempotency key.
    #[must_use]
    pub fn orders(&self) -> u64 {
        self.state.lock().orders
    }

    /// Returns the number of executed lookups.
    #[must_use]
    pub fn lookups(&self) -> u64 {
        self.state.lock().lookups
    }

    /// Delays each response after the execution of its request, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state.lock().delay_ms = delay_ms;
    }

    /// Pads each response by `extra_bytes` bytes.
    pub fn set_extra_bytes(&self, extra_bytes: usize) {
        self.state.lock().extra_bytes = extra_bytes;
    }

    /// Makes the service refuse the next `count` requests before they start.
    pub fn refuse(&self, count: u32) {
        self.state.lock().refusals_left = count;
    }

    /// Makes the service abort the connection of the next `count` requests after their execution.
    pub fn abort_after_execution(&self, count: u32) {
        self.state.lock().aborts_left = count;
    }

    /// Makes the service answer the next `count` requests with the attempt id of another request.
    pub fn answer_with_wrong_attempt(&self, count: u32) {
        self.state.lock().wrong_attempts_left = count;
    }

    /// Calls `observer` with the path and idempotency key of each request before its execution.
    pub fn observe(&self, observer: impl Fn(&str, Option<&str>) + Send + Sync + 'static) {
        self.state.lock().observer = Some(Arc::new(observer));
    }

    async fn handle_request(&self, request: Request<Incoming>) -> Result<Reply, ConnectionAborted> {
        let (parts, body) = request.into_parts();
        let body = read_body(body).await?;
        if self.consume_refusal() {
            return Ok(refuse_before_start(&parts.headers));
        }
        let (faults, body) = self.run(&parts, &body);
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.abort {
            return Err(ConnectionAborted);
        }
        let mut response = json_reply(StatusCode::OK, &body);
        echo_attempt(&parts.headers, &mut response, faults.wrong_attempt);
        Ok(response)
    }

    fn consume_refusal(&self) -> bool {
        consume_one(&mut self.state.lock().refusals_left)
    }

    fn run(
        &self,
        parts: &http::request::Parts,
        received: &Bytes,
    ) -> (ResponseFaults, ResponseBody) {
        let mut state = self.state.lock();
        let key = idempotency_key(&parts.headers);
        if let Some(observer) = &state.observer {
            observer(parts.uri.path(), key.as_deref());
        }
        let order = match parts.method {
            Method::GET | Method::HEAD => {
                state.lookups += 1;
                None
            }
            _ => {
                state.orders += 1;
                if let Some(key) = &key {
                    *state.runs.entry(key.clone()).or_default() += 1;
                }
                Some(state.orders)
            }
        };
        let faults = ResponseFaults {
            delay_ms: state.delay_ms,
            abort: consume_one(&mut state.aborts_left),
            wrong_attempt: consume_one(&mut state.wrong_attempts_left),
        };
        let body = ResponseBody {
            path: parts.uri.to_string(),
            key,
            order,
            received_bytes: received.len(),
            padding: "x".repeat(state.extra_bytes),
        };
        (faults, body)
    }
}

fn idempotency_key(headers: &HeaderMap) -> Option<String> {
    let value = headers.get("idempotency-key")?;
    value.to_str().ok().map(str::to_owned)
}

/// Decrements a counter that is above zero, and returns whether it was.
pub(crate) fn consume_one(counter: &mut u32) -> bool {
    let was_positive = *counter > 0;
    *counter = counter.saturating_sub(1);
    was_positive
}
