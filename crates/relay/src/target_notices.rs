//! What targets say in their answers about further requests: that they are leaving, that they want a pause, or how many
//! requests they take.

use http::{HeaderMap, StatusCode};
use lw_base::prelude::*;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::decimal::parse_decimal;
use crate::headers::header_text;
use crate::host::Host;
use crate::retry_after::parse_retry_after_ms;
use crate::target::Target;

/// The value of the header by which a target says that it is leaving.
const IS_LEAVING: &str = "1";
/// The maximum number of leaving targets in one heartbeat, which bounds its datagram. With more, each heartbeat contains
/// a random selection.
const MAX_LEAVING_PER_HEARTBEAT: usize = 32;

/// The head of an answer, for what it says about further requests.
pub(crate) struct NoticingHead<'a> {
    pub(crate) status: StatusCode,
    pub(crate) headers: &'a HeaderMap,
    /// When the request was sent.
    pub(crate) sent_at: MonoMs,
    /// The answer comes from the target itself, and not from another process or a proxy at its address.
    pub(crate) is_own: bool,
    /// The target names its limit in such an answer if it has one.
    pub(crate) names_limits: bool,
}

impl Host {
    /// Records what the head of an answer says about further requests to its target.
    pub(crate) fn record_target_notices(&self, target: &Target, head: &NoticingHead<'_>) {
        let leaving = header_text(head.headers, &self.names.leaving);
        if leaving.is_some_and(|text| text.trim() == IS_LEAVING) {
            self.record_leaving(target.hash);
        }
        if head.is_own {
            self.record_limit_notice(target, head);
        }
        if head.status == StatusCode::SERVICE_UNAVAILABLE {
            self.record_pause_notice(target, head.headers);
        }
    }

    fn record_limit_notice(&self, target: &Target, head: &NoticingHead<'_>) {
        let named_per_s = match head.headers.get(&self.names.limit_per_s) {
            None if !head.names_limits => return,
            None => None,
            Some(value) => {
                let text = String::from_utf8_lossy(value.as_bytes());
                match parse_decimal(&text) {
                    Ok(per_s) => Some(per_s),
                    Err(error) => {
                        self.metrics
                            .target_notices
                            .with_label_values(&["invalid limit"])
                            .inc();
                        log::warn!(target_id = &*target.id, value = &*text, reason = error.to_string().as_str(); "ignored the limit that a target names");
                        return;
                    }
                }
            }
        };
        let now = self.clock.now();
        let mut load = target.load.borrow_mut();
        let named = &mut load.limit_share.named;
        if !named.record_answer(self.process_hash, head.sent_at, now, named_per_s) {
            return;
        }
        drop(load);
        self.metrics
            .target_notices
            .with_label_values(&["limit"])
            .inc();
        self.record_limit_change(target, "an answer");
        self.heartbeat_due.notify_one();
    }

    fn record_pause_notice(&self, target: &Target, headers: &HeaderMap) {
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
