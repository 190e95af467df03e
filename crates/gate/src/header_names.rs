//! Names of the headers that the gateway reads and sets.

use http::HeaderName;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident = $value:literal;)*) => {
        $($(#[$doc])* pub(crate) const $name: HeaderName = HeaderName::from_static($value);)*
    };
}

names! {
    /// The customer that a caller belongs to.
    CUSTOMER = "x-customer";
    /// The idempotency key of a non-idempotent request.
    IDEMPOTENCY_KEY = "idempotency-key";
    /// The number of the caller's attempt, from 1.
    CALLER_ATTEMPT = "lacewingstile-attempt";
    /// The caller's deadline in milliseconds.
    DEADLINE_MS = "lacewingstile-deadline-ms";
    /// The priority class that the caller requests, which can only be lower than that of the service.
    PRIORITY = "lacewingstile-priority";
    /// The outcome of a request.
    OUTCOME = "lacewingstile-outcome";
    /// The error kind.
    ERROR = "lacewingstile-error";
    /// The id of a request.
    REQUEST_ID = "lacewingstile-request-id";
    /// The configuration revision by which the request was routed.
    REVISION = "lacewingstile-revision";
    /// Set in responses of a host that is shutting down.
    LEAVING = "lacewingstile-leaving";
    /// Set in a response that is replayed from the record of an earlier request with the same idempotency key.
    REPLAYED = "lacewingstile-replayed";
    /// The id of an attempt, sent to targets.
    ATTEMPT_ID = "x-attempt-id";
    /// The priority class, sent to targets.
    ENGINE_PRIORITY = "x-priority";
    /// Set by a target that refuses a request before starting it.
    NOT_STARTED = "x-not-started";
    /// The hop of a request between hosts.
    PEER_HOP = "lw-hop";
    /// The id of a request between hosts.
    PEER_REQUEST_ID = "lw-request-id";
    /// The configuration revision of the sending host.
    PEER_REVISION = "lw-sender-revision";
    /// The comma-separated names of the regions that the sending host allows.
    PEER_ALLOWED = "lw-allowed-regions";
    /// The time until the deadline of a request between hosts, in milliseconds.
    PEER_DEADLINE_MS = "lw-deadline-ms";
    /// The service of a request between hosts.
    PEER_SERVICE = "lw-service";
    /// The customer of a request between hosts.
    PEER_CUSTOMER = "lw-customer";
    /// The time, nonce and tag that authenticate a request between hosts.
    PEER_AUTH = "lw-auth";
}

/// Prefix of the headers that only hosts of the gateway may send.
pub(crate) const PEER_PREFIX: &str = "lw-";

/// The `Via` value that the gateway adds to requests to targets.
pub(crate) const VIA: &str = "1.1 lacewingstile";
