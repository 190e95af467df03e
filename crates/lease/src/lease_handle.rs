//! The shared handle to a lease.

use std::sync::Arc;

use lw_base::MonoMs;
use parking_lot::Mutex;

use crate::lease_grant::LeaseGrant;

/// A handle to a lease for the code that acts under it; clones share one state.
#[derive(Clone, Debug, Default)]
pub struct LeaseHandle {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    wanted: bool,
    epoch_lower_bound: u64,
    not_preferred: bool,
    grant: Option<LeaseGrant>,
}

impl LeaseHandle {
    /// Returns the current grant if the host may act at `now`; read the clock directly before each action.
    #[must_use]
    pub fn current_grant(&self, now: MonoMs) -> Option<LeaseGrant> {
        let grant = self.state.lock().grant;
        grant.filter(|grant| grant.may_act(now))
    }

    /// Requests or releases the lease; a release ends the current grant at once.
    pub fn set_wanted(&self, wanted: bool) {
        let mut state = self.state.lock();
        state.wanted = wanted;
        if !wanted {
            state.grant = None;
        }
    }

    /// Releases a lease whose fencing number is not above `epoch`, so that it is acquired again with a higher one.
    pub fn require_epoch_above(&self, epoch: u64) {
        let mut state = self.state.lock();
        state.epoch_lower_bound = state.epoch_lower_bound.max(epoch);
        if state.grant.is_some_and(|grant| grant.epoch <= epoch) {
            state.grant = None;
        }
    }

    /// Sets whether this host claims a free lease without a delay; true by default.
    pub fn set_preferred(&self, preferred: bool) {
        self.state.lock().not_preferred = !preferred;
    }

    pub(crate) fn is_preferred(&self) -> bool {
        !self.state.lock().not_preferred
    }

    /// Returns the epoch that each further fencing number exceeds.
    pub(crate) fn epoch_lower_bound(&self) -> u64 {
        self.state.lock().epoch_lower_bound
    }

    /// Returns whether the lease is wanted.
    #[must_use]
    pub fn wanted(&self) -> bool {
        self.state.lock().wanted
    }

    /// Replaces the grant, and returns whether its epoch changed.
    pub(crate) fn publish(&self, grant: Option<LeaseGrant>) -> bool {
        let mut state = self.state.lock();
        let epoch_lower_bound = state.epoch_lower_bound;
        let grant = grant.filter(|grant| state.wanted && grant.epoch > epoch_lower_bound);
        let epoch = |grant: Option<LeaseGrant>| grant.map(|grant| grant.epoch);
        let changed = epoch(state.grant) != epoch(grant);
        state.grant = grant;
        changed
    }
}
