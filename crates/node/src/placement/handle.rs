//! The handle of a running placement.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio_util::task::AbortOnDropHandle;

use crate::placement::context::PlacementContext;
use crate::placement::status::PlacementStatus;

/// The time that a leaving lease holder has to close its lease.
const LEASE_CLOSE_WAIT_MS: u64 = 1_000;

/// The handle of a running placement. Dropping it ends the placement at once, and its lease expires.
pub struct Placement {
    pub(crate) context: Arc<PlacementContext>,
    pub(crate) controller_task: AbortOnDropHandle<()>,
    pub(crate) _read_task: AbortOnDropHandle<()>,
    pub(crate) _lease_task: AbortOnDropHandle<()>,
}

impl Placement {
    /// Returns counters and the epoch of the lease.
    #[must_use]
    pub fn status(&self) -> PlacementStatus {
        let context = &self.context;
        let grant = context.lease.current_grant(context.core.clock.mono());
        PlacementStatus {
            epoch: grant.map(|grant| grant.epoch),
            queued_commands: context.queued_commands.load(Ordering::Relaxed),
            sent_commands: context.sent_commands.load(Ordering::Relaxed),
            failed_state_reads: context.reader.failed_reads.load(Ordering::Relaxed),
        }
    }

    /// Stops the controller and closes the lease, so that another host takes over without waiting for it to expire.
    pub async fn leave(self) {
        self.controller_task.abort();
        self.context.lease.set_wanted(false);
        self.context.core.clock.sleep(LEASE_CLOSE_WAIT_MS).await;
    }
}
