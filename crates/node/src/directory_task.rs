//! Registration in the directory, and the hosts of other regions.

use std::sync::Arc;

use lw_plat::{Directory, HostEntry, HostState, PlatformError, ReconnectBackoff};

use crate::core::Core;

/// How often the registration is renewed: 380 hosts make 25 calls/s.
const RENEW_MS: u64 = 15_000;

/// How soon a host that is not ready yet looks again.
const READY_MS: u64 = 200;

/// How often the regions that were asked for are read.
const REGIONS_MS: u64 = 15_000;

/// How soon a region that was not asked for before is read.
const NEW_REGION_MS: u64 = 500;

/// How long one call may take.
const CALL_MS: u64 = 5_000;

/// Registers the host once it is ready, and renews the registration until the node ends.
pub(crate) async fn register(core: Arc<Core>, directory: Directory) {
    let mut reconnect = ReconnectBackoff::default();
    loop {
        if !core.is_ready() {
            core.clock.sleep(READY_MS).await;
            continue;
        }
        let wait_ms = match core.register_once(&directory).await {
            Ok(()) => {
                reconnect.reset();
                core.jittered(RENEW_MS)
            }
            Err(error) => {
                if reconnect.failures() == 0 {
                    log::warn!("node: the directory took no registration: {error}");
                }
                READY_MS + reconnect.next_delay_ms(&mut *core.rng.lock())
            }
        };
        core.clock.sleep(wait_ms).await;
    }
}

impl Core {
    async fn register_once(&self, directory: &Directory) -> Result<(), PlatformError> {
        let _turn = self.directory_turn.lock().await;
        if self.is_leaving() {
            return Ok(());
        }
        let put = directory.put(self.directory_entry());
        self.clock
            .limit(CALL_MS, put)
            .await
            .unwrap_or(Err(PlatformError::ReplyLost))
    }

    fn directory_entry(&self) -> HostEntry {
        HostEntry {
            host: self.identity.host.to_string(),
            region: self.identity.region.to_string(),
            zone: self.identity.zone.to_string(),
            caller_address: self.contact.caller.clone().unwrap_or_default(),
            peer_address: self.contact.text().to_string(),
            state: HostState::Live,
        }
    }

    /// Removes the host from the directory, with a few tries.
    pub(crate) async fn unregister(&self) {
        let Some(directory) = &self.directory else {
            return;
        };
        let _turn = self.directory_turn.lock().await;
        for _ in 0..3 {
            let remove = directory.remove(&self.identity.host);
            match self.clock.limit(CALL_MS, remove).await {
                Some(Ok(())) => return,
                Some(Err(error)) => log::warn!("node: the directory entry stays: {error}"),
                None => log::warn!("node: the directory entry stays: no reply"),
            }
            self.clock.sleep(READY_MS).await;
        }
    }
}

/// Reads the hosts of the regions that were asked for.
pub(crate) async fn read_regions(core: Arc<Core>, directory: Directory) {
    let mut known: Vec<Arc<str>> = Vec::new();
    let mut due_at = core.clock.mono();
    loop {
        let now = core.clock.mono();
        let asked = core.directory_view.lock().asked(now);
        let due = now >= due_at;
        let wanted = asked.iter().filter(|region| due || !known.contains(region));
        for region in wanted {
            let list = core.clock.limit(CALL_MS, directory.list(region)).await;
            // Without a reply the last known hosts stay.
            if let Some(Ok(hosts)) = list {
                core.directory_view.lock().set(region, hosts);
            }
        }
        known = asked;
        if due {
            due_at = now.plus_ms(core.jittered(REGIONS_MS));
        }
        core.clock.sleep(NEW_REGION_MS).await;
    }
}
