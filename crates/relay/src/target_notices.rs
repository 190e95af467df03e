//! What targets say in their answers about further requests: that they are leaving, or that they want a pause.

use http::{HeaderMap, StatusCode};
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::headers::header_text;
use crate::host::Host;
use crate::retry_after::parse_retry_after_ms;
use crate::target::Target;

/// The value of the header by which a target says that it is leaving.
const IS_LEAVING: &str = "1";
/// The maximum number of leaving targets in one heartbeat, which bounds its datagram. With more, each heartbeat contains
/// a random selection.
const MAX_LEAVING_PER_HEARTBEAT: usize = 32;

impl Host {
    /// Records what the head of an answer says about further requests to its target.
    pub(crate) fn record_target_notices(
        &self,
        target: &Target,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        let is_leaving =
            header_text(headers, &self.names.leaving).is_some_and(|text| text.trim() == IS_LEAVING);
        if is_leaving {
            self.record_leaving(target.hash);
        }
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        let Some(delay) = headers.get(&self.names.retry_after) else {
            return;
        };
        let delay = String::from_utf8_lossy(delay.as_bytes());
        let pause_ms = match parse_retry_after_ms(&delay) {
            Ok(pause_ms) => pause_ms,
            Err(error) => {
                self.metrics
                    .target_notices
                    .with_label_values(&["invalid pause"])
                    .inc();
                log::warn!(target_id = &*target.id, value = &*delay, reason = error.to_string().as_str(); "ignored the pause that a target asks for");
                return;
            }
        };
        let now = self.clock.now();
        let draw = rand::rng().random_range(0.0..1.0);
        let mut load = target.load.borrow_mut();
        if load.health.record_pause(now, pause_ms, draw) {
            self.metrics
                .target_notices
                .with_label_values(&["pause"])
                .inc();
            log::info!(target_id = &*target.id, pause_ms = pause_ms; "a target has asked for a pause");
        }
    }

    /// Records that the target with this hash has said that it is leaving, and tells the hosts of the region.
    pub(crate) fn record_leaving(&self, hash: u32) {
        let plan = self.plan();
        // The plan of this host may not contain the target yet, or no longer.
        let Some(target) = plan.target_with_hash(hash) else {
            return;
        };
        if !target.load.borrow_mut().health.record_leaving() {
            return;
        }
        self.metrics
            .target_notices
            .with_label_values(&["leaving"])
            .inc();
        log::info!(target_id = &*target.id; "a target has said that it is leaving");
        self.heartbeat_due.notify_one();
        // Waiting requests choose among the other targets.
        self.capacity_changed.notify_waiters();
    }

    /// Returns the hashes of the targets of the region that have said that they are leaving.
    pub(crate) fn leaving_targets(&self) -> Vec<u32> {
        let plan = self.plan();
        let targets = plan.targets.iter().flatten();
        let leaving = targets.filter(|target| {
            target.region == self.settings.region && target.load.borrow().health.is_leaving()
        });
        let hashes = leaving.map(|target| target.hash);
        hashes.choose_multiple(&mut rand::rng(), MAX_LEAVING_PER_HEARTBEAT)
    }
}
