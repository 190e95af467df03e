//! Classifies the head of a target's answer.

use http::StatusCode;
use lw_flow::AttemptFailure;

/// The properties of an answer's head.
#[derive(Clone, Copy, Debug)]
pub struct HeadFacts {
    /// The status.
    pub status: StatusCode,
    /// Whether the answer carries the id of the attempt and no other one; `None` when it carries no id.
    pub same_attempt: Option<bool>,
    /// The answer carries the target's seal.
    pub sealed: bool,
    /// The target states that it did not run the request.
    pub not_run: bool,
    /// The body has a content encoding.
    pub encoded: bool,
    /// The connection has served another request before.
    pub reused: bool,
    /// The head holds the status line of a second answer, so it was joined from two; see [`holds_status_line`].
    pub joined: bool,
}

/// The classification of an answer's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadVerdict {
    /// A valid answer of the target; its body is forwarded.
    Answer,
    /// A server error of the target: the request ran, and a repeatable one should be retried on another target.
    TargetError,
    /// There is no valid answer to this attempt.
    AttemptFailed(AttemptFailure),
}

/// Classifies the head of an answer.
///
/// Answers are matched by the id of the attempt, because a target may send a surplus answer, which then arrives where
/// the next one is expected. An answer without an id counts only on a connection without an earlier request, where no
/// surplus answer can be pending. This includes rejections: a surplus one says nothing about the request that runs.
/// A surplus answer that breaks off in its head is joined with the answer that follows, and its status or rejection would
/// stand beside the right id.
#[must_use]
pub fn classify_head(head: HeadFacts) -> HeadVerdict {
    let is_foreign = head.joined || head.same_attempt == Some(false);
    if is_foreign || (head.same_attempt.is_none() && head.reused) {
        return HeadVerdict::AttemptFailed(AttemptFailure::CrossedAnswer);
    }
    let is_rejected = head.not_run || head.status == StatusCode::MISDIRECTED_REQUEST;
    if is_rejected && !head.status.is_success() {
        return HeadVerdict::AttemptFailed(AttemptFailure::TargetRefused);
    }
    let is_defined = (200..600).contains(&head.status.as_u16());
    if !is_defined {
        return HeadVerdict::AttemptFailed(AttemptFailure::AnswerIncomplete);
    }
    let is_proven = head.sealed && head.same_attempt == Some(true) && !head.encoded;
    if head.status.is_success() && !is_proven {
        return HeadVerdict::AttemptFailed(AttemptFailure::CrossedAnswer);
    }
    match head.status.is_server_error() {
        true => HeadVerdict::TargetError,
        false => HeadVerdict::Answer,
    }
}

/// Returns whether a reason phrase or a header value contains a status line of HTTP/1, such as `HTTP/1.1 200`.
#[must_use]
pub fn holds_status_line(text: &[u8]) -> bool {
    let is_status_line = |line: &[u8]| {
        let is_version = line.starts_with(b"HTTP/1.") && line[7].is_ascii_digit();
        is_version && line[8] == b' ' && line[9..].iter().all(u8::is_ascii_digit)
    };
    text.windows(b"HTTP/1.1 200".len()).any(is_status_line)
}

/// Returns whether callers take a status for the promise that the request has not run and never will.
#[must_use]
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
