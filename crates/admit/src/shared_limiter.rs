//! One host's use of a shared limit.

use lw_base::prelude::*;

use crate::shared_limit::{LimitPart, SECOND_WINDOW_MS};

/// How long a borrowed request may be sent, in milliseconds: one and a half of [`LENDING_INTERVAL_MS`].
const LOAN_MS: u64 = LENDING_INTERVAL_MS * 3 / 2;

/// The interval at which hosts lend, in milliseconds: that of heartbeats.
pub const LENDING_INTERVAL_MS: u64 = 400;

/// The permission to send one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// A request of the host's own part.
    Own,
    /// A request that another host has lent.
    Borrowed {
        /// The time until which it may be sent.
        until: MonoMs,
    },
}

/// Counts the requests of this host under a shared limit.
///
/// Hosts share no counter. A few hosts each hold a fixed part of the limit, and lend requests of it that they do not need
/// to others. A lent request counts as sent by the lender, whether or not the borrower gets it, so the requests of all
/// hosts together never exceed the sum of the parts.
#[derive(Clone, Debug, Default)]
pub struct SharedLimiter {
    /// When requests of the own part were sent or lent, in ascending order.
    used_at: Vec<MonoMs>,
    /// Requests of the own part that were allowed and wait for a connection.
    reserved: usize,
    /// No request is allowed before this time.
    held_until: MonoMs,
    /// The ends of the borrowed requests that were not sent yet, in ascending order.
    borrowed_until: Vec<MonoMs>,
    /// The requests per second that this host lends.
    lending_per_s: f64,
    /// The requests that this host has not lent yet although it is their turn, at `lending_at`.
    lending_credit: f64,
    lending_at: MonoMs,
}

impl SharedLimiter {
    /// Reserves one request; returns `None` when the part is used up and nothing is borrowed. The reservation lasts until
    /// [`Self::record_sent`] or [`Self::cancel`].
    ///
    /// Load: a request may wait for its connection longer than the margin of the window, for example on a host that was
    /// suspended. If it counted from its reservation, requests of two windows could arrive within one second.
    pub fn try_reserve(&mut self, now: MonoMs, part: Option<LimitPart>) -> Option<Permit> {
        self.forget_old(now, part);
        if now < self.held_until {
            return None;
        }
        if !self.borrowed_until.is_empty() {
            let until = self.borrowed_until.remove(0);
            return Some(Permit::Borrowed { until });
        }
        if self.free_requests(now, part) == 0 {
            return None;
        }
        self.reserved += 1;
        Some(Permit::Own)
    }

    /// Records that a reserved request is sent.
    pub fn record_sent(&mut self, now: MonoMs, permit: Permit) {
        if permit == Permit::Own {
            self.reserved = self.reserved.saturating_sub(1);
            self.add_used(now);
        }
    }

    /// Gives back the reservation of a request that is not sent.
    pub fn cancel(&mut self, permit: Permit) {
        match permit {
            Permit::Own => self.reserved = self.reserved.saturating_sub(1),
            Permit::Borrowed { until } => self.add_borrowed(until),
        }
    }

    /// Records a request that was sent while no limit was in force.
    ///
    /// Load: a host learns late that a target has turned cold. The requests of the last second arrived at the cold target
    /// too, so they use up this host's part.
    pub fn record_unlimited(&mut self, now: MonoMs) {
        self.used_at
            .retain(|at| now.since_ms(*at) < SECOND_WINDOW_MS);
        self.add_used(now);
    }

    /// Records a request that is sent although nothing may be left. It then uses up the request that would be free next.
    pub fn record_forced(&mut self, now: MonoMs, part: Option<LimitPart>) {
        self.forget_old(now, part);
        let Some(part) = part else {
            if !self.borrowed_until.is_empty() {
                self.borrowed_until.remove(0);
            }
            return;
        };
        let freed_at = self.next_free(part).unwrap_or_default();
        self.add_used(freed_at.max(now));
    }

    /// Allows no request for a second, because the limit has just begun for a target that is in use.
    ///
    /// Load: hosts learn of it one after the other, and those that have not yet go on at their usual rates.
    pub fn hold(&mut self, now: MonoMs) {
        self.held_until = now.plus_ms(SECOND_WINDOW_MS);
    }

    /// Returns whether [`Self::try_reserve`] would succeed.
    #[must_use]
    pub fn may_send(&self, now: MonoMs, part: Option<LimitPart>) -> bool {
        self.available(now, part) > 0
    }

    /// Returns the number of requests that may be sent at once.
    #[must_use]
    pub fn available(&self, now: MonoMs, part: Option<LimitPart>) -> usize {
        if now < self.held_until {
            return 0;
        }
        let borrowed = self.borrowed_until.iter();
        let borrowed = borrowed.filter(|until| now <= **until).count();
        borrowed + self.free_requests(now, part)
    }

    /// Returns when the next request of the own part may be sent, or `None` without a part.
    #[must_use]
    pub fn opens_at(&self, now: MonoMs, part: Option<LimitPart>) -> Option<MonoMs> {
        let part = part?;
        let at = if self.free_requests(now, Some(part)) > 0 {
            now
        } else if self.unused_requests(now, part) > 0 {
            // The rest is lent with the next heartbeat.
            now.plus_ms(part.window_ms / part.requests.max(1) as u64)
        } else {
            self.next_free(part).unwrap_or(now)
        };
        Some(at.max(self.held_until))
    }

    /// Sets the requests per second that this host lends from now on.
    pub fn set_lending(&mut self, now: MonoMs, part: Option<LimitPart>, per_s: f64) {
        self.lending_credit = self.credit(now, part);
        self.lending_at = now;
        self.lending_per_s = per_s;
    }

    /// Returns the requests per second that this host lends.
    #[must_use]
    pub fn lending_per_s(&self) -> f64 {
        self.lending_per_s
    }

    /// Lends as many whole requests as it is their turn, and returns their number. They count as sent.
    pub fn lend(&mut self, now: MonoMs, part: LimitPart) -> usize {
        self.forget_old(now, Some(part));
        if now < self.held_until {
            return 0;
        }
        self.lending_credit = self.credit(now, Some(part));
        self.lending_at = now;
        let lent = (self.lending_credit as usize).min(self.unused_requests(now, part));
        self.lending_credit -= lent as f64;
        for _ in 0..lent {
            // Hosts lend at intervals. A request that became free since the last one counts from then on.
            let freed_at = self.next_free(part).unwrap_or_default();
            self.add_used(freed_at.max(MonoMs(now.0.saturating_sub(LENDING_INTERVAL_MS))));
        }
        lent
    }

    /// Adds requests that another host has lent.
    pub fn borrow(&mut self, now: MonoMs, requests: usize) {
        self.borrowed_until.retain(|until| now <= *until);
        for _ in 0..requests {
            self.add_borrowed(now.plus_ms(LOAN_MS));
        }
    }

    /// Returns when the next request of the part is free, or was; `None` if not all of them have been used.
    fn next_free(&self, part: LimitPart) -> Option<MonoMs> {
        let index = self.used_at.len().checked_sub(part.requests.max(1))?;
        Some(self.used_at[index].plus_ms(part.window_ms))
    }

    fn add_used(&mut self, at: MonoMs) {
        let index = self.used_at.partition_point(|other| *other <= at);
        self.used_at.insert(index, at);
    }

    fn add_borrowed(&mut self, until: MonoMs) {
        let index = self.borrowed_until.partition_point(|other| *other <= until);
        self.borrowed_until.insert(index, until);
    }

    fn forget_old(&mut self, now: MonoMs, part: Option<LimitPart>) {
        self.borrowed_until.retain(|until| now <= *until);
        if let Some(part) = part {
            self.used_at.retain(|at| now.since_ms(*at) < part.window_ms);
        }
    }

    /// Returns the requests of the own part that are neither used nor reserved.
    fn unused_requests(&self, now: MonoMs, part: LimitPart) -> usize {
        let used = self.used_at.iter();
        let used = used
            .filter(|at| now.since_ms(**at) < part.window_ms)
            .count();
        part.requests.saturating_sub(used + self.reserved)
    }

    /// Returns the requests of the own part that this host may send now.
    fn free_requests(&self, now: MonoMs, part: Option<LimitPart>) -> usize {
        let Some(part) = part else {
            return 0;
        };
        let for_others = self.credit(now, Some(part)) as usize;
        self.unused_requests(now, part).saturating_sub(for_others)
    }

    /// Returns the requests that this host would lend now, if it has them.
    fn credit(&self, now: MonoMs, part: Option<LimitPart>) -> f64 {
        let since_s = now.since_ms(self.lending_at) as f64 / 1_000.0;
        let max = part.map_or(0.0, |part| part.requests as f64);
        (self.lending_credit + self.lending_per_s * since_s).min(max)
    }
}
