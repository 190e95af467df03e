//! Compacts and removes old audit entries, on one host over all regions.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_conf::{RetentionReport, RetentionWorker, with_call_delay};

use crate::core::Core;

const PASS_PERIOD_MS: u64 = 5 * 60 * 1_000;

/// The interval between two calls; 5 calls a second are a small share of the 2,000 reads/s of the key-value service.
const CALL_INTERVAL_MS: u64 = 200;

/// The maximum age of the summary of a region that counts as present; summaries arrive within 15 s.
const MAX_SUMMARY_AGE_MS: u64 = 10 * 60 * 1_000;

/// Applies the retention time of the audit until the node ends.
pub(crate) async fn run_audit_retention(core: Arc<Core>) {
    let clock = core.clock.clone();
    let kv = with_call_delay(core.kv.clone(), move || {
        let clock = clock.clone();
        async move { clock.sleep(CALL_INTERVAL_MS).await }
    });
    let mut worker = RetentionWorker::default();
    loop {
        core.clock.sleep(core.jittered(PASS_PERIOD_MS)).await;
        if !core.runs_audit_retention() {
            // Another host changes the audit chain, so the state read from it is outdated.
            worker = RetentionWorker::default();
            continue;
        }
        let Some(config) = core.conf.reader().load() else {
            continue;
        };
        let keep_days = config.document.audit_keep_days;
        match worker.pass(&kv, core.clock.wall(), keep_days).await {
            Ok(report) if report == RetentionReport::default() => {}
            Ok(report) => log::info!("node: audit retention pass completed: {report:?}"),
            Err(error) => log::warn!("node: audit retention pass failed: {error}"),
        }
    }
}

impl Core {
    /// Returns true on the first relay of the region whose name sorts first among the present regions.
    ///
    /// The selection needs no lock: two hosts that run retention at the same time do no harm.
    ///
    /// Hosts with a wrong wall clock are excluded, because they would remove records too early.
    pub(crate) fn runs_audit_retention(&self) -> bool {
        let wall = self.clock.wall();
        let members = self.members.lock();
        let is_live = |version: u64| wall.since_ms(WallMs(version)) < MAX_SUMMARY_AGE_MS;
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
