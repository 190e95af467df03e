//! The decision whether a broken stream is resumed.

use crate::retry::MAX_ATTEMPTS;

/// A broken stream, as seen by its connection.
#[derive(Clone, Copy, Debug)]
pub struct CutStream {
    /// Whether the engines of the service can resume a stream from a given token.
    pub engine_resumes: bool,
    /// The number of tokens that the caller has received.
    pub tokens: u64,
}

/// The inputs of [`decide_resume`].
#[derive(Clone, Copy, Debug)]
pub struct ResumeFacts {
    /// Whether the engines of the service can resume a stream from a given token.
    pub engine_resumes: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The number of attempts so far.
    pub attempts: u32,
    /// The number of tokens that the caller has received.
    pub tokens: u64,
    /// The time until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// What happens after a stream broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeDecision {
    /// The stream is resumed; the engine skips the first `from_token` tokens.
    Resume {
        /// The number of tokens that the caller has received.
        from_token: u64,
    },
    /// The caller receives an error event, and the body ends without its final chunk.
    Abort,
}

/// Decides whether a broken stream is resumed.
///
/// `take_budget` takes one retry from the retry budget; it is called only when all other conditions allow the resume.
#[must_use]
pub fn decide_resume(facts: ResumeFacts, take_budget: impl FnOnce() -> bool) -> ResumeDecision {
    let allowed = facts.engine_resumes
        && facts.idempotent
        && facts.attempts < MAX_ATTEMPTS
        && facts.remaining_ms > 0;
    if allowed && take_budget() {
        return ResumeDecision::Resume {
            from_token: facts.tokens,
        };
    }
    ResumeDecision::Abort
}
