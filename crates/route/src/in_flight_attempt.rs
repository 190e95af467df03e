//! Requests that a target holds.

use std::sync::Arc;

use lw_base::prelude::*;

use crate::ejection::Pass;
use crate::query::Now;
use crate::service_shared::ServiceShared;
use crate::target_cell::TargetCell;

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target responded completely.
    Success,
    /// The target could not be reached, broke off or responded with a server error.
    Failure,
    /// The attempt says nothing about the target, for example when the caller went away.
    Neutral,
}

/// One request that counts as in flight at a target; dropping it counts as [`AttemptEnd::Neutral`].
#[derive(Debug)]
pub struct InFlightAttempt {
    pub(crate) cell: Arc<TargetCell>,
    pub(crate) service: Arc<ServiceShared>,
    pub(crate) target: TargetKey,
    pub(crate) pass: Pass,
    pub(crate) began: MonoMs,
    pub(crate) ended: bool,
}

impl InFlightAttempt {
    /// Returns the target, as a key of the view that began the attempt.
    #[must_use]
    pub fn target(&self) -> TargetKey {
        self.target
    }

    /// Returns false when the target was stopped since the attempt began, so that another one must be chosen.
    #[must_use]
    pub fn may_send(&self, now: Now) -> bool {
        !self.cell.stopped(now)
    }

    /// Notes that the request is sent now; a send to a target that stopped 3 s ago violates I7.
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
            self.service.observe(now.since_ms(self.began) as f64);
        }
        let service = &self.service;
        service.add_own(-1);
        let longest_ms = service.longest_ejection_ms();
        let change = self
            .cell
            .end(now, self.pass, longest_ms, success, &mut |milli| {
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
        let now = self.began;
        service.add_own(-1);
        let longest_ms = service.longest_ejection_ms();
        let change = self
            .cell
            .end(now, self.pass, longest_ms, None, &mut |milli| {
                service.add_load(milli);
            });
        service.add_ejected(change);
    }
}
