//! The state machine of one request.

use lw_base::prelude::*;
use lw_base::violate;

use crate::attempt_failure::AttemptFailure;
use crate::ending::Ending;
use crate::resume::{CutStream, ResumeDecision, ResumeFacts, decide_resume};
use crate::retry::{RetryDecision, RetryFacts, decide_retry};
use crate::stage::Stage;

/// The lifecycle of one accepted request, from entry to its single outcome.
#[derive(Debug)]
pub struct RequestFlow {
    request: RequestId,
    idempotent: bool,
    deadline: MonoMs,
    stage: Stage,
    attempts: u32,
    /// The failure of the first attempt that may have run; it forbids the outcome "not run".
    may_have_run: Option<ErrorKind>,
    /// True while an earlier attempt of the caller with the same idempotency key may have run.
    earlier_attempt: bool,
}

impl RequestFlow {
    /// Starts the lifecycle of a request that passed the checks at entry.
    #[must_use]
    pub fn accept(request: RequestId, idempotent: bool, deadline: MonoMs) -> Self {
        Self {
            request,
            idempotent,
            deadline,
            stage: Stage::Accepted,
            attempts: 0,
            may_have_run: None,
            earlier_attempt: false,
        }
    }

    /// Returns how far the request has come.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the number of attempts that were started.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the milliseconds until the deadline.
    #[must_use]
    pub fn remaining_ms(&self, now: MonoMs) -> u64 {
        self.deadline.since_ms(now)
    }

    /// Notes that the caller may have sent the same request before, so that no host but the owner of its key can tell
    /// whether it ran: until [`Self::owner_decided`], "not run" is told as "unknown".
    pub fn mark_possible_earlier_attempt(&mut self) {
        self.earlier_attempt = true;
    }

    /// Notes that the owner of the key has decided.
    pub fn owner_decided(&mut self) {
        self.earlier_attempt = false;
    }

    /// Puts the request into the queue.
    pub fn queue(&mut self) {
        if self.open("queued") {
            self.stage = Stage::Queued;
        }
    }

    /// Starts the next attempt; earlier attempts are abandoned.
    ///
    /// # Errors
    ///
    /// Returns the error kind to end with when the deadline has passed.
    pub fn start_attempt(&mut self, now: MonoMs) -> Result<AttemptId, ErrorKind> {
        if now >= self.deadline {
            return Err(ErrorKind::DeadlineBeforeSend);
        }
        self.attempts += 1;
        let attempt = AttemptId {
            request: self.request,
            number: self.attempts,
        };
        if self.open("sent") {
            self.stage = Stage::Sent(attempt);
        }
        Ok(attempt)
    }

    /// Takes the head of an answer; returns false when it belongs to an abandoned attempt and must be dropped.
    #[must_use]
    pub fn accept_head(&mut self, attempt: AttemptId) -> bool {
        if self.stage != Stage::Sent(attempt) {
            return false;
        }
        self.stage = Stage::Answering(attempt);
        true
    }

    /// Returns true when `attempt` is the one whose answer the caller receives.
    #[must_use]
    pub fn is_current(&self, attempt: AttemptId) -> bool {
        self.stage == Stage::Sent(attempt) || self.stage == Stage::Answering(attempt)
    }

    /// Records the failure of an attempt and decides whether another one follows.
    ///
    /// Not for an answer of which the caller has received a part: only a resume can follow that. `take_budget` takes one
    /// retry from the retry budget and is called only when the retry is allowed otherwise.
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
        self.note_failure(failure);
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

    /// Records that the stream of an attempt was cut after a part of it reached the caller, and decides on a resume.
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
        self.note_failure(AttemptFailure::AnswerIncomplete);
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

    fn note_failure(&mut self, failure: AttemptFailure) {
        if failure.outcome() == Outcome::Unknown {
            self.may_have_run.get_or_insert(failure.kind());
        }
    }

    /// Returns the kind for a request whose deadline passed now.
    #[must_use]
    pub fn deadline_kind(&self) -> ErrorKind {
        match self.stage {
            Stage::Sent(_) | Stage::Answering(_) => ErrorKind::DeadlineAfterSend,
            Stage::Accepted | Stage::Queued | Stage::Ended(_) => ErrorKind::DeadlineBeforeSend,
        }
    }

    /// Ends the request with the whole answer of `attempt`.
    ///
    /// The answer of an attempt that is not the current one violates [`Invariant::WholeAnswer`].
    pub fn complete(&mut self, attempt: AttemptId) -> Ending {
        if self.stage != Stage::Answering(attempt) {
            violate(
                Invariant::WholeAnswer,
                format_args!("request {} completed by attempt {attempt}", self.request),
            );
        }
        self.finish(Ending::COMPLETE)
    }

    /// Ends the request without an answer of its own attempts, with the reply that a record of its key holds.
    pub fn complete_from_record(&mut self) -> Ending {
        self.finish(Ending::COMPLETE)
    }

    /// Ends the request for the reason `kind`.
    ///
    /// A reason that tells "not run" becomes the failure of an earlier attempt when that attempt may have run.
    pub fn reject(&mut self, kind: ErrorKind) -> Ending {
        let ending = Ending::rejected(kind);
        if ending.outcome != Outcome::NotRun {
            return self.finish(ending);
        }
        if let Some(earlier) = self.may_have_run {
            return self.finish(Ending::rejected(earlier));
        }
        self.finish(ending)
    }

    /// Ends the request for the reason `kind` with an outcome that differs from the answer table.
    ///
    /// The table states "unknown" for a refusal by the owner of a key; the first attempt of a key that was never sent
    /// is known not to have run.
    pub fn reject_as(&mut self, kind: ErrorKind, outcome: Outcome) -> Ending {
        self.finish(Ending {
            outcome,
            kind: Some(kind),
        })
    }

    /// Returns the end, once there is one.
    #[must_use]
    pub fn ending(&self) -> Option<Ending> {
        match self.stage {
            Stage::Ended(ending) => Some(ending),
            _ => None,
        }
    }

    fn finish(&mut self, ending: Ending) -> Ending {
        if let Stage::Ended(first) = self.stage {
            violate(
                Invariant::OneOutcome,
                format_args!("request {} ended twice", self.request),
            );
            return first;
        }
        let ending = self.checked(ending);
        self.stage = Stage::Ended(ending);
        ending
    }

    /// Checks that "not run" is not told about a request that may have run.
    fn checked(&self, ending: Ending) -> Ending {
        if self.earlier_attempt && ending.outcome == Outcome::NotRun {
            return Ending {
                outcome: Outcome::Unknown,
                ..ending
            };
        }
        let Some(earlier) = self.may_have_run else {
            return ending;
        };
        if ending.outcome != Outcome::NotRun {
            return ending;
        }
        violate(
            Invariant::NotRunIsTrue,
            format_args!("request {} may have run: {earlier:?}", self.request),
        );
        Ending::rejected(earlier)
    }

    fn open(&self, step: &str) -> bool {
        if !matches!(self.stage, Stage::Ended(_)) {
            return true;
        }
        violate(
            Invariant::OneOutcome,
            format_args!("request {} was {step} after its end", self.request),
        );
        false
    }
}

impl Drop for RequestFlow {
    fn drop(&mut self) {
        if self.ending().is_none() && !std::thread::panicking() {
            violate(
                Invariant::OneOutcome,
                format_args!("request {} was dropped without an outcome", self.request),
            );
        }
    }
}
