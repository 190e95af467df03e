//! What a host may tell about a request with an idempotency key before the owner of the key has decided.

use http::HeaderMap;
use lw_base::prelude::*;
use lw_flow::Ending;

use crate::header_names::{CALLER_ATTEMPT, IDEMPOTENCY_KEY};
use crate::headers::text;

/// Returns the end of a request that was refused before it was accepted.
///
/// The same request may have run in an earlier attempt through another host. Its refusal here says nothing about that,
/// so only a request without a key, or one that the caller marks as its first attempt, is told "not run".
pub(crate) fn refused_ending(kind: ErrorKind, headers: &HeaderMap) -> Ending {
    let ending = Ending::rejected(kind);
    let first_attempt = text(headers, &CALLER_ATTEMPT) == Some("1");
    let may_repeat = headers.contains_key(IDEMPOTENCY_KEY) && !first_attempt;
    if may_repeat && ending.outcome == Outcome::NotRun && !is_refused_everywhere(kind) {
        return Ending {
            outcome: Outcome::Unknown,
            ..ending
        };
    }
    ending
}

/// Returns true for a refusal that every host gives at any time, so that no earlier attempt can have run.
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
