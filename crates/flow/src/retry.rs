//! The decision whether a failed attempt is retried.

use lw_base::{ErrorKind, Outcome};

use crate::attempt_failure::AttemptFailure;

/// The maximum number of attempts per request. It bounds the wait of a single caller; the retry budget bounds the total
/// number of retries.
pub const MAX_ATTEMPTS: u32 = 3;

/// The inputs of [`decide_retry`].
#[derive(Clone, Copy, Debug)]
pub struct RetryFacts {
    /// Why the attempt failed.
    pub failure: AttemptFailure,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The number of attempts so far.
    pub attempts: u32,
    /// The time until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// What happens after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt is started.
    Retry,
    /// The request ends with this error kind.
    GiveUp(ErrorKind),
    /// The attempt was abandoned; its failure has no effect.
    Ignore,
}

/// Decides whether a failed attempt is retried.
///
/// A retry is allowed when the attempt did not run, or when its outcome is unknown and the request is idempotent.
/// `take_budget` takes one retry from the retry budget of the service; it is called only when all other conditions
/// allow the retry.
#[must_use]
pub fn decide_retry(facts: RetryFacts, take_budget: impl FnOnce() -> bool) -> RetryDecision {
    let kind = facts.failure.kind();
    let allowed = match facts.failure.outcome() {
        Outcome::NotRun => true,
        Outcome::Unknown => facts.idempotent,
        Outcome::Complete => false,
    };
    if !allowed || facts.remaining_ms == 0 || facts.attempts >= MAX_ATTEMPTS {
        return RetryDecision::GiveUp(kind);
    }
    if take_budget() {
        return RetryDecision::Retry;
    }
    match facts.failure.outcome() {
        Outcome::NotRun => RetryDecision::GiveUp(ErrorKind::RetryBudgetSpent),
        Outcome::Unknown | Outcome::Complete => RetryDecision::GiveUp(kind),
    }
}
