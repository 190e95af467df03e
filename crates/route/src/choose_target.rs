//! The choice of a target in the own region.

use lw_base::prelude::*;
use lw_base::stable_hash;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::explain::{CandidateTarget, ExclusionReason, Source};
use crate::query::{Now, Query};
use crate::target_cell::TargetView;
use crate::view::{RouteView, ServiceView};

/// Random candidates per decision.
const RANDOM_CANDIDATES: usize = 2;
/// Draws for them; with half of the targets out of service, eight draws miss both in 4% of the decisions.
const RANDOM_DRAWS: usize = 8;
/// Pairs of homes that are tried for a prefix; with 60% of the targets out of service, 2% of the prefixes find no home.
const HOME_ROUNDS: usize = 4;
/// A home above this ratio of the mean load loses its affinity bonus.
const OVERLOADED_HOME: f64 = 1.25;
/// A home below this use keeps its bonus: on a nearly idle service one request is above any ratio of the mean.
const BUSY_USE: f64 = 0.9;
/// The part of the prefill time that counts at the second home. It has the prefix only after the first home was
/// overloaded; a full bonus would keep every prefix in two caches.
const SECOND_HOME_MISS: f64 = 0.9;
/// How much a full batch counts against a target, in service times. It only orders targets with free slots: larger values
/// move prefixes away from homes that could take them (0.25 raised the cache misses by up to a tenth).
const BATCH_SLOWDOWN: f64 = 0.02;
/// A target that is slower than the mean by this ratio is no home; its prefixes move to the next one.
const SLOW_HOME: f64 = 2.0;

/// The best candidate so far.
struct Best {
    target: Option<TargetKey>,
    score: f64,
}

impl RouteView {
    /// Chooses among the two homes of the prefix and two random targets, whatever the number of targets.
    ///
    /// Only when none of them takes new work, the targets are searched from a random position on. When each one is
    /// stopped or ejected, a first attempt goes to an ejected target, because the fault may have ended.
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
        let mut best = Best {
            target: None,
            score: f64::INFINITY,
        };
        if let Some(prefix) = query.prefix {
            self.consider_homes(now, query, prefix, rng, &mut best, trace);
        }
        let mut found = 0;
        for _ in 0..RANDOM_DRAWS {
            if found == RANDOM_CANDIDATES {
                break;
            }
            let index = rng.random_range(0..count);
            let draw = rng.random();
            let usable = self.consider(now, query, index, Source::Random, draw, &mut best, trace);
            found += usize::from(usable);
        }
        if best.target.is_none() {
            let start = rng.random_range(0..count);
            self.search(now, query, start, Source::Search, &mut best, trace);
            // Only a first attempt: retries at ejected targets would add a tenth to the load of an outage.
            let first_attempt = query.tried.is_empty();
            if best.target.is_none() && first_attempt && service.is_out_of_service(now) {
                self.search(now, query, start, Source::LastResort, &mut best, trace);
            }
        }
        best.target
    }

    /// Looks at the first two homes of the prefix that take new work.
    ///
    /// A prefix whose homes are out of service moves to those of its next hash, on every host in the same order.
    fn consider_homes(
        &self,
        now: Now,
        query: &Query<'_>,
        prefix: u64,
        rng: &mut ChaCha8Rng,
        best: &mut Best,
        trace: &mut impl FnMut(&CandidateTarget),
    ) {
        let homes = &self.services[query.service.index()].targets.homes;
        let mut sources = [Source::FirstHome, Source::SecondHome].into_iter();
        let mut source = sources.next();
        let mut previous = None;
        let mut hash = prefix;
        for _ in 0..HOME_ROUNDS {
            let Some((first, second)) = homes.homes(hash) else {
                return;
            };
            for index in [first, second] {
                let Some(kind) = source else {
                    return;
                };
                if previous == Some(index) {
                    continue;
                }
                if self.is_slow(now, query, index) {
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

    fn is_slow(&self, now: Now, query: &Query<'_>, index: usize) -> bool {
        let service = &self.services[query.service.index()];
        let view = service.targets.cells[index].view(now, service.longest_ejection_ms());
        slowness(service, &view) > SLOW_HOME
    }

    fn search(
        &self,
        now: Now,
        query: &Query<'_>,
        start: usize,
        source: Source,
        best: &mut Best,
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

    /// Looks at one target; returns true when it takes new work. `draw` lies between 0 and 1 and decides on slow start.
    #[allow(clippy::too_many_arguments)] // the candidate, its draw and the two sinks belong to one step
    fn consider(
        &self,
        now: Now,
        query: &Query<'_>,
        index: usize,
        source: Source,
        draw: f64,
        best: &mut Best,
        trace: &mut impl FnMut(&CandidateTarget),
    ) -> bool {
        let service = &self.services[query.service.index()];
        let target = service.targets.keys[index];
        let view = service.targets.cells[index].view(now, service.longest_ejection_ms());
        let last_resort = source == Source::LastResort;
        let ruled_out = if query.tried.contains(&target) {
            Some(ExclusionReason::Tried)
        } else if last_resort && view.ruled_out == Some(ExclusionReason::Ejected) {
            None
        } else if view.ruled_out.is_some() {
            view.ruled_out
        } else if view.share < 1.0 && draw >= view.share {
            Some(ExclusionReason::SlowStart)
        } else {
            None
        };
        let wait_ms = wait_ms(service, &view);
        let miss_ms = miss_ms(service, &view, source, query);
        let weights = &self.fleet.weights;
        // The prefill of a missed prefix delays the first token of this request, so it also counts as wait; and it
        // holds up every slot of the engine, so it costs that many times its length.
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
        // A due probe is sent with the next request that meets the target; otherwise its load of zero or its
        // failures would keep deciding whether it ever returns.
        let score = if view.probe { f64::NEG_INFINITY } else { score };
        if score < best.score {
            best.score = score;
            best.target = Some(target);
        }
        true
    }
}

/// Returns how much slower than the mean a target is, at least 1.
fn slowness(service: &ServiceView, view: &TargetView) -> f64 {
    match (service.shared.speed(), view.speed_tokens_per_s) {
        (Some(mean), Some(speed)) => (mean / speed).max(1.0),
        _ => 1.0,
    }
}

/// Returns the expected wait and slowdown at a target, in milliseconds.
fn wait_ms(service: &ServiceView, view: &TargetView) -> f64 {
    let service_ms = service.shared.service_ms();
    let slowness = slowness(service, view);
    let queued = (view.requests + 1.0 - view.slots).max(0.0) / view.slots;
    let batch = BATCH_SLOWDOWN * view.requests / view.slots;
    service_ms * (slowness * (1.0 + queued + batch) - 1.0)
}

/// Returns the prefill time that a request has to expect for its prefix, in milliseconds.
fn miss_ms(service: &ServiceView, view: &TargetView, source: Source, query: &Query<'_>) -> f64 {
    let bonus = match source {
        Source::FirstHome => 1.0,
        Source::SecondHome => 1.0 - SECOND_HOME_MISS,
        Source::Random | Source::Search | Source::LastResort => 0.0,
    };
    let mean_use = service.shared.requests() / service.targets.slots.max(1.0);
    let use_ratio = view.requests / view.slots;
    if use_ratio > (OVERLOADED_HOME * mean_use).max(BUSY_USE) {
        return query.prefix_prefill_ms;
    }
    query.prefix_prefill_ms * (1.0 - bonus)
}
