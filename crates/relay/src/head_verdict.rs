//! What the head of an answer proves.

use http::StatusCode;
use lw_flow::AttemptFailure;

/// What was read of the head of an answer.
#[derive(Clone, Copy, Debug)]
pub struct HeadFacts {
    /// The status.
    pub status: StatusCode,
    /// The id in the answer is that of the attempt; `None` when the answer carries none.
    pub same_attempt: Option<bool>,
    /// The answer carries the target's seal.
    pub sealed: bool,
    /// The target says that it did not run the request.
    pub not_run: bool,
    /// The body was encoded.
    pub encoded: bool,
    /// The connection has served another request before.
    pub reused: bool,
}

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadVerdict {
    /// The target's answer; its body is passed on.
    Answer,
    /// The target's own failure: the request ran, and one that may be repeated is better off elsewhere.
    TargetError,
    /// No answer to this attempt.
    AttemptFailed(AttemptFailure),
}

/// Judges the head of an answer.
///
/// Answers are matched by the id of the attempt: an additional answer may stand where the next one is expected. A
/// rejection without an id counts only on a connection without an earlier request, where no such answer can wait.
#[must_use]
pub fn classify_head(head: HeadFacts) -> HeadVerdict {
    if head.same_attempt == Some(false) {
        return HeadVerdict::AttemptFailed(AttemptFailure::CrossedAnswer);
    }
    let rejected = head.not_run || head.status == StatusCode::MISDIRECTED_REQUEST;
    if rejected && !head.status.is_success() {
        return match head.same_attempt.is_none() && head.reused && !head.not_run {
            true => HeadVerdict::AttemptFailed(AttemptFailure::CrossedAnswer),
            false => HeadVerdict::AttemptFailed(AttemptFailure::TargetRefused),
        };
    }
    if head.status.is_informational() {
        return HeadVerdict::AttemptFailed(AttemptFailure::AnswerIncomplete);
    }
    let is_own = head.sealed && head.same_attempt == Some(true) && !head.encoded;
    if head.status.is_success() && !is_own {
        return HeadVerdict::AttemptFailed(AttemptFailure::CrossedAnswer);
    }
    match head.status.is_server_error() {
        true => HeadVerdict::TargetError,
        false => HeadVerdict::Answer,
    }
}
