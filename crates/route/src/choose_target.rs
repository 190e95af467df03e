//! The choice of a target in the local region.

use lw_base::prelude::*;
use lw_base::stable_hash;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::explain::{CandidateSource, CandidateTarget, ExclusionReason};
use crate::query::{Now, Query};
use crate::target_cell::TargetView;
use crate::view::{RouteView, ServiceView};

/// The number of usable random candidates per decision.
const RANDOM_CANDIDATES: usize = 2;
/// The maximum number of draws for the random candidates. With half of the targets out of service, eight draws do not
/// find two usable ones in 4% of the decisions.
const MAX_RANDOM_DRAWS: usize = 8;
/// The maximum number of owner pairs that are tried for a prefix. With 60% of the targets out of service, 2% of the
/// prefixes find no usable owner.
const MAX_OWNER_PAIRS: usize = 4;
/// A target above this ratio of the mean load is overloaded and loses its prefix affinity.
const OVERLOAD_RATIO: f64 = 1.25;
/// A target below this use is never overloaded: in a nearly idle service, one request exceeds any ratio of the mean.
const OVERLOAD_MIN_USE: f64 = 0.9;
/// The fraction of the prefill time that is expected at the second owner. The second owner has the prefix cached only
/// after the first owner was overloaded; with full affinity every prefix would stay in two caches.
const SECOND_OWNER_MISS_RATIO: f64 = 0.9;
/// The penalty for a full batch, in service times. It is only meant to order targets that have free slots: larger
/// values move prefixes away from owners that have free slots. At 0.25, cache misses rise by up to a tenth.
const BATCH_SLOWDOWN: f64 = 0.02;
/// A target that is slower than the mean by more than this ratio owns no prefixes; they move to the next owner.
const SLOW_TARGET_RATIO: f64 = 2.0;

/// The best candidate so far.
struct BestCandidate {
    target: Option<TargetKey>,
    score: f64,
}

impl RouteView {
    /// Chooses the best of the two owners of the prefix and two random targets, whatever the number of targets.
    ///
    /// When none of these accepts new requests, all targets are searched from a random position. When every target is
    /// stopped or ejected, a first attempt is sent to an ejected target, because its failure may have ended.
    pub(crate) fn choose_target(
        &self,
        now: Now,
        query: &Query<'_>,
        rng: &mut ChaCha8Rng,
        trace: &mut impl FnMut(&CandidateTarget),
    ) -> Option<TargetKey> {
        let service = &self.services[query.service.index()];
        let count = service.targets.len();
        if count == 0 {
            return None;
        }
        let mut best = BestCandidate {
            target: None,
            score: f64::INFINITY,
        };
        if let Some(prefix) = query.prefix {
            self.consider_prefix_owners(now, query, prefix, rng, &mut best, trace);
        }
        let mut usable_count = 0;
        for _ in 0..MAX_RANDOM_DRAWS {
            if usable_count == RANDOM_CANDIDATES {
                break;
            }
            let index = rng.random_range(0..count);
            let draw = rng.random();
            let usable = self.consider(
                now,
                query,
                index,
                CandidateSource::Random,
                draw,
                &mut best,
                trace,
            );
            usable_count += usize::from(usable);
        }
        if best.target.is_none() {
            let start = rng.random_range(0..count);
            self.search(now, query, start, CandidateSource::Search, &mut best, trace);
            // Only for first attempts: retries at ejected targets would add 10% to the load during an outage.
            let first_attempt = query.tried.is_empty();
            if best.target.is_none() && first_attempt && service.is_out_of_service(now) {
                self.search(
                    now,
                    query,
                    start,
                    CandidateSource::LastResort,
                    &mut best,
                    trace,
                );
            }
        }
        best.target
    }

    /// Considers the first two owners of the prefix that accept new requests.
    ///
    /// When the owners are out of service, the prefix is hashed again to find the next pair, in the same order on every
    /// host.
    fn consider_prefix_owners(
        &self,
        now: Now,
        query: &Query<'_>,
        prefix: u64,
        rng: &mut ChaCha8Rng,
        best: &mut BestCandidate,
        trace: &mut impl FnMut(&CandidateTarget),
    ) {
        let prefix_owners = &self.services[query.service.index()].targets.prefix_owners;
        let mut sources = [CandidateSource::FirstHome, CandidateSource::SecondHome].into_iter();
        let mut source = sources.next();
        let mut previous = None;
        let mut hash = prefix;
        for _ in 0..MAX_OWNER_PAIRS {
            let Some((first, second)) = prefix_owners.owners(hash) else {
                return;
            };
            for index in [first, second] {
                let Some(kind) = source else {
                    return;
                };
                if previous == Some(index) {
                    continue;
                }
                if self.is_slow_target(now, query, index) {
                    continue;
                }
                let draw = rng.random();
                if self.consider(now, query, index, kind, draw, best, trace) {
                    previous = Some(index);
                    source = sources.next();
                }
            }
            hash = stable_hash(&hash.to_le_bytes());
        }
    }

    fn is_slow_target(&self, now: Now, query: &Query<'_>, index: usize) -> bool {
        let service = &self.services[query.service.index()];
        let view = service.targets.cells[index].view(now, service.max_ejection_ms());
        slowdown(service, &view) > SLOW_TARGET_RATIO
    }

    fn search(
        &self,
        now: Now,
        query: &Query<'_>,
        start: usize,
        source: CandidateSource,
        best: &mut BestCandidate,
        trace: &mut impl FnMut(&CandidateTarget),
    ) {
        let count = self.services[query.service.index()].targets.len();
        for step in 0..count {
            let index = (start + step) % count;
            if self.consider(now, query, index, source, 0.0, best, trace) {
                return;
            }
        }
    }

    /// Considers one target; returns true when it accepts new requests. `draw` is between 0 and 1 and is compared with
    /// the slow start share.
    #[allow(clippy::too_many_arguments)] // the candidate, its random draw and the two outputs belong to one step
    fn consider(
        &self,
        now: Now,
        query: &Query<'_>,
        index: usize,
        source: CandidateSource,
        draw: f64,
        best: &mut BestCandidate,
        trace: &mut impl FnMut(&CandidateTarget),
    ) -> bool {
        let service = &self.services[query.service.index()];
        let target = service.targets.keys[index];
        let view = service.targets.cells[index].view(now, service.max_ejection_ms());
        let last_resort = source == CandidateSource::LastResort;
        let ruled_out = if query.tried.contains(&target) {
            Some(ExclusionReason::Tried)
        } else if last_resort && view.ruled_out == Some(ExclusionReason::Ejected) {
            None
        } else if view.ruled_out.is_some() {
            view.ruled_out
        } else if view.slow_start_share < 1.0 && draw >= view.slow_start_share {
            Some(ExclusionReason::SlowStart)
        } else {
            None
        };
        let wait_ms = wait_ms(service, &view);
        let miss_ms = miss_ms(service, &view, source, query);
        let weights = &self.fleet.weights;
        // The prefill after a cache miss delays the first token of this request, so it counts as latency. It also
        // blocks every slot of the engine, so its cost is multiplied by the number of slots.
        let score = weights.latency * (wait_ms + miss_ms) + weights.cost * view.slots * miss_ms;
        trace(&CandidateTarget {
            target,
            source,
            ruled_out,
            requests: view.requests,
            wait_ms,
            miss_ms,
            score,
        });
        if ruled_out.is_some() {
            return false;
        }
        // The next request that considers a target with a due probe is sent to it. With the normal score, an ejected
        // target might never be probed again.
        let score = if view.probe { f64::NEG_INFINITY } else { score };
        if score < best.score {
            best.score = score;
            best.target = Some(target);
        }
        true
    }
}

/// Returns the ratio of the mean speed to the speed of the target, at least 1; 1 when a speed is unknown.
fn slowdown(service: &ServiceView, view: &TargetView) -> f64 {
    match (service.shared.speed(), view.speed_tokens_per_s) {
        (Some(mean), Some(speed)) => (mean / speed).max(1.0),
        _ => 1.0,
    }
}

/// Returns the expected queueing delay and slowdown at a target, in milliseconds.
fn wait_ms(service: &ServiceView, view: &TargetView) -> f64 {
    let service_ms = service.shared.service_ms();
    let slowdown = slowdown(service, view);
    let queued = (view.requests + 1.0 - view.slots).max(0.0) / view.slots;
    let batch = BATCH_SLOWDOWN * view.requests / view.slots;
    service_ms * (slowdown * (1.0 + queued + batch) - 1.0)
}

/// Returns the expected prefill time for the prefix of a request at a target, in milliseconds.
fn miss_ms(
    service: &ServiceView,
    view: &TargetView,
    source: CandidateSource,
    query: &Query<'_>,
) -> f64 {
    let affinity = match source {
        CandidateSource::FirstHome => 1.0,
        CandidateSource::SecondHome => 1.0 - SECOND_OWNER_MISS_RATIO,
        CandidateSource::Random | CandidateSource::Search | CandidateSource::LastResort => 0.0,
    };
    let mean_use = service.shared.requests() / service.targets.slots.max(1.0);
    let use_ratio = view.requests / view.slots;
    if use_ratio > (OVERLOAD_RATIO * mean_use).max(OVERLOAD_MIN_USE) {
        return query.prefix_prefill_ms;
    }
    query.prefix_prefill_ms * (1.0 - affinity)
}
