//! The state machine of one request.

use lw_base::prelude::*;
use lw_base::report_violation;

use crate::attempt_failure::AttemptFailure;
use crate::final_outcome::FinalOutcome;
use crate::resume::{CutStream, ResumeDecision, ResumeFacts, decide_resume};
use crate::retry::{RetryDecision, RetryFacts, decide_retry};
use crate::stage::Stage;

/// The lifecycle of one accepted request, from its validation to its final outcome.
#[derive(Debug)]
pub struct RequestFlow {
    request: RequestId,
    idempotent: bool,
    deadline: MonoMs,
    stage: Stage,
    attempts: u32,
    /// The failure of the first attempt that may have run. While it is set, the outcome cannot be "not run".
    first_unknown_failure: Option<ErrorKind>,
    /// True while an earlier request of the caller with the same idempotency key may have run.
    possible_earlier_attempt: bool,
}

impl RequestFlow {
    /// Starts the lifecycle of a request that passed validation.
    #[must_use]
    pub fn accept(request: RequestId, idempotent: bool, deadline: MonoMs) -> Self {
        Self {
            request,
            idempotent,
            deadline,
            stage: Stage::Accepted,
            attempts: 0,
            first_unknown_failure: None,
            possible_earlier_attempt: false,
        }
    }

    /// Returns the current stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the number of started attempts.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the time until the deadline, in milliseconds.
    #[must_use]
    pub fn remaining_ms(&self, now: MonoMs) -> u64 {
        self.deadline.since_ms(now)
    }

    /// Records that the caller may have sent the same request before.
    ///
    /// Only the owner of the idempotency key knows whether the earlier request ran. Until [`Self::owner_decided`], the
    /// outcome "not run" is therefore reported as "unknown".
    pub fn mark_possible_earlier_attempt(&mut self) {
        self.possible_earlier_attempt = true;
    }

    /// Records that the owner of the idempotency key has decided on the request, which ends the effect of
    /// [`Self::mark_possible_earlier_attempt`].
    pub fn owner_decided(&mut self) {
        self.possible_earlier_attempt = false;
    }

    /// Records that the request waits in the queue.
    pub fn queue(&mut self) {
        if self.check_not_ended("queued") {
            self.stage = Stage::Queued;
        }
    }

    /// Starts the next attempt and abandons earlier ones.
    ///
    /// # Errors
    ///
    /// Returns the error kind for the final result when the deadline has passed.
    pub fn start_attempt(&mut self, now: MonoMs) -> Result<AttemptId, ErrorKind> {
        if now >= self.deadline {
            return Err(ErrorKind::DeadlineBeforeSend);
        }
        self.attempts += 1;
        let attempt = AttemptId {
            request: self.request,
            number: self.attempts,
        };
        if self.check_not_ended("sent") {
            self.stage = Stage::Sent(attempt);
        }
        Ok(attempt)
    }

    /// Records the response head of an attempt; returns false when the attempt was abandoned and its answer must be
    /// dropped.
    #[must_use]
    pub fn accept_head(&mut self, attempt: AttemptId) -> bool {
        if self.stage != Stage::Sent(attempt) {
            return false;
        }
        self.stage = Stage::Answering(attempt);
        true
    }

    /// Returns true when `attempt` is the current attempt.
    #[must_use]
    pub fn is_current(&self, attempt: AttemptId) -> bool {
        self.stage == Stage::Sent(attempt) || self.stage == Stage::Answering(attempt)
    }

    /// Records the failure of an attempt and decides whether another one follows.
    ///
    /// Once the caller has received a part of the answer, only a resume is possible: call [`Self::stream_cut`] instead.
    /// `take_budget` takes one retry from the retry budget; it is called only when all other conditions allow the
    /// retry.
    pub fn attempt_failed(
        &mut self,
        attempt: AttemptId,
        failure: AttemptFailure,
        now: MonoMs,
        take_budget: impl FnOnce() -> bool,
    ) -> RetryDecision {
        if !self.is_current(attempt) {
            return RetryDecision::Ignore;
        }
        self.record_failure(failure);
        let facts = RetryFacts {
            failure,
            idempotent: self.idempotent,
            attempts: self.attempts,
            remaining_ms: self.remaining_ms(now),
        };
        let decision = decide_retry(facts, take_budget);
        if decision == RetryDecision::Retry {
            self.stage = Stage::Queued;
        }
        decision
    }

    /// Records that a stream broke after the caller received a part of it, and decides whether it is resumed.
    pub fn stream_cut(
        &mut self,
        attempt: AttemptId,
        cut: CutStream,
        now: MonoMs,
        take_budget: impl FnOnce() -> bool,
    ) -> ResumeDecision {
        if !self.is_current(attempt) {
            return ResumeDecision::Abort;
        }
        self.record_failure(AttemptFailure::AnswerIncomplete);
        let facts = ResumeFacts {
            engine_resumes: cut.engine_resumes,
            idempotent: self.idempotent,
            attempts: self.attempts,
            tokens: cut.tokens,
            remaining_ms: self.remaining_ms(now),
        };
        let decision = decide_resume(facts, take_budget);
        if decision != ResumeDecision::Abort {
            self.stage = Stage::Queued;
        }
        decision
    }

    fn record_failure(&mut self, failure: AttemptFailure) {
        if failure.outcome() == Outcome::Unknown {
            self.first_unknown_failure.get_or_insert(failure.kind());
        }
    }

    /// Returns the error kind for a deadline that passes in the current stage.
    #[must_use]
    pub fn deadline_kind(&self) -> ErrorKind {
        match self.stage {
            Stage::Sent(_) | Stage::Answering(_) => ErrorKind::DeadlineAfterSend,
            Stage::Accepted | Stage::Queued | Stage::Ended(_) => ErrorKind::DeadlineBeforeSend,
        }
    }

    /// Ends the request with the complete answer of `attempt`.
    ///
    /// Completing with an attempt whose response head was not accepted violates [`Invariant::WholeAnswer`].
    pub fn complete(&mut self, attempt: AttemptId) -> FinalOutcome {
        if self.stage != Stage::Answering(attempt) {
            report_violation(
                Invariant::WholeAnswer,
                format_args!("request {} completed by attempt {attempt}", self.request),
            );
        }
        self.finish(FinalOutcome::COMPLETE)
    }

    /// Ends the request with the reply stored in the record of its idempotency key, without an attempt of its own.
    pub fn complete_from_record(&mut self) -> FinalOutcome {
        self.finish(FinalOutcome::COMPLETE)
    }

    /// Ends the request with the error `kind`.
    ///
    /// When `kind` means "not run" but an earlier attempt may have run, the failure of that attempt is reported
    /// instead.
    pub fn reject(&mut self, kind: ErrorKind) -> FinalOutcome {
        let final_outcome = FinalOutcome::rejected(kind);
        if final_outcome.outcome != Outcome::NotRun {
            return self.finish(final_outcome);
        }
        if let Some(earlier) = self.first_unknown_failure {
            return self.finish(FinalOutcome::rejected(earlier));
        }
        self.finish(final_outcome)
    }

    /// Ends the request with the error `kind` and an outcome that differs from the answer table.
    ///
    /// The table assigns "unknown" to a refusal by the owner of an idempotency key. The first attempt for a key that
    /// was never sent is known not to have run.
    pub fn reject_as(&mut self, kind: ErrorKind, outcome: Outcome) -> FinalOutcome {
        self.finish(FinalOutcome {
            outcome,
            kind: Some(kind),
        })
    }

    /// Returns the final result, or `None` while the request is in progress.
    #[must_use]
    pub fn final_outcome(&self) -> Option<FinalOutcome> {
        match self.stage {
            Stage::Ended(final_outcome) => Some(final_outcome),
            _ => None,
        }
    }

    fn finish(&mut self, final_outcome: FinalOutcome) -> FinalOutcome {
        if let Stage::Ended(first) = self.stage {
            report_violation(
                Invariant::OneOutcome,
                format_args!("request {} ended twice", self.request),
            );
            return first;
        }
        let final_outcome = self.corrected(final_outcome);
        self.stage = Stage::Ended(final_outcome);
        final_outcome
    }

    /// Replaces the outcome "not run" of a request that may have run.
    fn corrected(&self, final_outcome: FinalOutcome) -> FinalOutcome {
        if self.possible_earlier_attempt && final_outcome.outcome == Outcome::NotRun {
            return FinalOutcome {
                outcome: Outcome::Unknown,
                ..final_outcome
            };
        }
        let Some(earlier) = self.first_unknown_failure else {
            return final_outcome;
        };
        if final_outcome.outcome != Outcome::NotRun {
            return final_outcome;
        }
        report_violation(
            Invariant::NotRunIsTrue,
            format_args!("request {} may have run: {earlier:?}", self.request),
        );
        FinalOutcome::rejected(earlier)
    }

    fn check_not_ended(&self, step: &str) -> bool {
        if !matches!(self.stage, Stage::Ended(_)) {
            return true;
        }
        report_violation(
            Invariant::OneOutcome,
            format_args!("request {} was {step} after its end", self.request),
        );
        false
    }
}

impl Drop for RequestFlow {
    fn drop(&mut self) {
        if self.final_outcome().is_none() && !std::thread::panicking() {
            report_violation(
                Invariant::OneOutcome,
                format_args!("request {} was dropped without an outcome", self.request),
            );
        }
    }
}
