//! Decisions on retries and resumes.

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

const OPEN: RetryCase = RetryCase {
    failure: AttemptFailure::ConnectFailed,
    idempotent: true,
    attempts: 1,
    remaining_ms: 1_000,
    budget: true,
    expected: RetryDecision::Retry,
};

/// Guards against a second run of a request that must not run twice, and against retries past their bounds.
#[test_case(OPEN ; "not run is retried")]
#[test_case(RetryCase { idempotent: false, ..OPEN } ; "not run is retried when not idempotent")]
#[test_case(RetryCase { failure: AttemptFailure::TargetRefused, idempotent: false, ..OPEN } ; "refused before start is retried")]
#[test_case(RetryCase { failure: AttemptFailure::AnswerLost, ..OPEN } ; "unknown is retried when idempotent")]
#[test_case(RetryCase { failure: AttemptFailure::AnswerLost, idempotent: false,
    expected: RetryDecision::GiveUp(ErrorKind::AnswerLost), ..OPEN } ; "unknown is final when not idempotent")]
#[test_case(RetryCase { failure: AttemptFailure::CrossedAnswer, idempotent: false,
    expected: RetryDecision::GiveUp(ErrorKind::AnswerIncomplete), ..OPEN } ; "crossed answer is final when not idempotent")]
#[test_case(RetryCase { remaining_ms: 0, expected: RetryDecision::GiveUp(ErrorKind::ConnectFailed), ..OPEN } ; "no retry after the deadline")]
#[test_case(RetryCase { attempts: MAX_ATTEMPTS, expected: RetryDecision::GiveUp(ErrorKind::ConnectFailed), ..OPEN } ; "attempts are bounded")]
#[test_case(RetryCase { budget: false, expected: RetryDecision::GiveUp(ErrorKind::RetryBudgetSpent), ..OPEN } ; "spent budget after not run")]
#[test_case(RetryCase { failure: AttemptFailure::AnswerLost, budget: false,
    expected: RetryDecision::GiveUp(ErrorKind::AnswerLost), ..OPEN } ; "spent budget after unknown stays unknown")]
fn retries(case: RetryCase) {
    let facts = RetryFacts {
        failure: case.failure,
        idempotent: case.idempotent,
        attempts: case.attempts,
        remaining_ms: case.remaining_ms,
    };
    assert_eq!(decide_retry(facts, || case.budget), case.expected);
}

/// Guards against a budget that is drawn on by retries that do not take place.
#[test]
fn a_forbidden_retry_leaves_the_budget() {
    let facts = RetryFacts {
        failure: AttemptFailure::AnswerLost,
        idempotent: false,
        attempts: 1,
        remaining_ms: 1_000,
    };
    let decision = decide_retry(facts, || panic!("the budget was drawn on"));
    assert_eq!(decision, RetryDecision::GiveUp(ErrorKind::AnswerLost));
}

const CUT: ResumeFacts = ResumeFacts {
    engine_resumes: true,
    idempotent: true,
    attempts: 1,
    tokens: 7,
    remaining_ms: 1_000,
};

/// Guards against a resume that repeats work that must not repeat, or that repeats tokens.
#[test_case(CUT, true, ResumeDecision::Resume { from_token: 7 } ; "resumes after the delivered tokens")]
#[test_case(ResumeFacts { engine_resumes: false, ..CUT }, true, ResumeDecision::Abort ; "engine cannot resume")]
#[test_case(ResumeFacts { idempotent: false, ..CUT }, true, ResumeDecision::Abort ; "not idempotent")]
#[test_case(ResumeFacts { attempts: MAX_ATTEMPTS, ..CUT }, true, ResumeDecision::Abort ; "attempts are bounded")]
#[test_case(ResumeFacts { remaining_ms: 0, ..CUT }, true, ResumeDecision::Abort ; "deadline passed")]
#[test_case(CUT, false, ResumeDecision::Abort ; "budget is spent")]
fn resumes(facts: ResumeFacts, budget: bool, expected: ResumeDecision) {
    assert_eq!(decide_resume(facts, || budget), expected);
}
