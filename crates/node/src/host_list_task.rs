//! The platform's host list: seeds, confirmation of membership, and leaving marks.

use std::sync::Arc;

use lw_plat::{HostEntry, HostList, HostState, ReconnectBackoff};

use crate::core::Core;

/// How often the host list is read; a leaving mark must be in force 3 s after it reached the host.
const LIST_MS: u64 = 3_000;

/// How long one call may take.
const CALL_MS: u64 = 5_000;

/// How many hosts of other regions are kept as seeds.
const REGION_SEEDS: usize = 32;

/// Reads the host list until the node ends.
pub(crate) async fn read_host_list(core: Arc<Core>, list: HostList) {
    let mut reconnect = ReconnectBackoff::default();
    loop {
        let wait_ms = match core.clock.limit(CALL_MS, list.list()).await {
            Some(Ok(hosts)) => {
                reconnect.reset();
                core.take_host_list(hosts.into());
                core.jittered(LIST_MS)
            }
            Some(Err(_)) | None => {
                if reconnect.failures() == 0 {
                    log::warn!("node: the host list cannot be read");
                }
                LIST_MS / 2 + reconnect.next_delay_ms(&mut *core.rng.lock())
            }
        };
        core.clock.sleep(wait_ms).await;
    }
}

impl Core {
    fn take_host_list(&self, hosts: Arc<[HostEntry]>) {
        let fleet = self.router.view().fleet().clone();
        // The list may name target hosts too; they take no part in membership.
        let peers = || {
            let gateways = hosts.iter().filter(|entry| !entry.peer_address.is_empty());
            gateways.filter(|entry| fleet.targets.key(&entry.host).is_none())
        };
        let own: Vec<(Arc<str>, Arc<str>)> = peers()
            .filter(|entry| *entry.region == *self.identity.region)
            .map(|entry| {
                (
                    entry.host.as_str().into(),
                    entry.peer_address.as_str().into(),
                )
            })
            .collect();
        let others = peers().filter(|entry| *entry.region != *self.identity.region);
        let others = others.map(|entry| Arc::from(entry.peer_address.as_str()));
        let mut region_seeds = self.region_seeds.clone();
        region_seeds.extend(others.take(REGION_SEEDS));
        {
            let mut members = self.members.lock();
            // The list is the newest source of seeds; those of the settings stay as a fallback.
            members.set_seeds(self.seeds.clone());
            members.on_host_list(&own);
            members.set_region_seeds(region_seeds);
        }
        *self.listed.lock() = hosts;
        self.mark_targets();
    }

    /// Passes the leaving marks of targets to the router.
    pub(crate) fn mark_targets(&self) {
        let listed = self.listed.lock().clone();
        let view = self.router.view();
        let now = self.clock.mono();
        let targets = &view.fleet().targets;
        for entry in listed.iter() {
            if let Some(target) = targets.key(&entry.host) {
                view.set_leaving(now, target, entry.state == HostState::Leaving);
            }
        }
    }
}
