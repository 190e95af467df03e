//! Estimates the load of a target between its reports.

use lw_base::prelude::*;

use crate::load_report::LoadReport;

/// The time after which the reported load of other hosts counts half.
const REMOTE_LOAD_HALF_LIFE_MS: f64 = 2_000.0;
/// The age at which a reported speed is ignored.
const SPEED_MAX_AGE_MS: u64 = 10_000;

/// The requests of this host at a target, and the last load report of the target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadEstimate {
    /// The requests of this host that are in flight.
    own_requests: u32,
    /// The requests of other hosts at the time of the last report.
    remote_at_report: f64,
    reported_at: MonoMs,
    speed_tokens_per_s: Option<f64>,
}

impl LoadEstimate {
    pub(crate) fn started(&mut self) {
        self.own_requests += 1;
    }

    pub(crate) fn ended(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Records a report. Its requests above the in-flight requests of this host belong to other hosts.
    pub(crate) fn reported(&mut self, now: MonoMs, report: &LoadReport) {
        self.remote_at_report =
            (f64::from(report.requests) - f64::from(self.own_requests)).max(0.0);
        self.reported_at = now;
        if report.speed_tokens_per_s.is_some() {
            self.speed_tokens_per_s = report.speed_tokens_per_s;
        }
    }

    /// Returns the estimated number of requests at the target.
    pub(crate) fn requests(&self, now: MonoMs) -> f64 {
        if self.remote_at_report == 0.0 {
            return f64::from(self.own_requests);
        }
        let age_ms = now.since_ms(self.reported_at) as f64;
        f64::from(self.own_requests)
            + self.remote_at_report * (-age_ms / REMOTE_LOAD_HALF_LIFE_MS).exp2()
    }

    /// Returns the reported speed of one request in tokens per second, or `None` when the report is too old.
    pub(crate) fn speed(&self, now: MonoMs) -> Option<f64> {
        self.speed_tokens_per_s
            .filter(|_| now.since_ms(self.reported_at) <= SPEED_MAX_AGE_MS)
    }
}
