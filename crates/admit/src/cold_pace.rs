//! The pace of requests to a target that has just started.

use lw_base::prelude::*;

/// What all hosts together may send to a target while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartQuota {
    /// The requests that may arrive in any second, over all hosts.
    pub per_s: f64,
    /// The hosts that may send any, see [`ColdStartLimiter::sending_hosts`].
    pub hosts: usize,
}

/// The window of the limit, with a margin for requests that are on their way when it begins.
const WINDOW_MS: u64 = 1_150;

/// Bounds the requests that this host sends to one cold target.
///
/// There is no common counter: a few hosts, chosen by rendezvous hashing, each hold a fixed part of the limit.
#[derive(Clone, Debug, Default)]
pub struct ColdStartLimiter {
    sent_at: Vec<MonoMs>,
}

impl ColdStartLimiter {
    /// Returns how many hosts may send to a cold target that takes `per_s` requests in a second, so that each of them
    /// holds at least two; a part of one would idle between its requests.
    #[must_use]
    pub fn sending_hosts(per_s: f64, sharers: usize) -> usize {
        ((per_s / 2.0) as usize).clamp(1, sharers.max(1))
    }

    /// Takes one request out of this host's part; returns false when the part is used up.
    pub fn try_send(&mut self, now: MonoMs, limit: ColdStartQuota) -> bool {
        self.sent_at.retain(|at| now.since_ms(*at) < WINDOW_MS);
        if !self.may_send(now, limit) {
            return false;
        }
        self.sent_at.push(now);
        true
    }

    /// Returns whether [`Self::try_send`] would succeed.
    #[must_use]
    pub fn may_send(&self, now: MonoMs, limit: ColdStartQuota) -> bool {
        let recent = self.sent_at.iter();
        let recent = recent.filter(|at| now.since_ms(**at) < WINDOW_MS).count();
        recent < (limit.per_s / limit.hosts.max(1) as f64) as usize
    }
}
