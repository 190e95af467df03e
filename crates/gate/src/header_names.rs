//! Names of the headers of the gateway.

use http::HeaderName;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident = $value:literal;)*) => {
        $($(#[$doc])* pub(crate) const $name: HeaderName = HeaderName::from_static($value);)*
    };
}

names! {
    /// The account that a caller belongs to.
    CUSTOMER = "x-customer";
    /// The idempotency key of a request that must not run twice.
    IDEMPOTENCY_KEY = "idempotency-key";
    /// The number of the caller's attempt, from 1.
    CALLER_ATTEMPT = "lacewingstile-attempt";
    /// The caller's deadline in milliseconds.
    DEADLINE_MS = "lacewingstile-deadline-ms";
    /// The priority class, which may only be lowered.
    PRIORITY = "lacewingstile-priority";
    /// The outcome of a request.
    OUTCOME = "lacewingstile-outcome";
    /// The error kind.
    ERROR = "lacewingstile-error";
    /// The id of a request.
    REQUEST_ID = "lacewingstile-request-id";
    /// The configuration revision that the request was decided on.
    REVISION = "lacewingstile-revision";
    /// Marks responses of a host that is leaving.
    LEAVING = "lacewingstile-leaving";
    /// Marks the recorded response of an earlier run.
    REPLAYED = "lacewingstile-replayed";
    /// The id of an attempt, towards targets.
    ATTEMPT_ID = "x-attempt-id";
    /// The priority class, towards engines.
    ENGINE_PRIORITY = "x-priority";
    /// Set by a target that refuses before it starts.
    NOT_STARTED = "x-not-started";
    /// The hop of a request between hosts.
    PEER_HOP = "lw-hop";
    /// The id of a request between hosts.
    PEER_REQUEST_ID = "lw-request-id";
    /// The configuration revision of the sending host.
    PEER_REVISION = "lw-sender-revision";
    /// The regions that the sending host allows, by name.
    PEER_ALLOWED = "lw-allowed-regions";
    /// The remaining time of a request in milliseconds.
    PEER_DEADLINE_MS = "lw-deadline-ms";
    /// The service of a request between hosts.
    PEER_SERVICE = "lw-service";
    /// The customer of a request between hosts.
    PEER_CUSTOMER = "lw-customer";
    /// The time, nonce and tag that authenticate a request between hosts.
    PEER_AUTH = "lw-auth";
}

/// The prefix of headers that only hosts of the gateway send.
pub(crate) const PEER_PREFIX: &str = "lw-";

/// The value of `Via` that the gateway adds towards targets.
pub(crate) const VIA: &str = "1.1 lacewingstile";
