//! The stand-in of a plain service, which counts how often each idempotency key ran.

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
use crate::http_server::{Broken, Reply, ServerHandle, json_reply, read_body, start};

/// A plain service: a POST places an order, a GET looks something up; clones share one state.
#[derive(Clone, Default)]
pub struct FakePlainService {
    state: Arc<Mutex<State>>,
}

/// Takes the path and the idempotency key of each received request.
type Observer = Arc<dyn Fn(&str, Option<&str>) + Send + Sync>;

#[derive(Default)]
struct State {
    observer: Option<Observer>,
    runs: FastMap<String, u64>,
    lookups: u64,
    orders: u64,
    delay_ms: u64,
    extra_bytes: usize,
    to_refuse: u32,
    to_break: u32,
    to_mislabel: u32,
}

/// What happens to one request.
struct Plan {
    delay_ms: u64,
    breaks: bool,
    mislabelled: bool,
}

#[derive(Serialize)]
struct Body {
    path: String,
    key: Option<String>,
    order: Option<u64>,
    received_bytes: usize,
    padding: String,
}

impl FakePlainService {
    /// Serves any path over HTTP.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(&self, address: SocketAddr) -> std::io::Result<ServerHandle> {
        let stand = self.clone();
        start(address, move |request| {
            let stand = stand.clone();
            async move { stand.answer(request).await }
        })
        .await
    }

    /// Returns how often the given idempotency key ran.
    #[must_use]
    pub fn runs_of(&self, key: &str) -> u64 {
        self.state.lock().runs.get(key).copied().unwrap_or(0)
    }

    /// Returns the highest number of runs of any key.
    #[must_use]
    pub fn max_runs(&self) -> u64 {
        self.state.lock().runs.values().copied().max().unwrap_or(0)
    }

    /// Returns the number of orders that ran, with and without a key.
    #[must_use]
    pub fn orders(&self) -> u64 {
        self.state.lock().orders
    }

    /// Returns the number of lookups that ran.
    #[must_use]
    pub fn lookups(&self) -> u64 {
        self.state.lock().lookups
    }

    /// Delays each response after the request ran.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state.lock().delay_ms = delay_ms;
    }

    /// Adds so many bytes to each response.
    pub fn set_extra_bytes(&self, extra_bytes: usize) {
        self.state.lock().extra_bytes = extra_bytes;
    }

    /// Refuses the next `count` requests before they start.
    pub fn refuse(&self, count: u32) {
        self.state.lock().to_refuse = count;
    }

    /// Breaks the connection of the next `count` requests after they ran.
    pub fn break_after_run(&self, count: u32) {
        self.state.lock().to_break = count;
    }

    /// Answers the next `count` requests with the attempt id of another request.
    pub fn answer_with_wrong_attempt(&self, count: u32) {
        self.state.lock().to_mislabel = count;
    }

    /// Calls `observer` with path and idempotency key of each request that runs, before it runs.
    pub fn observe(&self, observer: impl Fn(&str, Option<&str>) + Send + Sync + 'static) {
        self.state.lock().observer = Some(Arc::new(observer));
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Reply, Broken> {
        let (parts, body) = request.into_parts();
        let body = read_body(body).await?;
        if self.refuses() {
            return Ok(refuse_before_start(&parts.headers));
        }
        let (plan, body) = self.run(&parts, &body);
        if plan.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(plan.delay_ms)).await;
        }
        if plan.breaks {
            return Err(Broken);
        }
        let mut response = json_reply(StatusCode::OK, &body);
        echo_attempt(&parts.headers, &mut response, plan.mislabelled);
        Ok(response)
    }

    fn refuses(&self) -> bool {
        take_one(&mut self.state.lock().to_refuse)
    }

    fn run(&self, parts: &http::request::Parts, received: &Bytes) -> (Plan, Body) {
        let mut state = self.state.lock();
        let key = key_of(&parts.headers);
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
        let plan = Plan {
            delay_ms: state.delay_ms,
            breaks: take_one(&mut state.to_break),
            mislabelled: take_one(&mut state.to_mislabel),
        };
        let body = Body {
            path: parts.uri.to_string(),
            key,
            order,
            received_bytes: received.len(),
            padding: "x".repeat(state.extra_bytes),
        };
        (plan, body)
    }
}

fn key_of(headers: &HeaderMap) -> Option<String> {
    let value = headers.get("idempotency-key")?;
    value.to_str().ok().map(str::to_owned)
}

/// Takes one from a counter, and returns whether there was one left.
pub(crate) fn take_one(counter: &mut u32) -> bool {
    let had_one = *counter > 0;
    *counter = counter.saturating_sub(1);
    had_one
}
