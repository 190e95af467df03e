//! Whether a request goes to another region.

use std::sync::Arc;

use lw_base::prelude::*;

/// The way to another region and back, with the work of the second host, in milliseconds.
const AWAY_MS: f64 = 130.0;
/// Another region must promise this part of the local wait, so that small differences move nothing.
const CLEARLY_LESS: f64 = 0.6;
/// Requests wait this long at home before another region is considered, in milliseconds.
const LOCAL_WAIT_MS: f64 = 250.0;
/// A region's word does not yet count the requests that were sent there within this time.
const WORD_DELAY_MS: u64 = 900;

/// What a region offers for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionOffer {
    /// The region.
    pub region: Arc<str>,
    /// The time that a request waits there, in milliseconds.
    pub wait_ms: f64,
    /// The targets that take work there.
    pub targets: u32,
    /// Requests that this host has sent there and that the word does not count yet.
    pub sent_since: u32,
}

/// What the choice of a region depends on.
#[derive(Clone, Debug)]
pub struct SpillQuery {
    /// The expected time at home, in milliseconds; `None` when no target at home takes the request.
    pub local_ms: Option<f64>,
    /// The prefill of the whole prompt, in milliseconds: caches of other regions count as cold.
    pub prefill_ms: f64,
    /// The offers of the regions that may serve the request.
    pub offers: Vec<RegionOffer>,
}

/// Chooses another region, or `None` for the own one.
#[must_use]
pub fn choose_region(query: &SpillQuery) -> Option<&RegionOffer> {
    let expected = |offer: &RegionOffer| {
        let queued = f64::from(offer.sent_since) * query.prefill_ms;
        offer.wait_ms + AWAY_MS + query.prefill_ms + queued / f64::from(offer.targets.max(1))
    };
    let offers = query.offers.iter().filter(|offer| offer.targets > 0);
    let best = offers.min_by(|a, b| expected(a).total_cmp(&expected(b)))?;
    match query.local_ms {
        None => Some(best),
        Some(local_ms) if local_ms < LOCAL_WAIT_MS => None,
        Some(local_ms) => (expected(best) < local_ms * CLEARLY_LESS).then_some(best),
    }
}

/// The requests that this host has sent to other regions lately.
#[derive(Debug, Default)]
pub(crate) struct SentAway {
    sent: Vec<(MonoMs, Arc<str>, ServiceKey)>,
}

impl SentAway {
    pub(crate) fn note(&mut self, now: MonoMs, region: Arc<str>, service: ServiceKey) {
        self.sent
            .retain(|(at, ..)| now.since_ms(*at) < WORD_DELAY_MS);
        self.sent.push((now, region, service));
    }

    pub(crate) fn count(&self, now: MonoMs, region: &str, service: ServiceKey) -> u32 {
        let recent = self.sent.iter().filter(|(at, sent_to, of)| {
            now.since_ms(*at) < WORD_DELAY_MS && **sent_to == *region && *of == service
        });
        recent.count() as u32
    }
}
