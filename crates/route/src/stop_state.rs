//! Stops of a target: planned stops in the configuration document and leaving marks (`Invariant::LeavingTargetIdle`).

use lw_base::prelude::*;
use lw_doc::StopWindow;

use crate::query::Now;

/// The stops of a target that this host has learned of.
#[derive(Clone, Debug, Default)]
pub(crate) struct StopState {
    windows: Vec<StopWindow>,
    learned_at: MonoMs,
    leaving_since: Option<MonoMs>,
}

impl StopState {
    /// Replaces the planned stops. When they changed, `now` is recorded as the time when this host learned of them.
    pub(crate) fn set_windows(&mut self, now: MonoMs, windows: &[StopWindow]) {
        if self.windows != windows {
            self.windows = windows.to_vec();
            self.learned_at = now;
        }
    }

    pub(crate) fn set_leaving(&mut self, now: MonoMs, leaving: bool) {
        if leaving != self.leaving_since.is_some() {
            self.leaving_since = leaving.then_some(now);
        }
    }

    /// Returns for how long the target has been stopped, in milliseconds, or `None` when it accepts new requests. The
    /// time counts from the start of the stop or from when this host learned of it, whichever is later.
    pub(crate) fn stopped_for_ms(&self, now: Now) -> Option<u64> {
        let planned = self
            .windows
            .iter()
            .filter(|window| window.contains(now.wall))
            .map(|window| {
                let since_start_ms = now.wall.since_ms(window.start_wall_ms);
                since_start_ms.min(now.mono.since_ms(self.learned_at))
            })
            .max();
        let leaving = self.leaving_since.map(|since| now.mono.since_ms(since));
        planned.max(leaving)
    }
}
