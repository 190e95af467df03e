//! Whether a request goes to another region.

use std::sync::Arc;

use lw_base::prelude::*;

use crate::choose::PREFILL_WEIGHT;

/// The way to another region and back, with the work of the second host, in milliseconds.
const AWAY_MS: f64 = 130.0;
/// Another region must cost this part of the own one, so that small differences move nothing.
const CLEARLY_LESS: f64 = 0.6;
/// Up to this cost at home, only a request whose beginning another region keeps goes there, in milliseconds.
const LOCAL_COST_MS: f64 = 250.0;
/// A region's word does not yet count the requests that were sent there within this time.
const WORD_DELAY_MS: u64 = 900;

/// What a region offers for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionCandidate {
    /// The region.
    pub region: Arc<str>,
    /// The time that a request waits there, in milliseconds.
    pub wait_ms: f64,
    /// The targets that take work there.
    pub targets: u32,
    /// There are free places for any request; without them, only a request whose home is there goes there.
    pub has_room: bool,
    /// Requests that this host has sent there and that the word does not count yet.
    pub unreported_requests: u32,
}

/// What the choice of a region depends on.
#[derive(Clone, Debug)]
pub struct SpillQuery {
    /// The cost at home, in milliseconds; `None` when no target at home takes the request.
    pub local_cost_ms: Option<f64>,
    /// The prefill of the whole prompt, in milliseconds: caches of other regions count as cold.
    pub prefill_ms: f64,
    /// The region that keeps the beginning of the prompt, and the prefill of the rest, in milliseconds.
    pub prefix_owner: Option<(Arc<str>, f64)>,
    /// The candidate regions that may serve the request.
    pub candidates: Vec<RegionCandidate>,
}

/// Chooses another region, or `None` for the own one.
#[must_use]
pub fn choose_region(query: &SpillQuery) -> Option<&RegionCandidate> {
    let prefill = |offer: &RegionCandidate| match &query.prefix_owner {
        Some((region, prefill_ms)) if *region == offer.region => *prefill_ms,
        _ => query.prefill_ms,
    };
    let expected = |offer: &RegionCandidate| {
        let queued =
            f64::from(offer.unreported_requests) * prefill(offer) / f64::from(offer.targets.max(1));
        offer.wait_ms + AWAY_MS + PREFILL_WEIGHT * prefill(offer) + queued
    };
    let candidates = query.candidates.iter().filter(|offer| offer.targets > 0);
    let best = candidates.min_by(|a, b| expected(a).total_cmp(&expected(b)))?;
    let is_owner = query
        .prefix_owner
        .as_ref()
        .is_some_and(|(region, _)| *region == best.region);
    let Some(local_cost_ms) = query.local_cost_ms else {
        return Some(best);
    };
    let goes = match is_owner {
        true => expected(best) < local_cost_ms,
        false => local_cost_ms > LOCAL_COST_MS && expected(best) < local_cost_ms * CLEARLY_LESS,
    };
    goes.then_some(best)
}

/// The requests that this host has sent to other regions lately, with the hashes of their services.
#[derive(Debug, Default)]
pub(crate) struct RecentSpills {
    sent: Vec<(MonoMs, Arc<str>, u32)>,
}

impl RecentSpills {
    pub(crate) fn note(&mut self, now: MonoMs, region: Arc<str>, service: u32) {
        self.sent
            .retain(|(at, ..)| now.since_ms(*at) < WORD_DELAY_MS);
        self.sent.push((now, region, service));
    }

    pub(crate) fn count(&self, now: MonoMs, region: &str, service: u32) -> u32 {
        let recent = self.sent.iter().filter(|(at, sent_to, of)| {
            now.since_ms(*at) < WORD_DELAY_MS && **sent_to == *region && *of == service
        });
        recent.count() as u32
    }
}
