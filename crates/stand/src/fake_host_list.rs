//! A fake of the platform's host list and directory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use lw_plat::HostEntry;
use parking_lot::Mutex;

use crate::http_server::{
    ConnectionAborted, Reply, ServerHandle, json_reply, path_after, query_value, read_body, reply,
    start,
};

/// Maximum number of versions of the host list that are kept for delayed reads.
const MAX_HISTORY: usize = 1_024;

/// The host list, whose changes become visible after a lag, and the directory, whose changes are visible at once.
///
/// Clones share one state.
#[derive(Clone, Default)]
pub struct FakeHostList {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    history: Vec<(Instant, Vec<HostEntry>)>,
    lag_ms: u64,
    outage: bool,
    directory: BTreeMap<String, HostEntry>,
}

impl FakeHostList {
    /// Serves `/hosts` and `/directory` over HTTP.
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

    /// Replaces the host list; readers see the change after the lag.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        let mut state = self.state.lock();
        state.history.push((Instant::now(), hosts));
        if state.history.len() > MAX_HISTORY {
            state.history.remove(0);
        }
    }

    /// Sets the time until a change of the host list becomes visible, in milliseconds.
    pub fn set_lag_ms(&self, lag_ms: u64) {
        self.state.lock().lag_ms = lag_ms;
    }

    /// Starts or ends an outage of both services.
    pub fn set_outage(&self, outage: bool) {
        self.state.lock().outage = outage;
    }

    /// Returns the hosts that the directory lists.
    #[must_use]
    pub fn directory(&self) -> Vec<HostEntry> {
        self.state.lock().directory.values().cloned().collect()
    }

    async fn handle_request(&self, request: Request<Incoming>) -> Result<Reply, ConnectionAborted> {
        let (parts, body) = request.into_parts();
        let body = read_body(body).await?;
        let mut state = self.state.lock();
        if state.outage {
            return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
        }
        let path = parts.uri.path();
        let host = path_after(path, "/directory/");
        let response = match (&parts.method, path, host) {
            (&Method::GET, "/hosts", _) => json_reply(StatusCode::OK, &state.visible_hosts()),
            (&Method::GET, "/directory", _) => {
                let region = query_value(parts.uri.query(), "region");
                json_reply(StatusCode::OK, &state.directory_in(region.as_deref()))
            }
            (&Method::PUT, _, Some(host)) => state.put_host(host, &body),
            (&Method::DELETE, _, Some(host)) => state.remove_host(&host),
            _ => reply(StatusCode::BAD_REQUEST, Bytes::new()),
        };
        Ok(response)
    }
}

impl State {
    fn visible_hosts(&self) -> Vec<HostEntry> {
        let lag = Duration::from_millis(self.lag_ms);
        let visible = self
            .history
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag);
        visible.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    fn directory_in(&self, region: Option<&str>) -> Vec<HostEntry> {
        let hosts = self.directory.values();
        let in_region = hosts.filter(|entry| region.is_none_or(|region| entry.region == region));
        in_region.cloned().collect()
    }

    fn put_host(&mut self, host: String, body: &[u8]) -> Reply {
        let Ok(entry) = serde_json::from_slice::<HostEntry>(body) else {
            return reply(StatusCode::BAD_REQUEST, Bytes::new());
        };
        self.directory.insert(host, entry);
        reply(StatusCode::OK, Bytes::new())
    }

    fn remove_host(&mut self, host: &str) -> Reply {
        let status = match self.directory.remove(host) {
            Some(_) => StatusCode::OK,
            None => StatusCode::NOT_FOUND,
        };
        reply(status, Bytes::new())
    }
}
