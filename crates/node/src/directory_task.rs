//! Registers the host in the directory, and reads the hosts of other regions from it.

use std::sync::Arc;

use lw_plat::{Directory, HostEntry, HostState, PlatformError, ReconnectBackoff};

use crate::core::Core;

/// The period of registration renewals; 380 hosts make 25 calls/s.
const RENEWAL_PERIOD_MS: u64 = 15_000;

/// The wait before the next check of readiness, and the least wait after a failed call.
const RETRY_MS: u64 = 200;

/// The period at which the hosts of requested regions are read.
const REGION_READ_PERIOD_MS: u64 = 15_000;

/// The period of checks for newly requested regions, which are read at once.
const NEW_REGION_CHECK_MS: u64 = 500;

/// The timeout of one call to the directory.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Registers the host once it is ready, and renews the registration until the node ends.
pub(crate) async fn register(core: Arc<Core>, directory: Directory) {
    let mut reconnect = ReconnectBackoff::default();
    loop {
        if !core.is_ready() {
            core.clock.sleep(RETRY_MS).await;
            continue;
        }
        let wait_ms = match core.register_once(&directory).await {
            Ok(()) => {
                reconnect.reset();
                core.jittered(RENEWAL_PERIOD_MS)
            }
            Err(error) => {
                if reconnect.failures() == 0 {
                    log::warn!("node: registration in the directory failed: {error}");
                }
                RETRY_MS + reconnect.next_delay_ms(&mut *core.rng.lock())
            }
        };
        core.clock.sleep(wait_ms).await;
    }
}

impl Core {
    async fn register_once(&self, directory: &Directory) -> Result<(), PlatformError> {
        let _guard = self.directory_lock.lock().await;
        if self.is_leaving() {
            return Ok(());
        }
        let put = directory.put(self.directory_entry());
        self.clock
            .timeout(CALL_TIMEOUT_MS, put)
            .await
            .unwrap_or(Err(PlatformError::ReplyLost))
    }

    fn directory_entry(&self) -> HostEntry {
        HostEntry {
            host: self.identity.host.to_string(),
            region: self.identity.region.to_string(),
            zone: self.identity.zone.to_string(),
            caller_address: self.own_addresses.caller.clone().unwrap_or_default(),
            peer_address: self.own_addresses.encode().to_string(),
            state: HostState::Live,
        }
    }

    /// Removes the host from the directory, in up to 3 attempts.
    pub(crate) async fn unregister(&self) {
        let Some(directory) = &self.directory else {
            return;
        };
        let _guard = self.directory_lock.lock().await;
        for _ in 0..3 {
            let remove = directory.remove(&self.identity.host);
            match self.clock.timeout(CALL_TIMEOUT_MS, remove).await {
                Some(Ok(())) => return,
                Some(Err(error)) => log::warn!("node: removal from the directory failed: {error}"),
                None => log::warn!("node: removal from the directory failed: no reply"),
            }
            self.clock.sleep(RETRY_MS).await;
        }
    }
}

/// Reads the hosts of the requested regions until the node ends.
pub(crate) async fn read_regions(core: Arc<Core>, directory: Directory) {
    let mut previously_requested: Vec<Arc<str>> = Vec::new();
    let mut due_at = core.clock.mono();
    loop {
        let now = core.clock.mono();
        let requested = core.region_hosts.lock().requested(now);
        let due = now >= due_at;
        let wanted = requested
            .iter()
            .filter(|region| due || !previously_requested.contains(region));
        for region in wanted {
            let list = core
                .clock
                .timeout(CALL_TIMEOUT_MS, directory.list(region))
                .await;
            // Without a reply the last known hosts remain in the cache.
            if let Some(Ok(hosts)) = list {
                core.region_hosts.lock().set(region, hosts);
            }
        }
        previously_requested = requested;
        if due {
            due_at = now.plus_ms(core.jittered(REGION_READ_PERIOD_MS));
        }
        core.clock.sleep(NEW_REGION_CHECK_MS).await;
    }
}
