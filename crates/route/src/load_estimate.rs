//! The estimate of a target's load between reports.

use lw_base::prelude::*;

use crate::load_report::LoadReport;

/// The load that other hosts put on a target is trusted half as much after this time.
const HALF_LIFE_MS: f64 = 2_000.0;
/// A reported speed is ignored after this time.
const SPEED_AGE_MS: u64 = 10_000;

/// The own in-flight count of a target and the last report about it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadEstimate {
    own: u32,
    foreign_at_report: f64,
    reported_at: MonoMs,
    speed_tokens_per_s: Option<f64>,
}

impl LoadEstimate {
    pub(crate) fn started(&mut self) {
        self.own += 1;
    }

    pub(crate) fn ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes a report. Only the part above the own in-flight count belongs to other hosts.
    pub(crate) fn reported(&mut self, now: MonoMs, report: &LoadReport) {
        self.foreign_at_report = (f64::from(report.requests) - f64::from(self.own)).max(0.0);
        self.reported_at = now;
        if report.speed_tokens_per_s.is_some() {
            self.speed_tokens_per_s = report.speed_tokens_per_s;
        }
    }

    /// Returns the estimated number of requests at the target.
    pub(crate) fn requests(&self, now: MonoMs) -> f64 {
        if self.foreign_at_report == 0.0 {
            return f64::from(self.own);
        }
        let age_ms = now.since_ms(self.reported_at) as f64;
        f64::from(self.own) + self.foreign_at_report * (-age_ms / HALF_LIFE_MS).exp2()
    }

    /// Returns the reported speed of one request, unless it is too old.
    pub(crate) fn speed(&self, now: MonoMs) -> Option<f64> {
        self.speed_tokens_per_s
            .filter(|_| now.since_ms(self.reported_at) <= SPEED_AGE_MS)
    }
}
