//! The table that maps each error kind to the error response that a caller receives.

use crate::error_kind::ErrorKind;
use crate::outcome::Outcome;

/// Whether and when a caller should retry a rejected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAdvice {
    /// The same request would be rejected again.
    Never,
    /// The caller may retry the same request, with the same idempotency key, after this time in milliseconds.
    AfterMs(u64),
    /// The caller should retry at another entry host without a delay.
    OtherHost,
}

/// The error response for one error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The outcome that the response reports.
    pub outcome: Outcome,
    /// Whether and when the caller should retry.
    pub retry: RetryAdvice,
    /// The message in the response body, which says what went wrong and, where it helps, what to do.
    pub message: &'static str,
}

/// Returns the error response for `kind`.
#[must_use]
pub fn error_response(kind: ErrorKind) -> ErrorResponse {
    use ErrorKind as E;
    use Outcome::{NotRun, Unknown};
    use RetryAdvice::{AfterMs, Never, OtherHost};

    let (status, outcome, retry, message) = match kind {
        E::BadRequest => (400, NotRun, Never, "the request is malformed"),
        E::Unauthorized => (
            401,
            NotRun,
            Never,
            "the customer's credential is missing or wrong",
        ),
        E::HeadersTooLarge => (431, NotRun, Never, "the headers are too large"),
        E::BodyTooLarge => (413, NotRun, Never, "the body is too large"),
        E::UnknownService => (404, NotRun, Never, "no service has this name"),
        E::KeyMissing => (
            400,
            NotRun,
            Never,
            "send Idempotency-Key: <region>.<uuid v7>",
        ),
        E::KeyMalformed => (
            400,
            NotRun,
            Never,
            "Idempotency-Key must be <region>.<uuid v7> with a known region and a current issue time",
        ),
        E::KeyExpired => (
            409,
            Unknown,
            Never,
            "the idempotency key is older than the retention time of outcomes",
        ),
        E::KeyReused => (
            422,
            NotRun,
            Never,
            "the idempotency key was already used for a different request",
        ),
        E::Misdirected => (
            421,
            NotRun,
            OtherHost,
            "the request is bound to another region; use an entry host of that region",
        ),
        E::ResidencyRefused => (
            403,
            NotRun,
            Never,
            "no region that the residency rule allows serves this request",
        ),
        E::LoopDetected => (
            508,
            NotRun,
            Never,
            "the request already passed through this gateway",
        ),
        E::LimitExceeded => (
            429,
            NotRun,
            AfterMs(1_000),
            "the customer exceeds its rate limit",
        ),
        E::QueueFull => (
            503,
            NotRun,
            AfterMs(2_000),
            "the queue of this service is full",
        ),
        E::DeadlineUnreachable => (
            503,
            NotRun,
            AfterMs(5_000),
            "the request would wait past its deadline",
        ),
        E::DeadlineBeforeSend => (
            504,
            NotRun,
            AfterMs(5_000),
            "the deadline passed before the request was sent",
        ),
        E::DeadlineAfterSend => (
            504,
            Unknown,
            AfterMs(5_000),
            "the deadline passed after the request was sent",
        ),
        E::NoTarget => (
            503,
            NotRun,
            AfterMs(5_000),
            "no target can accept the request now; retry later",
        ),
        E::ConnectFailed => (502, NotRun, AfterMs(1_000), "no target could be reached"),
        E::TargetRefused => (
            503,
            NotRun,
            AfterMs(1_000),
            "the target rejected the request before processing it",
        ),
        E::AnswerLost => (
            502,
            Unknown,
            AfterMs(1_000),
            "the connection broke after the request was sent",
        ),
        E::AnswerIncomplete => (502, Unknown, AfterMs(1_000), "the response was truncated"),
        E::OwnerUnreachable => (
            503,
            Unknown,
            AfterMs(2_000),
            "the host that owns the record of this key cannot be reached",
        ),
        E::ClaimRefused => (
            503,
            Unknown,
            AfterMs(2_000),
            "the record of this key cannot be written now",
        ),
        E::OutcomeUnknown => (
            409,
            Unknown,
            Never,
            "a request with this key was sent and its result is not known; check the result before sending a new key",
        ),
        E::AnswerNotKept => (
            409,
            Unknown,
            Never,
            "the request with this key completed, but its response was not stored",
        ),
        E::Isolated => (
            503,
            NotRun,
            OtherHost,
            "this host has lost contact with its region; use another entry host",
        ),
        E::NotReady => (503, NotRun, OtherHost, "this host has no configuration yet"),
        E::Leaving => (
            503,
            NotRun,
            OtherHost,
            "this host is shutting down; use another entry host",
        ),
        E::RetryBudgetSpent => (
            503,
            NotRun,
            AfterMs(2_000),
            "the retry budget is exhausted; retry later",
        ),
        E::CallerGone => (499, Unknown, Never, "the caller closed the connection"),
        E::Internal => (
            500,
            Unknown,
            AfterMs(1_000),
            "an internal error occurred in the gateway",
        ),
    };
    ErrorResponse {
        status,
        outcome,
        retry,
        message,
    }
}
