//! Decides whether a request is sent to another region.

use std::sync::Arc;

use lw_base::prelude::*;

use crate::choose::PREFILL_WEIGHT;

/// The network time to another region and back and the processing time of the second host, in milliseconds.
const REGION_ROUND_TRIP_MS: f64 = 130.0;
/// Another region is chosen only when it costs less than this fraction of the local cost, so that small differences
/// move no requests.
const MAX_COST_RATIO: f64 = 0.6;
/// Up to this local cost in milliseconds, a request leaves the region only for the region of its prefix owner.
const MIN_LOCAL_COST_MS: f64 = 250.0;
/// Heartbeats of a region do not yet include requests that were sent there within this time.
const HEARTBEAT_DELAY_MS: u64 = 900;

/// The capacity of another region for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionCandidate {
    /// The region.
    pub region: Arc<str>,
    /// The time that a request waits there, in milliseconds.
    pub wait_ms: f64,
    /// The number of targets that accept requests there.
    pub targets: u32,
    /// There are free slots for any request; without them, the region accepts only requests whose prefix owner is
    /// there.
    pub has_free_slots: bool,
    /// Requests that this host has sent there and that the heartbeats do not include yet.
    pub unreported_requests: u32,
}

/// The input of [`choose_region`].
#[derive(Clone, Debug)]
pub struct SpillQuery {
    /// The cost in the region of the host, in milliseconds; `None` when no target there accepts the request.
    pub local_cost_ms: Option<f64>,
    /// The prefill time of the whole prompt, in milliseconds: other regions are assumed to have nothing cached.
    pub prefill_ms: f64,
    /// The region of the prefix owner, and the prefill time of the rest of the prompt there, in milliseconds.
    pub prefix_owner: Option<(Arc<str>, f64)>,
    /// The regions that may serve the request.
    pub candidates: Vec<RegionCandidate>,
}

/// Chooses another region, or returns `None` when the request stays in the region of the host.
#[must_use]
pub fn choose_region(query: &SpillQuery) -> Option<&RegionCandidate> {
    let prefill = |candidate: &RegionCandidate| match &query.prefix_owner {
        Some((region, prefill_ms)) if *region == candidate.region => *prefill_ms,
        _ => query.prefill_ms,
    };
    let expected = |candidate: &RegionCandidate| {
        let queued = f64::from(candidate.unreported_requests) * prefill(candidate)
            / f64::from(candidate.targets.max(1));
        candidate.wait_ms + REGION_ROUND_TRIP_MS + PREFILL_WEIGHT * prefill(candidate) + queued
    };
    let candidates = query
        .candidates
        .iter()
        .filter(|candidate| candidate.targets > 0);
    let best = candidates.min_by(|a, b| expected(a).total_cmp(&expected(b)))?;
    let is_owner = query
        .prefix_owner
        .as_ref()
        .is_some_and(|(region, _)| *region == best.region);
    let Some(local_cost_ms) = query.local_cost_ms else {
        return Some(best);
    };
    let is_cheaper = match is_owner {
        true => expected(best) < local_cost_ms,
        false => {
            local_cost_ms > MIN_LOCAL_COST_MS && expected(best) < local_cost_ms * MAX_COST_RATIO
        }
    };
    is_cheaper.then_some(best)
}

/// The requests that this host has recently sent to other regions, with the hashes of their services.
#[derive(Debug, Default)]
pub(crate) struct RecentSpills {
    sent: Vec<(MonoMs, Arc<str>, u32)>,
}

impl RecentSpills {
    pub(crate) fn record(&mut self, now: MonoMs, region: Arc<str>, service: u32) {
        self.sent
            .retain(|(at, ..)| now.since_ms(*at) < HEARTBEAT_DELAY_MS);
        self.sent.push((now, region, service));
    }

    pub(crate) fn count(&self, now: MonoMs, region: &str, service: u32) -> u32 {
        let recent = self.sent.iter().filter(|(at, sent_to, sent_service)| {
            now.since_ms(*at) < HEARTBEAT_DELAY_MS
                && **sent_to == *region
                && *sent_service == service
        });
        recent.count() as u32
    }
}
