//! The shared view of a lease.

use std::sync::Arc;

use lw_base::MonoMs;
use parking_lot::Mutex;

use crate::authority::Authority;

/// The view of a lease for those that act under it; clones share one state.
#[derive(Clone, Debug, Default)]
pub struct LeaseHandle {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    wanted: bool,
    floor: u64,
    not_first: bool,
    authority: Option<Authority>,
}

impl LeaseHandle {
    /// Returns the authority when the host may act at `now`; read the clock directly before each action.
    #[must_use]
    pub fn authority(&self, now: MonoMs) -> Option<Authority> {
        let authority = self.state.lock().authority;
        authority.filter(|authority| authority.may_act(now))
    }

    /// Asks for the lease, or gives it up; after giving up there is no authority at once.
    pub fn set_wanted(&self, wanted: bool) {
        let mut state = self.state.lock();
        state.wanted = wanted;
        if !wanted {
            state.authority = None;
        }
    }

    /// Gives up an authority whose fencing number is not above `epoch`; the lease is taken again with a higher one.
    pub fn require_epoch_above(&self, epoch: u64) {
        let mut state = self.state.lock();
        state.floor = state.floor.max(epoch);
        if state.authority.is_some_and(|held| held.epoch <= epoch) {
            state.authority = None;
        }
    }

    /// Sets whether this host is the first in rank among the contenders; it is until this says otherwise.
    pub fn set_preferred(&self, first: bool) {
        self.state.lock().not_first = !first;
    }

    pub(crate) fn first(&self) -> bool {
        !self.state.lock().not_first
    }

    /// Returns the number above which the next fencing number lies.
    pub(crate) fn floor(&self) -> u64 {
        self.state.lock().floor
    }

    /// Returns whether the lease is wanted.
    #[must_use]
    pub fn wanted(&self) -> bool {
        self.state.lock().wanted
    }

    /// Replaces the authority, and returns whether its epoch changed.
    pub(crate) fn publish(&self, authority: Option<Authority>) -> bool {
        let mut state = self.state.lock();
        let floor = state.floor;
        let authority = authority.filter(|held| state.wanted && held.epoch > floor);
        let epoch = |authority: Option<Authority>| authority.map(|held| held.epoch);
        let changed = epoch(state.authority) != epoch(authority);
        state.authority = authority;
        changed
    }
}
