//! Packing and removing old parts of the audit on one host of the fleet.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_conf::{RetentionReport, RetentionWorker, with_call_delay};

use crate::core::Core;

const PASS_MS: u64 = 5 * 60 * 1_000;

/// The time between two calls; 5 calls a second are a small part of the 2,000 reads/s of the key-value service.
const CALL_MS: u64 = 200;

/// A region whose summary is older than this has no say; summaries arrive within 15 s.
const REGION_AGE_MS: u64 = 10 * 60 * 1_000;

/// Keeps the audit within its retention time until the node ends.
pub(crate) async fn keep_audit(core: Arc<Core>) {
    let clock = core.clock.clone();
    let kv = with_call_delay(core.kv.clone(), move || {
        let clock = clock.clone();
        async move { clock.sleep(CALL_MS).await }
    });
    let mut keeper = RetentionWorker::default();
    loop {
        core.clock.sleep(core.jittered(PASS_MS)).await;
        if !core.keeps_audit() {
            // Another host changes the chain, so what was read of it is of no use.
            keeper = RetentionWorker::default();
            continue;
        }
        let Some(config) = core.conf.reader().load() else {
            continue;
        };
        let keep = config.document.audit_keep_days;
        match keeper.pass(&kv, core.clock.wall(), keep).await {
            Ok(report) if report == RetentionReport::default() => {}
            Ok(report) => log::info!("node: kept the audit: {report:?}"),
            Err(error) => log::warn!("node: the audit was not packed: {error}"),
        }
    }
}

impl Core {
    /// Returns true on the first relay of the region whose name comes first. Two hosts that both find that they are it
    /// do no harm.
    ///
    /// A host with a wrong clock would remove records too early.
    pub(crate) fn keeps_audit(&self) -> bool {
        let wall = self.clock.wall();
        let members = self.members.lock();
        let is_live = |version: u64| wall.since_ms(WallMs(version)) < REGION_AGE_MS;
        let mut live = members
            .region_summaries()
            .filter(|summary| is_live(summary.version));
        let is_first = live.all(|summary| *self.identity.region <= *summary.region);
        let clock_ok = members.clock_ok(self.clock.mono());
        drop(live);
        drop(members);
        is_first && clock_ok && !self.is_leaving() && self.conf.is_first_relay()
    }
}
