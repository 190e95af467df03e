//! One accepted request on its way to a complete answer or a rejection.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::report_violation;
use lw_flow::{AttemptFailure, Ending, RequestFlow, RetryDecision};
use lw_route::{AttemptEnd, Decision, RouteView};

use crate::answer::Source;
use crate::ask::Ask;
use crate::error_reply::{ErrorDetail, ending_reply};
use crate::gate::Gate;
use crate::gate_state::InFlightGuard;
use crate::header_names::REQUEST_ID;
use crate::headers::value_of;
use crate::reply::Reply;
use crate::service_door::{ServiceDoor, Slot};

/// How a request of an idempotency key ended, for its record.
#[derive(Clone, Debug)]
pub(crate) struct RunEnd {
    pub(crate) ending: Ending,
    /// Status, content type and body of a whole answer.
    pub(crate) kept: Option<(u16, String, bytes::Bytes)>,
}

/// Called once with the end of a run.
pub(crate) type OnEnd = Box<dyn FnOnce(RunEnd) + Send + Sync>;

/// One accepted request. It owns the lifecycle, the slot of the service and the attempts.
pub(crate) struct Exchange {
    pub(crate) gate: Arc<Gate>,
    pub(crate) ask: Ask,
    pub(crate) flow: RequestFlow,
    pub(crate) detail: ErrorDetail,
    pub(crate) door: Option<Arc<ServiceDoor>>,
    pub(crate) last_failure: Option<AttemptFailure>,
    pub(crate) on_end: Option<OnEnd>,
    pub(crate) revision: u64,
    pub(crate) slot: Option<Slot>,
    pub(crate) tried: Vec<Arc<str>>,
    pub(crate) tried_regions: Vec<Arc<str>>,
    /// The decision for the next attempt, made before its retry was taken from the budget.
    pub(crate) next: Option<(Arc<RouteView>, Decision)>,
    _in_flight: InFlightGuard,
}

impl Exchange {
    /// Starts the lifecycle of a request.
    pub(crate) fn new(gate: Arc<Gate>, ask: Ask) -> Self {
        let flow = RequestFlow::accept(ask.id, ask.idempotent, ask.deadline);
        let in_flight = gate.state.begin();
        Self {
            revision: gate.revision(),
            gate,
            ask,
            flow,
            detail: ErrorDetail::default(),
            door: None,
            last_failure: None,
            on_end: None,
            slot: None,
            tried: Vec::new(),
            tried_regions: Vec::new(),
            next: None,
            _in_flight: in_flight,
        }
    }

    /// Handles the failure of an attempt: returns when another one may follow.
    pub(crate) fn failed(
        &mut self,
        attempt: AttemptId,
        failure: AttemptFailure,
    ) -> Result<(), Ending> {
        let now = self.gate.clock.mono();
        let door = self.door.clone();
        let has_next = self.decide_next(false);
        // Without another target the retry would not be made, so it must not use up the budget.
        let take = || has_next && door.is_some_and(|door| door.take_retry(now));
        log::debug!("gate: attempt {attempt} failed: {failure:?}");
        self.last_failure = Some(failure);
        match self.flow.attempt_failed(attempt, failure, now, take) {
            RetryDecision::Retry => {
                self.gate.metrics.attempt(&self.ask.service, "retry");
                Ok(())
            }
            RetryDecision::GiveUp(ErrorKind::RetryBudgetSpent) if has_next => {
                Err(self.end(ErrorKind::RetryBudgetSpent))
            }
            RetryDecision::GiveUp(_) | RetryDecision::Ignore => Err(self.end_failed(failure)),
        }
    }

    /// Notes the target of an attempt, so that the next attempt takes another one.
    pub(crate) fn tried_target(&mut self, name: Arc<str>) {
        self.tried.push(name);
    }

    /// Notes the region of an attempt.
    pub(crate) fn tried_region(&mut self, name: Arc<str>) {
        self.tried_regions.push(name);
    }

    /// Counts a violation when a target outside of the allowed regions is about to receive the request.
    pub(crate) fn check_residency(&self, view: &RouteView, target: TargetKey) -> bool {
        let region = view.fleet().targets[target].region;
        self.check_region(view, region)
    }

    /// Counts a violation when a region that is not allowed is about to receive the request.
    pub(crate) fn check_region(&self, view: &RouteView, region: RegionKey) -> bool {
        if self.ask.allowed(view.fleet()).contains(region) {
            return true;
        }
        report_violation(
            Invariant::Residency,
            format_args!("request {} was about to leave its regions", self.ask.id),
        );
        false
    }

    /// Returns the point at which the deadline comes.
    pub(crate) fn deadline(&self) -> tokio::time::Instant {
        self.gate.clock.instant(self.ask.deadline)
    }

    /// Gives up the attempt of `source`, which may still work on it.
    pub(crate) fn abandon(&self, attempt: AttemptId, source: Source, end: AttemptEnd) {
        let Source::Target {
            in_flight,
            address,
            cancels,
            ..
        } = source
        else {
            return;
        };
        in_flight.finish(self.gate.clock.mono(), end);
        if cancels {
            self.gate.targets.cancel(&address, &attempt.to_string());
        }
    }

    /// Ends the request for the reason `kind`.
    pub(crate) fn end(&mut self, kind: ErrorKind) -> Ending {
        let ending = self.flow.reject(kind);
        self.note_end(ending, None);
        ending
    }

    /// Ends the request for the failure of its last attempt.
    pub(crate) fn end_failed(&mut self, failure: AttemptFailure) -> Ending {
        let ending = match failure {
            AttemptFailure::Reported { kind, outcome } => self.flow.reject_as(kind, outcome),
            _ => self.flow.reject(failure.kind()),
        };
        self.note_end(ending, None);
        ending
    }

    /// Ends the request for the reason `kind` with an outcome that differs from the answer table.
    pub(crate) fn end_as(&mut self, kind: ErrorKind, outcome: Outcome) -> Ending {
        let ending = self.flow.reject_as(kind, outcome);
        self.note_end(ending, None);
        ending
    }

    /// Ends the request with the recorded answer of an earlier attempt.
    pub(crate) fn complete_from_record(&mut self) {
        let ending = self.flow.complete_from_record();
        self.note_end(ending, None);
    }

    /// Ends the request with the whole answer of `attempt`.
    pub(crate) fn complete(
        &mut self,
        attempt: AttemptId,
        kept: Option<(u16, String, bytes::Bytes)>,
    ) {
        let ending = self.flow.complete(attempt);
        self.note_end(ending, kept);
    }

    fn note_end(&mut self, ending: Ending, kept: Option<(u16, String, bytes::Bytes)>) {
        self.slot = None;
        self.gate.metrics.ended(&self.ask.service, ending);
        if let Some(on_end) = self.on_end.take() {
            on_end(RunEnd { ending, kept });
        }
    }

    /// Builds the response for a request without a complete answer.
    pub(crate) fn rejection(&self, ending: Ending) -> Reply {
        let mut reply = ending_reply(ending, &self.detail);
        let id = value_of(&self.ask.id.to_string());
        reply.headers.insert(REQUEST_ID, id);
        reply
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        // A process that ends cuts its requests; the callers see broken connections.
        if self.flow.ending().is_none() && self.gate.state.is_halted() {
            self.flow.reject(ErrorKind::Internal);
        }
    }
}
