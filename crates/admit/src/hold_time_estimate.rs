//! The average time that requests hold a slot.

use lw_base::prelude::*;

/// The smoothing factor of the moving average.
const SMOOTHING: f64 = 0.05;

/// Exponential moving averages of the time that a request holds a slot, by class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HoldTimeEstimate {
    hold_ms: [Option<f64>; 3],
}

impl HoldTimeEstimate {
    pub(crate) fn observe(&mut self, class: PriorityClass, held_ms: f64) {
        let average = &mut self.hold_ms[class.index()];
        *average = Some(match *average {
            None => held_ms,
            Some(old) => old + SMOOTHING * (held_ms - old),
        });
    }

    /// Returns the average hold time of `class` in milliseconds, or zero before the first observation.
    pub(crate) fn hold_ms(&self, class: PriorityClass) -> f64 {
        self.hold_ms[class.index()].unwrap_or(0.0)
    }
}
