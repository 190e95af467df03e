//! Pauses that a target asks for.

use lw_base::prelude::*;

/// The number of unanswered requests up to which a reopened target is used like any other.
const OPEN_WINDOW: u32 = 32;
/// The part of a pause over which hosts spread their return to the target.
const RETURN_SPREAD: f64 = 0.25;
/// Upper bound of this spread, in milliseconds.
const MAX_RETURN_SPREAD_MS: f64 = 500.0;

/// The pause of one target, as asked of this host.
///
/// Load: a target that is full asks each host to stay away until a time. If all hosts returned with their whole traffic
/// when it is over, the target would be full again at once. So each host returns a bit later than asked, with one
/// request, and doubles the number of its unanswered requests with each answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetPause {
    closed_until: MonoMs,
    /// The number of unanswered requests that a reopened target may have; `None` if the target is open.
    window: Option<u32>,
}

impl TargetPause {
    /// Closes the target for `pause_ms`, and a bit longer by `draw`, a random number from 0 to 1. Returns whether it was
    /// open before.
    pub fn close(&mut self, now: MonoMs, pause_ms: u64, draw: f64) -> bool {
        let was_open = now >= self.closed_until;
        let spread_ms = (pause_ms as f64 * RETURN_SPREAD).min(MAX_RETURN_SPREAD_MS) * draw;
        let until = now.plus_ms(pause_ms.saturating_add(spread_ms as u64));
        self.closed_until = self.closed_until.max(until);
        self.window = Some(1);
        was_open
    }

    /// Returns when the target opens again, if it is closed.
    #[must_use]
    pub fn closed_until(&self, now: MonoMs) -> Option<MonoMs> {
        (now < self.closed_until).then_some(self.closed_until)
    }

    /// Returns whether a request may be sent while `unanswered` requests have no answer yet.
    #[must_use]
    pub fn may_send(&self, now: MonoMs, unanswered: u32) -> bool {
        now >= self.closed_until && self.window.is_none_or(|window| unanswered < window)
    }

    /// Records that the target accepted a request.
    pub fn record_accepted(&mut self, now: MonoMs) {
        if now < self.closed_until {
            // The answer to a request that was sent before the pause.
            return;
        }
        self.window = self
            .window
            .map(|window| window * 2)
            .filter(|window| *window < OPEN_WINDOW);
    }
}
