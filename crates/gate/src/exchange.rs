//! The lifecycle of one accepted request.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::report_violation;
use lw_flow::{AttemptFailure, FinalOutcome, RequestFlow, RetryDecision};
use lw_route::{AttemptEnd, Decision, RouteView};

use crate::accepted_request::AcceptedRequest;
use crate::accepted_response::ResponseSource;
use crate::error_reply::{ErrorDetail, final_outcome_reply};
use crate::gate::Gate;
use crate::gate_state::InFlightGuard;
use crate::header_names::REQUEST_ID;
use crate::headers::header_value;
use crate::reply::Reply;
use crate::service_admission::{ServiceAdmission, Slot};

/// How a request with an idempotency key ended, for its idempotency record.
#[derive(Clone, Debug)]
pub(crate) struct RunEnd {
    pub(crate) final_outcome: FinalOutcome,
    /// Status, content type and body of a complete response that was buffered, so that the record can store it.
    pub(crate) buffered_response: Option<(u16, String, bytes::Bytes)>,
}

/// Callback that receives the end of a request.
pub(crate) type OnEnd = Box<dyn FnOnce(RunEnd) + Send + Sync>;

/// An accepted request with its lifecycle, its slot of the service and the history of its attempts.
pub(crate) struct Exchange {
    pub(crate) gate: Arc<Gate>,
    pub(crate) request: AcceptedRequest,
    pub(crate) flow: RequestFlow,
    pub(crate) detail: ErrorDetail,
    pub(crate) admission: Option<Arc<ServiceAdmission>>,
    pub(crate) last_failure: Option<AttemptFailure>,
    pub(crate) on_end: Option<OnEnd>,
    pub(crate) revision: u64,
    pub(crate) slot: Option<Slot>,
    pub(crate) tried_targets: Vec<Arc<str>>,
    pub(crate) tried_regions: Vec<Arc<str>>,
    /// The routing decision for the next attempt, made before the retry budget is charged.
    pub(crate) next_decision: Option<(Arc<RouteView>, Decision)>,
    _in_flight: InFlightGuard,
}

impl Exchange {
    /// Starts the lifecycle of a request.
    pub(crate) fn new(gate: Arc<Gate>, request: AcceptedRequest) -> Self {
        let flow = RequestFlow::accept(request.id, request.idempotent, request.deadline);
        let in_flight = gate.state.begin_request();
        Self {
            revision: gate.revision(),
            gate,
            request,
            flow,
            detail: ErrorDetail::default(),
            admission: None,
            last_failure: None,
            on_end: None,
            slot: None,
            tried_targets: Vec::new(),
            tried_regions: Vec::new(),
            next_decision: None,
            _in_flight: in_flight,
        }
    }

    /// Returns `Ok` when the failed attempt may be retried; otherwise ends the request.
    pub(crate) fn check_retry(
        &mut self,
        attempt: AttemptId,
        failure: AttemptFailure,
    ) -> Result<(), FinalOutcome> {
        let now = self.gate.clock.mono();
        let admission = self.admission.clone();
        let has_next = self.choose_next(false);
        // Without another destination there is no retry, so the retry budget is not charged.
        let take_retry =
            || has_next && admission.is_some_and(|admission| admission.take_retry(now));
        log::debug!("gate: attempt {attempt} failed: {failure:?}");
        self.last_failure = Some(failure);
        match self.flow.attempt_failed(attempt, failure, now, take_retry) {
            RetryDecision::Retry => {
                self.gate
                    .metrics
                    .count_attempt(&self.request.service, "retry");
                Ok(())
            }
            RetryDecision::GiveUp(ErrorKind::RetryBudgetSpent) if has_next => {
                Err(self.end(ErrorKind::RetryBudgetSpent))
            }
            RetryDecision::GiveUp(_) | RetryDecision::Ignore => Err(self.end_with_failure(failure)),
        }
    }

    /// Records the target of an attempt, so that the next attempt uses another one.
    pub(crate) fn record_tried_target(&mut self, name: Arc<str>) {
        self.tried_targets.push(name);
    }

    /// Records the region of an attempt, so that the next attempt uses another one.
    pub(crate) fn record_tried_region(&mut self, name: Arc<str>) {
        self.tried_regions.push(name);
    }

    /// Returns whether the residency rules allow the region of `target`; counts a violation if not.
    pub(crate) fn check_residency(&self, view: &RouteView, target: TargetKey) -> bool {
        let region = view.fleet().targets[target].region;
        self.check_region(view, region)
    }

    /// Returns whether the residency rules allow `region`; counts a violation if not.
    pub(crate) fn check_region(&self, view: &RouteView, region: RegionKey) -> bool {
        if self.request.allowed_regions(view.fleet()).contains(region) {
            return true;
        }
        report_violation(
            Invariant::Residency,
            format_args!(
                "request {} was about to be sent to a region that its residency rules do not allow",
                self.request.id
            ),
        );
        false
    }

    /// Returns the deadline of the request.
    pub(crate) fn deadline(&self) -> tokio::time::Instant {
        self.gate.clock.instant(self.request.deadline)
    }

    /// Ends an attempt that may still be running at `source`, and cancels it there when the target supports that.
    pub(crate) fn abandon(&self, attempt: AttemptId, source: ResponseSource, end: AttemptEnd) {
        let ResponseSource::Target {
            in_flight,
            address,
            supports_cancel,
            ..
        } = source
        else {
            return;
        };
        in_flight.finish(self.gate.clock.mono(), end);
        if supports_cancel {
            self.gate
                .target_client
                .cancel(&address, &attempt.to_string());
        }
    }

    /// Ends the request with the error `kind`.
    pub(crate) fn end(&mut self, kind: ErrorKind) -> FinalOutcome {
        let final_outcome = self.flow.reject(kind);
        self.record_end(final_outcome, None);
        final_outcome
    }

    /// Ends the request with the failure of its last attempt.
    pub(crate) fn end_with_failure(&mut self, failure: AttemptFailure) -> FinalOutcome {
        let final_outcome = match failure {
            AttemptFailure::Reported { kind, outcome } => self.flow.reject_as(kind, outcome),
            _ => self.flow.reject(failure.kind()),
        };
        self.record_end(final_outcome, None);
        final_outcome
    }

    /// Ends the request with the error `kind` and an outcome that may differ from that of [`lw_base::error_response`].
    pub(crate) fn end_with_outcome(&mut self, kind: ErrorKind, outcome: Outcome) -> FinalOutcome {
        let final_outcome = self.flow.reject_as(kind, outcome);
        self.record_end(final_outcome, None);
        final_outcome
    }

    /// Ends the request with the recorded response of an earlier attempt.
    pub(crate) fn complete_from_record(&mut self) {
        let final_outcome = self.flow.complete_from_record();
        self.record_end(final_outcome, None);
    }

    /// Ends the request with the complete response of `attempt`.
    pub(crate) fn complete(
        &mut self,
        attempt: AttemptId,
        buffered_response: Option<(u16, String, bytes::Bytes)>,
    ) {
        let final_outcome = self.flow.complete(attempt);
        self.record_end(final_outcome, buffered_response);
    }

    fn record_end(
        &mut self,
        final_outcome: FinalOutcome,
        buffered_response: Option<(u16, String, bytes::Bytes)>,
    ) {
        self.slot = None;
        self.gate
            .metrics
            .count_ended(&self.request.service, final_outcome);
        if let Some(on_end) = self.on_end.take() {
            on_end(RunEnd {
                final_outcome,
                buffered_response,
            });
        }
    }

    /// Builds the response for a request that ended without a complete response of a target.
    pub(crate) fn rejection_reply(&self, final_outcome: FinalOutcome) -> Reply {
        let mut reply = final_outcome_reply(final_outcome, &self.detail);
        let id = header_value(&self.request.id.to_string());
        reply.headers.insert(REQUEST_ID, id);
        reply
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        // When the process exits, its requests are dropped, and their callers get an error or see closed connections.
        // Ending the lifecycle here prevents the drop from being counted as a violation of `Invariant::OneOutcome`.
        if self.flow.final_outcome().is_none() && self.gate.state.is_halted() {
            self.flow.reject(ErrorKind::Internal);
        }
    }
}
