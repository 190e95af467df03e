//! The state of a pull from a peer.

use lw_base::MonoMs;

use crate::document_assembly::DocumentAssembly;

/// The time after which a pull without a reply is retried; a round trip between regions takes some tens of
/// milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 700;
const MAX_RETRIES: u32 = 3;

/// The pull in progress; a host has at most one.
#[derive(Debug)]
pub(crate) struct Pull {
    pub(crate) peer: String,
    pub(crate) assembly: Option<DocumentAssembly>,
    requested_at: MonoMs,
    retries: u32,
}

/// The result of a timeout check.
pub(crate) enum PullTimeout {
    Pending,
    Retry,
    GiveUp,
}

impl Pull {
    pub(crate) fn new(peer: &str, now: MonoMs) -> Self {
        Self {
            peer: peer.to_owned(),
            assembly: None,
            requested_at: now,
            retries: 0,
        }
    }

    /// Restarts the timeout for the next request.
    pub(crate) fn record_progress(&mut self, now: MonoMs) {
        self.requested_at = now;
        self.retries = 0;
    }

    /// Checks the timeout, and counts a retry when it returns [`PullTimeout::Retry`].
    pub(crate) fn check_timeout(&mut self, now: MonoMs) -> PullTimeout {
        if now.since_ms(self.requested_at) < RESPONSE_TIMEOUT_MS {
            return PullTimeout::Pending;
        }
        if self.retries == MAX_RETRIES {
            return PullTimeout::GiveUp;
        }
        self.retries += 1;
        self.requested_at = now;
        PullTimeout::Retry
    }
}
