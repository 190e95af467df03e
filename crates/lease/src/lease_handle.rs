//! The shared handle to a lease.

use std::sync::Arc;

use lw_base::MonoMs;
use parking_lot::Mutex;

use crate::authority::Authority;

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
    authority: Option<Authority>,
}

impl LeaseHandle {
    /// Returns the authority if the host may act at `now`; read the clock directly before each action.
    #[must_use]
    pub fn authority(&self, now: MonoMs) -> Option<Authority> {
        let authority = self.state.lock().authority;
        authority.filter(|authority| authority.may_act(now))
    }

    /// Requests or releases the lease; a release revokes the authority at once.
    pub fn set_wanted(&self, wanted: bool) {
        let mut state = self.state.lock();
        state.wanted = wanted;
        if !wanted {
            state.authority = None;
        }
    }

    /// Releases a lease whose fencing number is not above `epoch`, so that it is acquired again with a higher one.
    pub fn require_epoch_above(&self, epoch: u64) {
        let mut state = self.state.lock();
        state.epoch_lower_bound = state.epoch_lower_bound.max(epoch);
        if state.authority.is_some_and(|held| held.epoch <= epoch) {
            state.authority = None;
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

    /// Replaces the authority, and returns whether its epoch changed.
    pub(crate) fn publish(&self, authority: Option<Authority>) -> bool {
        let mut state = self.state.lock();
        let epoch_lower_bound = state.epoch_lower_bound;
        let authority = authority.filter(|held| state.wanted && held.epoch > epoch_lower_bound);
        let epoch = |authority: Option<Authority>| authority.map(|held| held.epoch);
        let changed = epoch(state.authority) != epoch(authority);
        state.authority = authority;
        changed
    }
}
