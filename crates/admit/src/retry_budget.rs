//! The retry budget of a service on one host.

use lw_base::prelude::*;

use crate::window_counter::WindowCounter;

/// The length of the sliding window, in buckets of one second.
const WINDOW_BUCKETS: usize = 10;
const BUCKET_MS: u64 = 1_000;
/// Allowed retries per request in the window.
const RETRY_RATIO: f64 = 0.1;
/// Retries per second that are always allowed for a service, over all hosts.
const MIN_RETRIES_PER_S: f64 = 1.0;

/// Limits retries to 10% of the requests in the last ten seconds, with a minimum for services with few requests.
///
/// The minimum is divided by the number of hosts. If each host could always retry once per second, eight hosts with
/// four requests per second each would retry a quarter of their requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    counts: WindowCounter<WINDOW_BUCKETS, BUCKET_MS>,
    min_retries: f64,
}

impl Default for RetryBudget {
    /// Returns the budget of a single host; [`RetryBudget::set_hosts`] changes the number of hosts.
    fn default() -> Self {
        Self::new(1)
    }
}

impl RetryBudget {
    /// Creates the budget of one host of a service that `hosts` hosts serve.
    #[must_use]
    pub fn new(hosts: u32) -> Self {
        let mut budget = Self {
            counts: WindowCounter::default(),
            min_retries: 0.0,
        };
        budget.set_hosts(hosts);
        budget
    }

    /// Sets the number of hosts that share the minimum.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.min_retries = MIN_RETRIES_PER_S * WINDOW_BUCKETS as f64 / f64::from(hosts.max(1));
    }

    /// Records the first attempt of a request.
    pub fn request(&mut self, now: MonoMs) {
        self.counts.advance(now);
        self.counts.record_request();
    }

    /// Takes one retry from the budget; returns false when the budget is spent.
    pub fn try_retry(&mut self, now: MonoMs) -> bool {
        self.counts.advance(now);
        let (requests, retries) = self.counts.sums(WINDOW_BUCKETS);
        let allowed_by_ratio = requests * RETRY_RATIO;
        if retries + 1.0 > allowed_by_ratio.max(self.min_retries) {
            return false;
        }
        // The minimum is spread evenly: at most one retry in each one-second bucket.
        if allowed_by_ratio < self.min_retries && self.counts.current_retries() > 0 {
            return false;
        }
        self.counts.record_retry();
        true
    }
}
