//! A running placement.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio_util::task::AbortOnDropHandle;

use crate::placement::shared::Shared;
use crate::placement::status::PlacementStatus;

/// How long a leaving holder has to close its lease.
const CLOSE_MS: u64 = 1_000;

/// A running placement. Dropping it ends it at once, and its lease lapses.
pub struct Placement {
    pub(crate) shared: Arc<Shared>,
    pub(crate) deciding: AbortOnDropHandle<()>,
    pub(crate) _reading: AbortOnDropHandle<()>,
    pub(crate) _leasing: AbortOnDropHandle<()>,
}

impl Placement {
    /// Returns counters and the fencing number.
    #[must_use]
    pub fn status(&self) -> PlacementStatus {
        let shared = &self.shared;
        let held = shared.lease.authority(shared.core.clock.mono());
        PlacementStatus {
            epoch: held.map(|held| held.epoch),
            queued_commands: shared.queued.load(Ordering::Relaxed),
            sent_commands: shared.sent.load(Ordering::Relaxed),
            failed_state_reads: shared.reader.failed.load(Ordering::Relaxed),
        }
    }

    /// Stops deciding and closes the lease, so that another host takes over without waiting for it to lapse.
    pub async fn leave(self) {
        self.deciding.abort();
        self.shared.lease.set_wanted(false);
        self.shared.core.clock.sleep(CLOSE_MS).await;
    }
}
