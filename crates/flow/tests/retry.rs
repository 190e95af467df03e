//! Retry and resume decisions.

use lw_base::ErrorKind;
use lw_flow::{
    AttemptFailure, MAX_ATTEMPTS, ResumeDecision, ResumeFacts, RetryDecision, RetryFacts,
    decide_resume, decide_retry,
};
use test_case::test_case;

#[derive(Clone, Copy)]
struct RetryCase {
    failure: AttemptFailure,
    idempotent: bool,
    attempts: u32,
    remaining_ms: u64,
    budget: bool,
    expected: RetryDecision,
}

const RETRYABLE: RetryCase = RetryCase {
    failure: AttemptFailure::ConnectFailed,
    idempotent: true,
    attempts: 1,
    remaining_ms: 1_000,
    budget: true,
    expected: RetryDecision::Retry,
};

/// Guards against retrying a request that must not run twice, and against exceeding the retry limits.
#[test_case(RETRYABLE ; "not run is retried")]
#[test_case(RetryCase { idempotent: false, ..RETRYABLE } ; "not run is retried when not idempotent")]
#[test_case(RetryCase { failure: AttemptFailure::TargetRefused, idempotent: false, ..RETRYABLE } ; "refused before start is retried")]
#[test_case(RetryCase { failure: AttemptFailure::AnswerLost, ..RETRYABLE } ; "unknown is retried when idempotent")]
#[test_case(RetryCase { failure: AttemptFailure::AnswerLost, idempotent: false,
    expected: RetryDecision::GiveUp(ErrorKind::AnswerLost), ..RETRYABLE } ; "unknown is final when not idempotent")]
#[test_case(RetryCase { failure: AttemptFailure::UnverifiedAnswer, idempotent: false,
    expected: RetryDecision::GiveUp(ErrorKind::AnswerIncomplete), ..RETRYABLE } ; "crossed answer is final when not idempotent")]
#[test_case(RetryCase { remaining_ms: 0, expected: RetryDecision::GiveUp(ErrorKind::ConnectFailed), ..RETRYABLE } ; "no retry after the deadline")]
#[test_case(RetryCase { attempts: MAX_ATTEMPTS, expected: RetryDecision::GiveUp(ErrorKind::ConnectFailed), ..RETRYABLE } ; "attempts are bounded")]
#[test_case(RetryCase { budget: false, expected: RetryDecision::GiveUp(ErrorKind::RetryBudgetSpent), ..RETRYABLE } ; "spent budget after not run")]
#[test_case(RetryCase { failure: AttemptFailure::AnswerLost, budget: false,
    expected: RetryDecision::GiveUp(ErrorKind::AnswerLost), ..RETRYABLE } ; "spent budget keeps the outcome unknown")]
fn retry_decisions(case: RetryCase) {
    let facts = RetryFacts {
        failure: case.failure,
        idempotent: case.idempotent,
        attempts: case.attempts,
        remaining_ms: case.remaining_ms,
    };
    assert_eq!(decide_retry(facts, || case.budget), case.expected);
}

/// Guards against taking a retry from the budget when the retry is not allowed.
#[test]
fn disallowed_retry_does_not_use_the_budget() {
    let facts = RetryFacts {
        failure: AttemptFailure::AnswerLost,
        idempotent: false,
        attempts: 1,
        remaining_ms: 1_000,
    };
    let decision = decide_retry(facts, || panic!("a retry was taken from the budget"));
    assert_eq!(decision, RetryDecision::GiveUp(ErrorKind::AnswerLost));
}

const RESUMABLE: ResumeFacts = ResumeFacts {
    engine_resumes: true,
    idempotent: true,
    attempts: 1,
    tokens: 7,
    remaining_ms: 1_000,
};

/// Guards against resuming a request that must not run twice, and against repeating tokens.
#[test_case(RESUMABLE, true, ResumeDecision::Resume { from_token: 7 } ; "resumes after the delivered tokens")]
#[test_case(ResumeFacts { engine_resumes: false, ..RESUMABLE }, true, ResumeDecision::Abort ; "engine cannot resume")]
#[test_case(ResumeFacts { idempotent: false, ..RESUMABLE }, true, ResumeDecision::Abort ; "not idempotent")]
#[test_case(ResumeFacts { attempts: MAX_ATTEMPTS, ..RESUMABLE }, true, ResumeDecision::Abort ; "attempts are bounded")]
#[test_case(ResumeFacts { remaining_ms: 0, ..RESUMABLE }, true, ResumeDecision::Abort ; "deadline passed")]
#[test_case(RESUMABLE, false, ResumeDecision::Abort ; "budget is spent")]
fn resume_decisions(facts: ResumeFacts, budget: bool, expected: ResumeDecision) {
    assert_eq!(decide_resume(facts, || budget), expected);
}
