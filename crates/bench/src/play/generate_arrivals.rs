//! Generates the arrivals of a scenario from a seed.

use lw_base::prelude::*;
use lw_base::stable_hash_pair;
use lw_doc::{Fleet, ServiceKind};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::play::arrival::{Arrival, TrafficSource};
use crate::play::engine::{
    DECODE_US_PER_TOKEN, FULL_BATCH_SLOWDOWN, PLAIN_UNIT_US, PREFILL_TOKENS_PER_S,
};
use crate::play::scenario::Scenario;

/// Upper bound on the rate factor of any scenario, for thinning the Poisson process.
const MAX_RATE_FACTOR: f64 = 7.0;
/// Share of the requests that must stay in their region.
const BOUND_SHARE: f64 = 0.24;
/// Assumed share of cached prefixes when the use ratio of a source is converted to a rate.
const CACHED_SHARE: f64 = 0.5;

/// Returns the arrivals of `seconds` seconds in order of time.
///
/// The same seed gives the same arrivals.
#[must_use]
pub fn generate_arrivals(scenario: &Scenario, seed: u64, seconds: u64) -> Vec<Arrival> {
    let fleet = scenario.deployment.fleet();
    let mut arrivals = Vec::new();
    for region in fleet.regions.keys() {
        for (index, source) in scenario.deployment.traffic_sources.iter().enumerate() {
            let source_id = [region.0 as u8, index as u8];
            let seed = stable_hash_pair(seed, &[scenario.name.as_bytes(), &source_id].concat());
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            generate_source(
                scenario,
                &fleet,
                region,
                source,
                seconds,
                &mut rng,
                &mut arrivals,
            );
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

fn generate_source(
    scenario: &Scenario,
    fleet: &Fleet,
    region: RegionKey,
    source: &TrafficSource,
    seconds: u64,
    rng: &mut ChaCha8Rng,
    out: &mut Vec<Arrival>,
) {
    let slots = region_slots(fleet, region, source.service);
    let kind = fleet.services[source.service].kind;
    let rate_per_s = source.use_ratio * slots
        / mean_slot_time_s(source, kind, slots_per_target(fleet, source.service));
    let ranks = ZipfDistribution::new(source.prefixes);
    let end_us = seconds as f64 * 1e6;
    let mut at_us = 0.0;
    loop {
        let draw: f64 = rng.random();
        at_us += -(1.0 - draw).ln() / (rate_per_s * MAX_RATE_FACTOR) * 1e6;
        if at_us >= end_us {
            return;
        }
        let progress = at_us / end_us;
        let factor = (scenario.rate)(progress, region.index(), source.class, source.service);
        if rng.random::<f64>() * MAX_RATE_FACTOR >= factor {
            continue;
        }
        let mut vary = |mean: u32| (f64::from(mean) * rng.random_range(0.5..1.5)) as u32;
        let prompt_tokens = vary(source.prompt_tokens);
        let output_tokens = vary(source.output_tokens).max(1);
        let rank = ranks.draw(rng);
        let name = [
            u64::from(source.service.0),
            source.class.index() as u64,
            rank,
        ];
        let prefix = stable_hash_pair(rank, &name.map(u64::to_le_bytes).concat());
        out.push(Arrival {
            at_us: at_us as u64,
            region,
            host_draw: rng.random(),
            service: source.service,
            class: source.class,
            region_bound: rng.random::<f64>() < BOUND_SHARE,
            prefix,
            prefix_tokens: source.prefix_tokens,
            prompt_tokens,
            output_tokens,
        });
    }
}

fn region_slots(fleet: &Fleet, region: RegionKey, service: ServiceKey) -> f64 {
    let targets = &fleet.services[service].targets_by_region[region.index()];
    let slots: u32 = targets.iter().map(|key| fleet.targets[*key].slots).sum();
    f64::from(slots)
}

fn slots_per_target(fleet: &Fleet, service: ServiceKey) -> f64 {
    let target = fleet
        .targets
        .iter()
        .find(|(_, _, target)| target.service == service);
    target.map_or(1.0, |(_, _, target)| f64::from(target.slots))
}

/// Returns the mean slot time of a request in seconds.
///
/// Requests share the prefill of their engine, so the slot time includes the wait for it.
fn mean_slot_time_s(source: &TrafficSource, kind: ServiceKind, slots: f64) -> f64 {
    if kind == ServiceKind::Plain {
        return f64::from(source.output_tokens) * PLAIN_UNIT_US as f64 / 1e6;
    }
    let uncached_tokens = f64::from(source.prefix_tokens) * (1.0 - CACHED_SHARE);
    let prefill_s = (f64::from(source.prompt_tokens) + uncached_tokens) / PREFILL_TOKENS_PER_S;
    let token_s = DECODE_US_PER_TOKEN * (1.0 + FULL_BATCH_SLOWDOWN) / 1e6;
    // Prefills run one at a time and at most `slots` requests share an engine, so a request waits for about half of
    // them on average.
    prefill_s * slots / 2.0 + f64::from(source.output_tokens) * token_s
}

/// A Zipf distribution over ranks, as cumulative weights.
struct ZipfDistribution {
    cumulative_weights: Vec<f64>,
}

impl ZipfDistribution {
    fn new(count: u32) -> Self {
        /// Slightly below one, as in traces of web object popularity.
        const EXPONENT: f64 = 0.9;
        let mut sum = 0.0;
        let cumulative_weights = (1..=count)
            .map(|rank| {
                sum += f64::from(rank).powf(-EXPONENT);
                sum
            })
            .collect();
        Self { cumulative_weights }
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> u64 {
        let Some(total) = self.cumulative_weights.last() else {
            return 0;
        };
        let draw = rng.random::<f64>() * total;
        self.cumulative_weights.partition_point(|sum| *sum <= draw) as u64
    }
}
