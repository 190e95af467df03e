//! Decisions on submitted requests.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_idem::Ending;

use crate::run_permit::RunPermit;

/// The decision on a non-idempotent request.
#[derive(Debug)]
pub enum SubmitDecision {
    /// Send the request to a target once.
    Run(RunPermit),
    /// Answer with the recorded response of an earlier attempt.
    Replay(Ending),
    /// Answer with an error.
    Refuse {
        /// The error kind.
        kind: ErrorKind,
        /// The outcome to report; it may be more certain than the default outcome of the error kind.
        outcome: Outcome,
    },
    /// Forward the request to the owner of its key.
    Forward {
        /// The name of the owner.
        host: Arc<str>,
        /// The owner's address for forwarded requests.
        address: String,
    },
}
