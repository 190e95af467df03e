//! Decisions on non-idempotent requests.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_idem::Ending;

use crate::run_permit::RunPermit;

/// The decision on a non-idempotent request.
#[derive(Debug)]
pub enum SubmitDecision {
    /// Send the request to a target once.
    Run(RunPermit),
    /// Answer with the kept response of an earlier attempt.
    Replay(Ending),
    /// Answer with an error.
    Refuse {
        /// The error kind.
        kind: ErrorKind,
        /// The outcome to tell; it may be more certain than the table of error kinds says.
        outcome: Outcome,
    },
    /// Send the request to the owner of its key.
    Forward {
        /// The name of the owner.
        host: Arc<str>,
        /// The address of the owner that takes forwarded requests.
        address: String,
    },
}
