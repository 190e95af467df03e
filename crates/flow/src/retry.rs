//! Whether a failed attempt is followed by another one.

use lw_base::{ErrorKind, Outcome};

use crate::attempt_failure::AttemptFailure;

/// The most attempts of one request; the retry budget bounds the sum, this bounds the wait of a single caller.
pub const MAX_ATTEMPTS: u32 = 3;

/// What the decision on a retry depends on.
#[derive(Clone, Copy, Debug)]
pub struct RetryFacts {
    /// Why the attempt failed.
    pub failure: AttemptFailure,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The number of attempts so far.
    pub attempts: u32,
    /// The milliseconds until the deadline.
    pub remaining_ms: u64,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt is started.
    Retry,
    /// The request ends with this kind.
    GiveUp(ErrorKind),
    /// The failure belongs to an abandoned attempt and changes nothing.
    Ignore,
}

/// Decides whether a failed attempt is followed by another one.
///
/// A retry is allowed after "not run", and after "unknown" only when the request is idempotent. `take_budget` is
/// called only when the retry is allowed otherwise, and takes one retry from the budget of the service.
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
