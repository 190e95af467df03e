//! Requests and retries in a sliding window.

use lw_base::prelude::*;

/// Counts requests and retries in a ring of `BUCKETS` buckets of `BUCKET_MS` milliseconds each.
#[derive(Clone, Debug)]
pub(crate) struct WindowCounter<const BUCKETS: usize, const BUCKET_MS: u64> {
    /// Requests and retries of each bucket.
    counts: [(u32, u32); BUCKETS],
    bucket: u64,
}

impl<const BUCKETS: usize, const BUCKET_MS: u64> Default for WindowCounter<BUCKETS, BUCKET_MS> {
    fn default() -> Self {
        Self {
            counts: [(0, 0); BUCKETS],
            bucket: 0,
        }
    }
}

impl<const BUCKETS: usize, const BUCKET_MS: u64> WindowCounter<BUCKETS, BUCKET_MS> {
    /// Advances to the bucket of `now` and clears the buckets in between.
    pub(crate) fn advance(&mut self, now: MonoMs) {
        let bucket = now.0 / BUCKET_MS;
        let steps = bucket.saturating_sub(self.bucket).min(BUCKETS as u64);
        for step in 0..steps {
            self.counts[((bucket - step) % BUCKETS as u64) as usize] = (0, 0);
        }
        self.bucket = self.bucket.max(bucket);
    }

    /// Records a request in the current bucket.
    pub(crate) fn record_request(&mut self) {
        self.counts[self.position(0)].0 += 1;
    }

    /// Records a retry in the current bucket.
    pub(crate) fn record_retry(&mut self) {
        self.counts[self.position(0)].1 += 1;
    }

    /// Returns the number of retries in the current bucket.
    pub(crate) fn current_retries(&self) -> u32 {
        self.counts[self.position(0)].1
    }

    /// Returns the number of requests and retries in the newest `buckets` buckets.
    pub(crate) fn sums(&self, buckets: usize) -> (f64, f64) {
        let newest = (0..buckets.min(BUCKETS)).map(|back| self.counts[self.position(back)]);
        let (requests, retries) =
            newest.fold((0, 0), |sum, bucket| (sum.0 + bucket.0, sum.1 + bucket.1));
        (f64::from(requests), f64::from(retries))
    }

    fn position(&self, back: usize) -> usize {
        ((self.bucket + BUCKETS as u64 - back as u64) % BUCKETS as u64) as usize
    }
}
