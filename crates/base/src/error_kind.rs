//! The kinds of errors that the gateway reports to callers.

use serde::{Deserialize, Serialize};

/// Why a request was rejected or did not get its complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The customer's credential is missing or wrong.
    Unauthorized,
    /// The headers are larger than the gateway accepts.
    HeadersTooLarge,
    /// The body is larger than the gateway accepts.
    BodyTooLarge,
    /// No service has the requested name.
    UnknownService,
    /// A non-idempotent request has no idempotency key.
    KeyMissing,
    /// The idempotency key is malformed, or its issue time is too far in the future.
    KeyMalformed,
    /// The idempotency key is older than the retention window of idempotency records.
    KeyExpired,
    /// The same idempotency key was used for a request with another body.
    KeyReused,
    /// The request is bound to another region.
    Misdirected,
    /// No region that the residency rule allows can serve the request.
    ResidencyRefused,
    /// The request already passed through this gateway.
    LoopDetected,
    /// The customer exceeds its rate limit.
    LimitExceeded,
    /// The queue has reached its limit of entries or bytes.
    QueueFull,
    /// The expected waiting time exceeds the deadline.
    DeadlineUnreachable,
    /// The deadline passed before the request was sent.
    DeadlineBeforeSend,
    /// The deadline passed after the request was sent.
    DeadlineAfterSend,
    /// No target of the service can accept the request.
    NoTarget,
    /// Every connection to a target failed before anything was sent.
    ConnectFailed,
    /// The target rejected the request before processing it.
    TargetRefused,
    /// The connection broke after the request was sent.
    AnswerLost,
    /// The response was truncated or did not match its attempt.
    AnswerIncomplete,
    /// The host that owns the idempotency record of the request could not be reached.
    OwnerUnreachable,
    /// The idempotency record cannot be written, because the backup does not acknowledge it.
    ClaimRefused,
    /// A request with the same idempotency key was sent before, and its result is not known.
    OutcomeUnknown,
    /// A request with the same idempotency key completed, but its response was too large to store.
    AnswerNotKept,
    /// The host has lost contact with its region and with the key-value service.
    Isolated,
    /// The host has no configuration yet.
    NotReady,
    /// The host is draining and accepts no new requests.
    Leaving,
    /// The retry budget is exhausted.
    RetryBudgetSpent,
    /// The caller disconnected before it received the complete response.
    CallerGone,
    /// An internal error of the gateway.
    Internal,
}

impl ErrorKind {
    /// All kinds.
    pub const ALL: [Self; 32] = [
        Self::BadRequest,
        Self::Unauthorized,
        Self::HeadersTooLarge,
        Self::BodyTooLarge,
        Self::UnknownService,
        Self::KeyMissing,
        Self::KeyMalformed,
        Self::KeyExpired,
        Self::KeyReused,
        Self::Misdirected,
        Self::ResidencyRefused,
        Self::LoopDetected,
        Self::LimitExceeded,
        Self::QueueFull,
        Self::DeadlineUnreachable,
        Self::DeadlineBeforeSend,
        Self::DeadlineAfterSend,
        Self::NoTarget,
        Self::ConnectFailed,
        Self::TargetRefused,
        Self::AnswerLost,
        Self::AnswerIncomplete,
        Self::OwnerUnreachable,
        Self::ClaimRefused,
        Self::OutcomeUnknown,
        Self::AnswerNotKept,
        Self::Isolated,
        Self::NotReady,
        Self::Leaving,
        Self::RetryBudgetSpent,
        Self::CallerGone,
        Self::Internal,
    ];

    /// Returns the value of the `Lacewingstile-Error` header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::HeadersTooLarge => "headers_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::UnknownService => "unknown_service",
            Self::KeyMissing => "key_missing",
            Self::KeyMalformed => "key_malformed",
            Self::KeyExpired => "key_expired",
            Self::KeyReused => "key_reused",
            Self::Misdirected => "misdirected",
            Self::ResidencyRefused => "residency_refused",
            Self::LoopDetected => "loop_detected",
            Self::LimitExceeded => "limit_exceeded",
            Self::QueueFull => "queue_full",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::DeadlineBeforeSend => "deadline_before_send",
            Self::DeadlineAfterSend => "deadline_after_send",
            Self::NoTarget => "no_target",
            Self::ConnectFailed => "connect_failed",
            Self::TargetRefused => "target_refused",
            Self::AnswerLost => "answer_lost",
            Self::AnswerIncomplete => "answer_incomplete",
            Self::OwnerUnreachable => "owner_unreachable",
            Self::ClaimRefused => "claim_refused",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::AnswerNotKept => "answer_not_kept",
            Self::Isolated => "isolated",
            Self::NotReady => "not_ready",
            Self::Leaving => "leaving",
            Self::RetryBudgetSpent => "retry_budget_spent",
            Self::CallerGone => "caller_gone",
            Self::Internal => "internal",
        }
    }

    /// Returns the kind with the given header value.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }
}
