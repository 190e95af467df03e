//! One round of requests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cpu_time::ProcessTime;

use crate::proxy::load::{Caller, request, stream};

/// How many requests a round sends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Round {
    pub(crate) count: u64,
    pub(crate) concurrency: u64,
    /// The tokens of each stream; `None` for plain requests.
    pub(crate) tokens: Option<u64>,
}

/// Where a round sends its requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Aim {
    pub(crate) address: SocketAddr,
    /// The path of plain requests.
    pub(crate) path: &'static str,
}

/// Sends a round and returns the processor time of the whole process per request or token, in microseconds.
pub(crate) async fn measure(aim: Aim, round: Round) -> io::Result<f64> {
    let next = Arc::new(AtomicU64::new(0));
    let began = ProcessTime::now();
    let callers = (0..round.concurrency).map(|_| tokio::spawn(call(aim, round, next.clone())));
    for caller in callers.collect::<Vec<_>>() {
        caller.await.map_err(io::Error::other)??;
    }
    let spent_us = began.elapsed().as_secs_f64() * 1_000_000.0;
    Ok(spent_us / (round.count * round.tokens.unwrap_or(1)) as f64)
}

async fn call(aim: Aim, round: Round, next: Arc<AtomicU64>) -> io::Result<()> {
    let caller = Caller::new();
    while next.fetch_add(1, Ordering::Relaxed) < round.count {
        match round.tokens {
            None => request(&caller, aim).await?,
            Some(tokens) => stream(&caller, aim, tokens).await?,
        }
    }
    Ok(())
}
