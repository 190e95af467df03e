//! The final outcome of a request that a host rejects before the owner of its idempotency key has decided on it.

use http::HeaderMap;
use lw_base::prelude::*;
use lw_flow::FinalOutcome;

use crate::header_names::{CALLER_ATTEMPT, IDEMPOTENCY_KEY};
use crate::headers::header_text;

/// Returns the final outcome of a request that was rejected before it was accepted.
///
/// The caller may have sent the same request to another host before, and that attempt may have run. The outcome is "not
/// run" only for a request without a key, a request that the caller marks as its first attempt, or an error that every
/// host would have returned.
pub(crate) fn final_outcome_of_rejection(kind: ErrorKind, headers: &HeaderMap) -> FinalOutcome {
    let final_outcome = FinalOutcome::rejected(kind);
    let first_attempt = header_text(headers, &CALLER_ATTEMPT) == Some("1");
    let may_be_retry = headers.contains_key(IDEMPOTENCY_KEY) && !first_attempt;
    if may_be_retry && final_outcome.outcome == Outcome::NotRun && !is_refused_everywhere(kind) {
        return FinalOutcome {
            outcome: Outcome::Unknown,
            ..final_outcome
        };
    }
    final_outcome
}

/// Returns true for an error that every host returns for the request at any time, so that no earlier attempt can have
/// run.
fn is_refused_everywhere(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::BadRequest
            | ErrorKind::HeadersTooLarge
            | ErrorKind::BodyTooLarge
            | ErrorKind::KeyMissing
            | ErrorKind::LoopDetected
    )
}
