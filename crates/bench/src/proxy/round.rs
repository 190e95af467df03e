//! One measured round of requests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cpu_time::ProcessTime;

use crate::proxy::load::{HttpCaller, send_plain_request, send_stream_request};

/// The number and kind of the requests of a round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Round {
    pub(crate) count: u64,
    pub(crate) concurrency: u64,
    /// The tokens of each stream; `None` for plain requests.
    pub(crate) tokens: Option<u64>,
}

/// The address to which a round sends its requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Endpoint {
    pub(crate) address: SocketAddr,
    /// The path of plain requests.
    pub(crate) path: &'static str,
}

/// Sends a round and returns the CPU time of the whole process per request or token, in microseconds.
///
/// Fails if a request fails.
pub(crate) async fn measure(endpoint: Endpoint, round: Round) -> io::Result<f64> {
    let next = Arc::new(AtomicU64::new(0));
    let start = ProcessTime::now();
    let callers =
        (0..round.concurrency).map(|_| tokio::spawn(run_caller(endpoint, round, next.clone())));
    for caller in callers.collect::<Vec<_>>() {
        caller.await.map_err(io::Error::other)??;
    }
    let spent_us = start.elapsed().as_secs_f64() * 1_000_000.0;
    Ok(spent_us / (round.count * round.tokens.unwrap_or(1)) as f64)
}

async fn run_caller(endpoint: Endpoint, round: Round, next: Arc<AtomicU64>) -> io::Result<()> {
    let caller = HttpCaller::new();
    while next.fetch_add(1, Ordering::Relaxed) < round.count {
        match round.tokens {
            None => send_plain_request(&caller, endpoint).await?,
            Some(tokens) => send_stream_request(&caller, endpoint, tokens).await?,
        }
    }
    Ok(())
}
