//! Names of headers and paths that a deployment chooses.

use http::header::HeaderName;

/// The headers that callers, hosts and targets of a deployment use.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of a caller's attempt; targets echo it.
    pub attempt_id: HeaderName,
    /// The time that is left to the receiver, in milliseconds.
    pub remaining_ms: HeaderName,
    /// The parts of the prompt.
    pub prompt_parts: HeaderName,
    /// Prompt tokens and the most output tokens.
    pub token_counts: HeaderName,
    /// The last event that the caller has received.
    pub last_event_id: HeaderName,
    /// The target's proof that it made the answer.
    pub seal: HeaderName,
    /// The only incarnation that may run the request.
    pub pinned_target: HeaderName,
    /// Says that the target did not run the request.
    pub not_run: HeaderName,
    /// When to come back, in seconds.
    pub retry_after: HeaderName,
    /// The urgency of a request at an engine.
    pub urgency: HeaderName,
    /// Headers that only hosts may set; those of callers are dropped.
    pub reserved: Vec<HeaderName>,
}

/// The paths of the host's own pages.
#[derive(Clone, Copy, Debug)]
pub struct PathSet {
    /// Answers with 200 while the host takes requests.
    pub ready: &'static str,
    /// Answers with entry hosts.
    pub directory: &'static str,
}
