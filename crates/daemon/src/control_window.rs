//! What control work costs now, next to its budget.

use std::collections::VecDeque;

use lw_base::prelude::*;

/// The span over which rates are averaged; shorter spans show single bursts, such as a pushed revision.
const WINDOW_MS: u64 = 60_000;
/// Control bytes per second and host at the target size, both directions.
const BYTES_PER_S_BUDGET: f64 = 12_000.0;
/// Share of a core for control work.
const CORE_SHARE_BUDGET: f64 = 0.015;
/// Resident memory of the process, in bytes.
const RESIDENT_BYTES_BUDGET: f64 = 256_000_000.0;

/// Counters of control work at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlSample {
    /// When it was taken.
    pub at: MonoMs,
    /// Bytes sent and received in peer messages since the start.
    pub bytes: u64,
    /// Processor time of control work since the start, in microseconds.
    pub busy_us: u64,
    /// Resident memory of the process, in bytes; `None` where the system does not tell.
    pub resident_bytes: Option<u64>,
}

/// One figure and its budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlMetric {
    /// The name in metrics and status.
    pub name: &'static str,
    /// The measured value; `None` when it is not known yet.
    pub measured: Option<f64>,
    /// The most that it may be.
    pub budget: f64,
}

/// The samples of the last minute.
#[derive(Debug, Default)]
pub struct ControlWindow {
    samples: VecDeque<ControlSample>,
}

impl ControlWindow {
    /// Adds a sample and drops those that the window no longer needs.
    pub fn push(&mut self, sample: ControlSample) {
        self.samples.push_back(sample);
        // The second oldest sample covers the window as soon as it is old enough.
        while self
            .samples
            .get(1)
            .is_some_and(|second| sample.at.since_ms(second.at) >= WINDOW_MS)
        {
            self.samples.pop_front();
        }
    }

    /// Returns the figures over the window.
    #[must_use]
    pub fn metrics(&self) -> [ControlMetric; 3] {
        let resident = self.samples.back().and_then(|last| last.resident_bytes);
        [
            ControlMetric {
                name: "bytes_per_s",
                measured: self.rate_per_s(|sample| sample.bytes),
                budget: BYTES_PER_S_BUDGET,
            },
            ControlMetric {
                name: "core_share",
                measured: self.rate_per_s(|sample| sample.busy_us).map(|us| us / 1e6),
                budget: CORE_SHARE_BUDGET,
            },
            ControlMetric {
                name: "resident_bytes",
                measured: resident.map(|bytes| bytes as f64),
                budget: RESIDENT_BYTES_BUDGET,
            },
        ]
    }

    fn rate_per_s(&self, counter: impl Fn(&ControlSample) -> u64) -> Option<f64> {
        let (first, last) = (self.samples.front()?, self.samples.back()?);
        let span_ms = last.at.since_ms(first.at);
        let grown = counter(last).saturating_sub(counter(first));
        (span_ms > 0).then(|| grown as f64 * 1_000.0 / span_ms as f64)
    }
}
