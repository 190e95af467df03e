//! Reads the platform's host list, which provides seeds, confirms members and marks leaving hosts.

use std::sync::Arc;

use lw_plat::{HostEntry, HostList, HostState, ReconnectBackoff};

use crate::core::Core;

/// The period at which the host list is read; a leaving mark must be in force within 3 s.
const READ_PERIOD_MS: u64 = 3_000;

/// The timeout of one read of the host list.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// The maximum number of listed hosts of other regions that serve as seeds.
const MAX_LISTED_REGION_SEEDS: usize = 32;

/// Reads the host list until the node ends.
pub(crate) async fn read_host_list(core: Arc<Core>, list: HostList) {
    let mut reconnect = ReconnectBackoff::default();
    loop {
        let wait_ms = match core.clock.timeout(CALL_TIMEOUT_MS, list.list()).await {
            Some(Ok(hosts)) => {
                reconnect.reset();
                core.apply_host_list(hosts.into());
                core.jittered(READ_PERIOD_MS)
            }
            Some(Err(_)) | None => {
                if reconnect.failures() == 0 {
                    log::warn!("node: the host list cannot be read");
                }
                READ_PERIOD_MS / 2 + reconnect.next_delay_ms(&mut *core.rng.lock())
            }
        };
        core.clock.sleep(wait_ms).await;
    }
}

impl Core {
    fn apply_host_list(&self, hosts: Arc<[HostEntry]>) {
        let fleet = self.router.view().fleet().clone();
        // The list may contain target hosts too, which are not members.
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
        region_seeds.extend(others.take(MAX_LISTED_REGION_SEEDS));
        {
            let mut members = self.members.lock();
            // The list is the newest source of seeds; those from the settings remain as a fallback.
            members.set_seeds(self.seeds.clone());
            members.on_host_list(&own);
            members.set_region_seeds(region_seeds);
        }
        *self.last_host_list.lock() = hosts;
        self.apply_leaving_marks();
    }

    /// Applies the leaving marks of the host list to the targets of the router.
    pub(crate) fn apply_leaving_marks(&self) {
        let listed = self.last_host_list.lock().clone();
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
