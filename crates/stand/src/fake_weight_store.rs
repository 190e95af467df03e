//! A fake weight store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use lw_base::{FastMap, MonoMs};
use parking_lot::Mutex;

use crate::http_server::{Reply, ServerHandle, path_after, reply, start};
use crate::kv_limits::TokenBucket;

/// A fake weight store that refuses loads above its rate limit; clones share one state.
#[derive(Clone)]
pub struct FakeWeightStore {
    state: Arc<Mutex<State>>,
    started: Instant,
}

struct State {
    weights: FastMap<String, Bytes>,
    loads: TokenBucket,
    served: u64,
    refused: u64,
}

impl FakeWeightStore {
    /// Creates a store that serves at most `loads_per_s` loads per second, with bursts of up to one second of loads.
    #[must_use]
    pub fn new(loads_per_s: f64) -> Self {
        let state = State {
            weights: FastMap::default(),
            loads: TokenBucket::new(loads_per_s, MonoMs(0)),
            served: 0,
            refused: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            started: Instant::now(),
        }
    }

    /// Serves the store over HTTP.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(&self, address: SocketAddr) -> std::io::Result<ServerHandle> {
        let fake = self.clone();
        start(address, move |request| {
            std::future::ready(Ok(fake.handle_request(&request)))
        })
        .await
    }

    /// Adds the weights for a version of a model.
    pub fn add(&self, model: &str, version: &str, weights: impl Into<Bytes>) {
        let name = format!("{model}/{version}");
        self.state.lock().weights.insert(name, weights.into());
    }

    /// Returns the numbers of served loads and of loads that the rate limit refused.
    #[must_use]
    pub fn loads(&self) -> (u64, u64) {
        let state = self.state.lock();
        (state.served, state.refused)
    }

    fn handle_request(&self, request: &Request<Incoming>) -> Reply {
        let now = MonoMs(self.started.elapsed().as_millis() as u64);
        let mut state = self.state.lock();
        let name = path_after(request.uri().path(), "/weights/");
        let Some(weights) = name.and_then(|name| state.weights.get(&name).cloned()) else {
            return reply(StatusCode::NOT_FOUND, Bytes::new());
        };
        if !state.loads.take(1.0, now) {
            state.refused += 1;
            return reply(StatusCode::TOO_MANY_REQUESTS, Bytes::new());
        }
        state.served += 1;
        reply(StatusCode::OK, weights)
    }
}
