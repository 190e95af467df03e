//! Rate limit for requests to a target that has just started.

use lw_base::prelude::*;

/// The rate at which all hosts together may send to a target with a cold cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartQuota {
    /// The maximum number of requests in any second, over all hosts.
    pub per_s: f64,
    /// The number of hosts that may send to the target, see [`ColdStartLimiter::sending_hosts`].
    pub hosts: usize,
    /// This host may send one request more than the others, see [`ColdStartLimiter::remaining_parts`].
    pub has_remaining_part: bool,
}

/// The one-second window of the limit plus a margin for requests in transit when the window begins.
const WINDOW_MS: u64 = 1_150;

/// Limits the requests that this host sends to one cold target.
///
/// Hosts share no counter. Instead, a few hosts, chosen by rendezvous hashing, each get a fixed part of the limit.
#[derive(Clone, Debug, Default)]
pub struct ColdStartLimiter {
    sent_at: Vec<MonoMs>,
    /// Requests that were allowed and wait for a connection.
    reserved: usize,
    /// No request is allowed before this time.
    held_until: MonoMs,
}

impl ColdStartLimiter {
    /// Returns how many of the `eligible_hosts` may send to a cold target that accepts `per_s` requests per second.
    ///
    /// Each sending host gets at least two requests per second. With a quota of one, a host would leave capacity
    /// unused between its requests.
    #[must_use]
    pub fn sending_hosts(per_s: f64, eligible_hosts: usize) -> usize {
        ((per_s / 2.0) as usize).clamp(1, eligible_hosts.max(1))
    }

    /// Returns how many of the sending hosts may send one request more than the others, because the limit is not a multiple
    /// of their number.
    #[must_use]
    pub fn remaining_parts(per_s: f64, sending_hosts: usize) -> usize {
        (per_s as usize) % sending_hosts.max(1)
    }

    /// Returns the number of requests that this host may send in a window, and the length of the window in milliseconds.
    /// With less than one request per second, the window is longer.
    fn own_limit(quota: ColdStartQuota) -> (usize, u64) {
        let own_per_s = quota.per_s / quota.hosts.max(1) as f64;
        match own_per_s {
            1.0.. => {
                let own = own_per_s as usize;
                (own + usize::from(quota.has_remaining_part), WINDOW_MS)
            }
            _ if own_per_s > 0.0 => (1, (WINDOW_MS as f64 / own_per_s) as u64),
            _ => (0, WINDOW_MS),
        }
    }

    /// Reserves one request of this host's quota; returns false when the quota is used up. The reservation lasts until
    /// [`Self::record_sent`] or [`Self::cancel`].
    ///
    /// Load: a request may wait for its connection longer than the margin of the window, for example on a host that was
    /// suspended. If it counted from its reservation, requests of two windows could arrive within one second.
    pub fn try_reserve(&mut self, now: MonoMs, quota: ColdStartQuota) -> bool {
        let (_, window_ms) = Self::own_limit(quota);
        self.sent_at.retain(|at| now.since_ms(*at) < window_ms);
        if !self.may_send(now, quota) {
            return false;
        }
        self.reserved += 1;
        true
    }

    /// Records that a reserved request is sent.
    pub fn record_sent(&mut self, now: MonoMs) {
        self.reserved = self.reserved.saturating_sub(1);
        self.sent_at.push(now);
    }

    /// Records a request that was sent while the target counted as warm.
    ///
    /// Load: a host learns late that a target has turned cold. The requests of the last second arrived at the cold target
    /// too, so they use up this host's part.
    pub fn record_unlimited(&mut self, now: MonoMs) {
        self.sent_at.retain(|at| now.since_ms(*at) < WINDOW_MS);
        self.sent_at.push(now);
    }

    /// Allows no request for a window, because the target has just turned cold under its id.
    ///
    /// Load: hosts learn of it one after the other, and those that have not yet go on at their usual rates.
    pub fn hold(&mut self, now: MonoMs) {
        self.held_until = now.plus_ms(WINDOW_MS);
    }

    /// Gives back the reservation of a request that is not sent.
    pub fn cancel(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns true when [`Self::try_reserve`] would succeed.
    #[must_use]
    pub fn may_send(&self, now: MonoMs, quota: ColdStartQuota) -> bool {
        if now < self.held_until {
            return false;
        }
        let (limit, window_ms) = Self::own_limit(quota);
        let recent = self.sent_at.iter();
        let recent = recent.filter(|at| now.since_ms(**at) < window_ms).count();
        recent + self.reserved < limit
    }
}
