//! Whether a stream that was cut goes on from the next token.

use crate::retry::MAX_ATTEMPTS;

/// A stream that was cut, as far as its connection knows it.
#[derive(Clone, Copy, Debug)]
pub struct CutStream {
    /// Whether the engines of the service resume a stream from a given token.
    pub engine_resumes: bool,
    /// The tokens that the caller has received.
    pub tokens: u64,
}

/// What the decision on a resume depends on.
#[derive(Clone, Copy, Debug)]
pub struct ResumeFacts {
    /// Whether the engines of the service resume a stream from a given token.
    pub engine_resumes: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The number of attempts so far.
    pub attempts: u32,
    /// The tokens that the caller has received.
    pub tokens: u64,
    /// The milliseconds until the deadline.
    pub remaining_ms: u64,
}

/// What follows a cut stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeDecision {
    /// The stream goes on; the engine leaves out the first `from_token` tokens.
    Resume {
        /// The tokens that the caller has received.
        from_token: u64,
    },
    /// The caller receives an error event, and the body ends without its final chunk.
    Abort,
}

/// Decides whether a cut stream is resumed.
///
/// `take_budget` is called only when the resume is allowed otherwise, and takes one retry from the budget.
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
