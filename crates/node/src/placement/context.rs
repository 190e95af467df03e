//! The state that the tasks of placement share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};

use lw_base::MonoMs;
use lw_lease::LeaseHandle;
use lw_place::LeaseTerm;
use lw_plat::EngineControl;

use crate::core::Core;
use crate::placement::engine_state_reader::EngineStateReader;
use crate::placement::options::PlacementOptions;

/// The state that the tasks of placement share.
pub(crate) struct PlacementContext {
    pub(crate) core: Arc<Core>,
    pub(crate) engines: EngineControl,
    pub(crate) options: PlacementOptions,
    /// The scope of the lease, which contains the name of the region.
    pub(crate) scope: String,
    /// The lease holder: the host name with the incarnation of this process.
    pub(crate) holder: String,
    pub(crate) lease: LeaseHandle,
    pub(crate) reader: EngineStateReader,
    pub(crate) queued_commands: AtomicUsize,
    pub(crate) sent_commands: AtomicU64,
}

impl PlacementContext {
    /// Returns the lease term if this host holds the lease and may act at `now`.
    pub(crate) fn lease_term(&self, now: MonoMs) -> Option<LeaseTerm> {
        let grant = self.lease.current_grant(now)?;
        Some(LeaseTerm {
            epoch: grant.epoch,
            acquired_at: grant.acquired_at,
        })
    }

    /// Returns true on the first relay, which takes a free lease at once; the other relay waits first.
    pub(crate) fn is_first_relay(&self) -> bool {
        let core = &self.core;
        core.members.lock().relays().first() == Some(&core.identity.host)
    }

    /// Returns true if this host should request or keep the lease.
    ///
    /// Only relays request it, so that not every host of the region watches it. A holder that is no longer a relay
    /// keeps it, because a change of the holder stops commands for seconds.
    pub(crate) fn wants_lease(&self) -> bool {
        let core = &self.core;
        if core.is_leaving() || core.is_stopped() || !core.is_ready() {
            return false;
        }
        let is_relay = core.members.lock().relays().contains(&core.identity.host);
        is_relay || self.lease.current_grant(core.clock.mono()).is_some()
    }
}
