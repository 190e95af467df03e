//! Closes the sockets of hosts that are no longer in use.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_member::MemberState;
use lw_peer::NngNetwork;
use parking_lot::Mutex;

use crate::core::Core;
use crate::host_addresses::nng_address_of;

/// The period of socket cleanups; at the target size some 1,000 hosts a day are replaced.
const CLEANUP_PERIOD_MS: u64 = 60_000;

/// Closes the sockets of hosts that are neither members, seeds nor relays, until the node ends.
pub(crate) async fn close_unused_sockets(
    core: Arc<Core>,
    transport: Arc<Mutex<Option<NngNetwork>>>,
) {
    loop {
        core.clock.sleep(core.jittered(CLEANUP_PERIOD_MS)).await;
        let used = core.used_addresses();
        let used: Vec<&str> = used.iter().map(|address| nng_address_of(address)).collect();
        if let Some(nng) = &*transport.lock() {
            nng.keep_only(&used);
        }
    }
}

impl Core {
    fn used_addresses(&self) -> FastSet<Arc<str>> {
        let members = self.members.lock();
        let present = members
            .members()
            .filter(|update| update.state != MemberState::Dead)
            .map(|update| update.address.clone());
        let relays = members
            .region_summaries()
            .flat_map(|summary| summary.relays.clone());
        let seeds = self.seeds.iter().chain(&self.region_seeds).cloned();
        present.chain(relays).chain(seeds).collect()
    }
}
