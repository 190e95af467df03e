//! Resource usage of control work over the last minute, compared with its budget.

use std::collections::VecDeque;

use lw_base::prelude::*;

/// Averaging window of rates; in a shorter one a single burst, such as a pushed revision, dominates.
const WINDOW_MS: u64 = 60_000;
/// Control traffic of one host at the target fleet size, sent and received, in bytes per second.
const BYTES_PER_S_BUDGET: f64 = 12_000.0;
/// Processor time of control work, as a share of one core.
const CORE_SHARE_BUDGET: f64 = 0.015;
/// Resident memory of the process, in bytes.
const RESIDENT_BYTES_BUDGET: f64 = 256_000_000.0;

/// Cumulative counters of control work at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlSample {
    /// Time of the sample.
    pub at: MonoMs,
    /// Bytes sent and received in peer messages since the start.
    pub bytes: u64,
    /// Processor time of control work since the start, in microseconds.
    pub busy_us: u64,
    /// Resident memory of the process, in bytes; `None` where the system does not report it.
    pub resident_bytes: Option<u64>,
}

/// A measured value and its budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlMetric {
    /// Name in metrics and in the status.
    pub name: &'static str,
    /// Measured value; `None` until enough samples exist.
    pub measured: Option<f64>,
    /// Upper limit of the value.
    pub budget: f64,
}

/// Sliding window over the samples of the last minute.
#[derive(Debug, Default)]
pub struct ControlWindow {
    samples: VecDeque<ControlSample>,
}

impl ControlWindow {
    /// Adds a sample and drops samples that are no longer needed.
    pub fn push(&mut self, sample: ControlSample) {
        self.samples.push_back(sample);
        // The oldest sample is needed only until the second oldest one covers the whole window.
        while self
            .samples
            .get(1)
            .is_some_and(|second| sample.at.since_ms(second.at) >= WINDOW_MS)
        {
            self.samples.pop_front();
        }
    }

    /// Returns the rates over the window and the last memory reading, each with its budget.
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
        let increase = counter(last).saturating_sub(counter(first));
        (span_ms > 0).then(|| increase as f64 * 1_000.0 / span_ms as f64)
    }
}
