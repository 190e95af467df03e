//! The lifecycle of a request, from its attempts to its final result.

use lw_base::prelude::*;
use lw_base::violation_count;
use lw_flow::{AttemptFailure, FinalOutcome, RequestFlow, RetryDecision, Stage};
use test_case::test_case;

const DEADLINE: MonoMs = MonoMs(1_000);

fn flow(idempotent: bool) -> RequestFlow {
    let request = "0190a0a0a0a07000800000000000000a".parse().unwrap();
    RequestFlow::accept(request, idempotent, DEADLINE)
}

/// Guards against a complete answer that is not accepted.
#[test]
fn complete_answer_ends_the_request() {
    let mut flow = flow(true);
    flow.queue();
    let attempt = flow.start_attempt(MonoMs(1)).unwrap();
    assert!(flow.accept_head(attempt));
    assert_eq!(flow.complete(attempt), FinalOutcome::COMPLETE);
    assert_eq!(flow.stage(), Stage::Ended(FinalOutcome::COMPLETE));
}

/// Guards against passing on the late answer of an abandoned attempt.
#[test]
fn late_answer_of_an_abandoned_attempt_is_dropped() {
    let mut flow = flow(true);
    let first = flow.start_attempt(MonoMs(1)).unwrap();
    let decision = flow.attempt_failed(first, AttemptFailure::AnswerLost, MonoMs(2), || true);
    assert_eq!(decision, RetryDecision::Retry);
    let second = flow.start_attempt(MonoMs(3)).unwrap();
    assert!(!flow.accept_head(first));
    let late = flow.attempt_failed(first, AttemptFailure::AnswerLost, MonoMs(4), || true);
    assert_eq!(late, RetryDecision::Ignore);
    assert!(flow.accept_head(second));
    assert_eq!(flow.complete(second), FinalOutcome::COMPLETE);
}

/// Guards against reporting "not run" for a request whose first attempt may have run.
#[test]
fn attempt_that_may_have_run_keeps_the_outcome_unknown() {
    let mut flow = flow(true);
    let first = flow.start_attempt(MonoMs(1)).unwrap();
    let _ = flow.attempt_failed(first, AttemptFailure::AnswerLost, MonoMs(2), || true);
    let second = flow.start_attempt(MonoMs(3)).unwrap();
    let _ = flow.attempt_failed(second, AttemptFailure::ConnectFailed, MonoMs(4), || false);
    let final_outcome = flow.reject(ErrorKind::RetryBudgetSpent);
    assert_eq!(final_outcome, FinalOutcome::rejected(ErrorKind::AnswerLost));
    assert_eq!(final_outcome.outcome, Outcome::Unknown);
}

/// Guards against a wrong outcome at the deadline: "not run" before the request is sent, "unknown" afterwards.
#[test_case(false, ErrorKind::DeadlineBeforeSend, Outcome::NotRun ; "before the request is sent")]
#[test_case(true, ErrorKind::DeadlineAfterSend, Outcome::Unknown ; "after the request is sent")]
fn outcome_at_the_deadline(sent: bool, kind: ErrorKind, outcome: Outcome) {
    let mut flow = flow(true);
    flow.queue();
    if sent {
        flow.start_attempt(MonoMs(999)).unwrap();
    } else {
        assert_eq!(flow.start_attempt(DEADLINE), Err(kind));
    }
    assert_eq!(flow.deadline_kind(), kind);
    assert_eq!(flow.reject(kind).outcome, outcome);
}

/// Guards against invariant checks that do not count violations.
#[test]
fn invariant_violations_are_counted() {
    let count = |invariant| violation_count(invariant);

    let before = count(Invariant::OneOutcome);
    let mut twice = flow(true);
    let first = twice.reject(ErrorKind::QueueFull);
    assert_eq!(twice.reject(ErrorKind::AnswerLost), first);
    drop(flow(true));
    assert_eq!(count(Invariant::OneOutcome), before + 2);

    let before = count(Invariant::WholeAnswer);
    let mut crossed = flow(true);
    let attempt = crossed.start_attempt(MonoMs(1)).unwrap();
    crossed.complete(attempt);
    assert_eq!(count(Invariant::WholeAnswer), before + 1);

    let before = count(Invariant::NotRunIsTrue);
    let mut ran = flow(false);
    let attempt = ran.start_attempt(MonoMs(1)).unwrap();
    let _ = ran.attempt_failed(attempt, AttemptFailure::AnswerLost, MonoMs(2), || true);
    let final_outcome = ran.reject_as(ErrorKind::OwnerUnreachable, Outcome::NotRun);
    assert_eq!(final_outcome, FinalOutcome::rejected(ErrorKind::AnswerLost));
    assert_eq!(count(Invariant::NotRunIsTrue), before + 1);
}
