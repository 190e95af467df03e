//! What the tasks of placement share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};

use lw_base::MonoMs;
use lw_lease::LeaseHandle;
use lw_place::LeaseTerm;
use lw_plat::EngineControl;

use crate::core::Core;
use crate::placement::engine_reader::EngineReader;
use crate::placement::options::PlacementOptions;

/// What the tasks of placement share.
pub(crate) struct Shared {
    pub(crate) core: Arc<Core>,
    pub(crate) engines: EngineControl,
    pub(crate) options: PlacementOptions,
    /// The scope of the lease, which names the region.
    pub(crate) scope: String,
    /// Identifies this start of the process.
    pub(crate) holder: String,
    pub(crate) lease: LeaseHandle,
    pub(crate) reader: EngineReader,
    pub(crate) queued: AtomicUsize,
    pub(crate) sent: AtomicU64,
}

impl Shared {
    /// Returns the tenure when this host may act at `now`.
    pub(crate) fn tenure(&self, now: MonoMs) -> Option<LeaseTerm> {
        let held = self.lease.authority(now)?;
        Some(LeaseTerm {
            epoch: held.epoch,
            acquired_at: held.acquired_at,
        })
    }

    /// Returns true for the first relay, which takes a free lease at once; the other one waits for its turn.
    pub(crate) fn is_first(&self) -> bool {
        let core = &self.core;
        core.members.lock().relays().first() == Some(&core.identity.host)
    }

    /// Only relays ask for the lease, so that not every host of the fleet keeps a watch on it. A holder that is no relay
    /// any more keeps it: a change of the holder stops commands for seconds.
    pub(crate) fn wants_lease(&self) -> bool {
        let core = &self.core;
        if core.is_leaving() || core.is_stopped() || !core.is_ready() {
            return false;
        }
        let is_relay = core.members.lock().relays().contains(&core.identity.host);
        is_relay || self.lease.authority(core.clock.mono()).is_some()
    }
}
