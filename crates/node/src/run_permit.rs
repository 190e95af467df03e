//! The permit to send a non-idempotent request once.

use std::fmt;
use std::sync::Arc;

use lw_idem::{ClaimId, Ending, RecordKey};

use crate::core::Core;

/// The permit to send a non-idempotent request to a target once.
///
/// A permit that the request received and that is dropped without [`RunPermit::end`] reports [`Ending::Unknown`].
#[must_use = "the key stays claimed until the permit ends"]
pub struct RunPermit {
    core: Arc<Core>,
    key: RecordKey,
    claim: ClaimId,
    /// True once the request has received the permit. A permit that is dropped before that reports [`Ending::NotRun`].
    pub(crate) received: bool,
    ended: bool,
}

impl RunPermit {
    pub(crate) fn new(core: Arc<Core>, key: RecordKey, claim: ClaimId) -> Self {
        Self {
            core,
            key,
            claim,
            received: false,
            ended: false,
        }
    }

    /// Reports how the request ended.
    pub fn end(mut self, ending: &Ending) {
        self.report(ending);
    }

    fn report(&mut self, ending: &Ending) {
        if !std::mem::replace(&mut self.ended, true) {
            self.core.end_run(self.key, self.claim, ending);
        }
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        let ending = if self.received {
            Ending::Unknown
        } else {
            Ending::NotRun
        };
        self.report(&ending);
    }
}

impl fmt::Debug for RunPermit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RunPermit")
            .field("key", &self.key)
            .field("claim", &self.claim)
            .finish_non_exhaustive()
    }
}
