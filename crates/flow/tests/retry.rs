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
    has_budget: bool,
    expected: RetryDecision,
}

const RETRYABLE: RetryCase = RetryCase {
    failure: AttemptFailure::ConnectFailed,
    idempotent: true,
    attempts: 1,
    remaining_ms: 1_000,
    has_budget: true,
    expected: RetryDecision::Retry,
};

/// Guards against retrying a request that must not run twice, and against exceeding the retry limits.
#[test_case(RETRYABLE ; "request that did not run is retried")]
#[test_case(RetryCase { idempotent: false, ..RETRYABLE } ; "request that did not run is retried when not idempotent")]
#[test_case(RetryCase { failure: AttemptFailure::TargetRefused, idempotent: false, ..RETRYABLE } ; "request refused before its start is retried when not idempotent")]
#[test_case(RetryCase { failure: AttemptFailure::AnswerLost, ..RETRYABLE } ; "unknown outcome is retried when idempotent")]
#[test_case(RetryCase { failure: AttemptFailure::AnswerLost, idempotent: false,
    expected: RetryDecision::GiveUp(ErrorKind::AnswerLost), ..RETRYABLE } ; "unknown outcome is final when not idempotent")]
#[test_case(RetryCase { failure: AttemptFailure::CrossedAnswer, idempotent: false,
    expected: RetryDecision::GiveUp(ErrorKind::AnswerIncomplete), ..RETRYABLE } ; "unverified answer is final when not idempotent")]
#[test_case(RetryCase { remaining_ms: 0, expected: RetryDecision::GiveUp(ErrorKind::ConnectFailed), ..RETRYABLE } ; "no retry after the deadline")]
#[test_case(RetryCase { attempts: MAX_ATTEMPTS, expected: RetryDecision::GiveUp(ErrorKind::ConnectFailed), ..RETRYABLE } ; "attempts are bounded")]
#[test_case(RetryCase { has_budget: false, expected: RetryDecision::GiveUp(ErrorKind::RetryBudgetSpent), ..RETRYABLE } ; "request that did not run fails without retry budget")]
#[test_case(RetryCase { failure: AttemptFailure::AnswerLost, has_budget: false,
    expected: RetryDecision::GiveUp(ErrorKind::AnswerLost), ..RETRYABLE } ; "unknown outcome stays unknown without retry budget")]
fn retry_decisions(case: RetryCase) {
    let facts = RetryFacts {
        failure: case.failure,
        idempotent: case.idempotent,
        attempts: case.attempts,
        remaining_ms: case.remaining_ms,
    };
    assert_eq!(decide_retry(facts, || case.has_budget), case.expected);
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
#[test_case(RESUMABLE, false, ResumeDecision::Abort ; "no retry budget")]
fn resume_decisions(facts: ResumeFacts, has_budget: bool, expected: ResumeDecision) {
    assert_eq!(decide_resume(facts, || has_budget), expected);
}
