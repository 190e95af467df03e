//! A retry budget that is divided between hosts without a shared counter.

use lw_base::prelude::*;

use crate::window_counter::WindowCounter;

const BUCKET_MS: u64 = 500;
/// The number of buckets; they cover the longest supported window of 30 s.
const BUCKETS: usize = 60;
/// The fraction of the limit that hosts use. The limit must hold for every interval, but the sliding windows of the
/// hosts cover different intervals.
const USABLE_FRACTION: f64 = 0.7;

/// The retry limit of a service over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetPolicy {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Retries allowed in each window in addition to the ratio, over all hosts.
    pub extra: f64,
    /// The length of the window, in milliseconds.
    pub window_ms: u64,
    /// The number of hosts that share `extra`.
    pub hosts: usize,
}

/// Counts the requests and retries of one service on this host and enforces its part of the limit.
///
/// The ratio applies to the requests of this host, and `extra` is divided by the number of hosts. The sum over all
/// hosts therefore stays below the limit, whatever the other hosts do.
#[derive(Clone, Debug, Default)]
pub struct WindowedRetryBudget {
    counts: WindowCounter<BUCKETS, BUCKET_MS>,
}

impl WindowedRetryBudget {
    /// Records the first attempt of a request.
    pub fn request(&mut self, now: MonoMs) {
        self.counts.advance(now);
        self.counts.record_request();
    }

    /// Takes one retry from this host's part of the budget; returns false when it is spent.
    pub fn try_retry(&mut self, now: MonoMs, policy: RetryBudgetPolicy) -> bool {
        self.counts.advance(now);
        let buckets = (policy.window_ms / BUCKET_MS + 1).clamp(1, BUCKETS as u64) as usize;
        let (requests, retries) = self.counts.sums(buckets);
        let allowed = policy.ratio * requests + policy.extra / policy.hosts.max(1) as f64;
        if retries + 1.0 > allowed * USABLE_FRACTION {
            return false;
        }
        self.counts.record_retry();
        true
    }
}
