//! Header names and paths that a deployment chooses.

use http::header::HeaderName;

/// The headers that callers, hosts and targets of a deployment use.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of an attempt; targets echo it.
    pub attempt_id: HeaderName,
    /// The remaining time until the deadline, in milliseconds.
    pub remaining_ms: HeaderName,
    /// The ids and sizes of the prompt parts.
    pub prompt_parts: HeaderName,
    /// The number of prompt tokens and the maximum of output tokens.
    pub token_counts: HeaderName,
    /// The id of the last event that the caller has received.
    pub last_event_id: HeaderName,
    /// The target's proof that it produced the answer.
    pub seal: HeaderName,
    /// The only target incarnation that may run the request.
    pub pinned_target: HeaderName,
    /// Marks an answer of a target that did not run the request.
    pub not_run: HeaderName,
    /// The delay before a retry, in seconds.
    pub retry_after: HeaderName,
    /// Marks the answers of a target that is leaving.
    pub leaving: HeaderName,
    /// The requests per second that the target takes from all hosts together, in its answers while it needs a limit.
    pub limit_per_s: HeaderName,
    /// The id of the target, in its health answers.
    pub instance: HeaderName,
    /// How long the target stays cold, in milliseconds, in its health answers.
    pub cold_remaining_ms: HeaderName,
    /// The scheduling urgency of a request on an engine.
    pub urgency: HeaderName,
    /// Headers that identify the caller.
    pub caller: Vec<HeaderName>,
    /// Headers that only hosts may set; those of callers are removed.
    pub reserved: Vec<HeaderName>,
}

/// The paths that the host itself serves.
#[derive(Clone, Copy, Debug)]
pub struct PathSet {
    /// Returns 200 while the host accepts requests.
    pub ready: &'static str,
    /// Returns entry hosts.
    pub directory: &'static str,
}
