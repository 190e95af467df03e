//! Attempts in flight at a target.

use std::sync::Arc;

use lw_base::prelude::*;

use crate::ejection::AdmissionMode;
use crate::query::Now;
use crate::service_state::ServiceState;
use crate::target_cell::TargetCell;

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target sent a complete response.
    Success,
    /// The target could not be reached, aborted its response or responded with a server error.
    Failure,
    /// The attempt has no result for the target, for example when the caller disconnected.
    Neutral,
}

/// An attempt that counts as in flight at a target. Dropping it ends the attempt as [`AttemptEnd::Neutral`].
#[derive(Debug)]
pub struct InFlightAttempt {
    pub(crate) cell: Arc<TargetCell>,
    pub(crate) service: Arc<ServiceState>,
    pub(crate) target: TargetKey,
    pub(crate) mode: AdmissionMode,
    pub(crate) started_at: MonoMs,
    pub(crate) ended: bool,
}

impl InFlightAttempt {
    /// Returns the target; the key is valid with the view that began the attempt.
    #[must_use]
    pub fn target(&self) -> TargetKey {
        self.target
    }

    /// Returns false when the target has been stopped since the attempt began; another target must be chosen.
    #[must_use]
    pub fn may_send(&self, now: Now) -> bool {
        !self.cell.stopped(now)
    }

    /// Records that the request is sent now. Sending to a target more than 3 s after its stop violates
    /// `Invariant::LeavingTargetIdle`.
    pub fn sent(&self, now: Now) {
        self.cell.sent(now);
    }

    /// Ends the attempt.
    pub fn finish(mut self, now: MonoMs, end: AttemptEnd) {
        self.ended = true;
        let success = match end {
            AttemptEnd::Success => Some(true),
            AttemptEnd::Failure => Some(false),
            AttemptEnd::Neutral => None,
        };
        if end == AttemptEnd::Success {
            self.service
                .observe_service_time(now.since_ms(self.started_at) as f64);
        }
        let service = &self.service;
        service.add_own_requests(-1);
        let max_ms = service.max_ejection_ms();
        let change = self
            .cell
            .end(now, self.mode, max_ms, success, &mut |milli| {
                service.add_load(milli);
            });
        service.add_ejected(change);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let service = &self.service;
        // No clock is available here; the load estimate is updated to the current time by the next request or report.
        let now = self.started_at;
        service.add_own_requests(-1);
        let max_ms = service.max_ejection_ms();
        let change = self.cell.end(now, self.mode, max_ms, None, &mut |milli| {
            service.add_load(milli);
        });
        service.add_ejected(change);
    }
}
