//! How long requests hold a slot, and the wait that follows.

use lw_base::prelude::*;

/// Weight of the newest observation.
const NEWEST: f64 = 0.05;

/// Moving averages of the time that a request of each class holds a slot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitEstimate {
    hold_ms: [Option<f64>; 3],
}

impl WaitEstimate {
    pub(crate) fn observe(&mut self, class: PriorityClass, held_ms: f64) {
        let average = &mut self.hold_ms[class.index()];
        *average = Some(match *average {
            None => held_ms,
            Some(old) => old + NEWEST * (held_ms - old),
        });
    }

    /// Returns the average hold time of `class`, or zero while it is unknown.
    pub(crate) fn hold_ms(&self, class: PriorityClass) -> f64 {
        self.hold_ms[class.index()].unwrap_or(0.0)
    }
}
