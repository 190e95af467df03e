//! The subcommand `decide`: measures the cost of one routing decision.

mod fleet;

use std::hint::black_box;
use std::io;
use std::sync::Arc;
use std::time::Instant;

use comfy_table::{Table, presets};
use lw_admit::{CustomerId, CustomerLimits};
use lw_base::prelude::*;
use lw_base::stable_hash;
use lw_route::{LoadReport, Now, Query, Router, allowed_regions};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::counting_alloc::allocations;
use crate::options::DecideOptions;

const SEED: u64 = 20_261_203;
/// Number of targets in the region, by measurement.
const TARGET_COUNTS: [usize; 4] = [8, 80, 800, 2_500];
const CUSTOMERS: usize = 38_000;
const ROUNDS: u32 = 7;

/// The cost of one routing decision for a given number of targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecisionCost {
    /// Number of targets of the service in the region.
    pub targets: usize,
    /// Time of a decision relative to a random choice in the same run.
    pub ratio_to_random: f64,
    /// Time of a decision and a customer limit check relative to a random choice in the same run.
    pub ratio_with_limit: f64,
    /// Time of a full scan of the targets relative to a random choice in the same run.
    pub ratio_of_scan: f64,
    /// Allocations per decision.
    pub allocations: f64,
    /// Maximum number of targets that a decision considers.
    pub considered: usize,
}

/// Measures the cost for each number of targets, with the given number of decisions per measurement.
#[must_use]
pub fn measure_decision_cost(decisions: u32) -> Vec<DecisionCost> {
    TARGET_COUNTS
        .into_iter()
        .map(|targets| measure(targets, decisions))
        .collect()
}

/// Measures and prints the cost of one decision.
///
/// # Errors
///
/// Never fails; the return type is that of all subcommands.
pub(crate) fn run(options: &DecideOptions) -> io::Result<()> {
    println!(
        "seed {SEED}, {} decisions each, {CUSTOMERS} customers",
        options.decisions
    );
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(vec![
        "targets",
        "decision / random",
        "decision and limit / random",
        "full scan / random",
        "allocations per decision",
        "targets looked at, at most",
    ]);
    for row in measure_decision_cost(options.decisions) {
        table.add_row(vec![
            row.targets.to_string(),
            format!("{:.1}", row.ratio_to_random),
            format!("{:.1}", row.ratio_with_limit),
            format!("{:.1}", row.ratio_of_scan),
            format!("{:.3}", row.allocations),
            row.considered.to_string(),
        ]);
    }
    println!("{table}");
    Ok(())
}

fn measure(targets: usize, decisions: u32) -> DecisionCost {
    let fleet = Arc::new(fleet::fleet(targets, CUSTOMERS));
    let view = Router::new(MonoMs(0), &fleet, "region-0", SEED).view();
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut reported = Vec::new();
    for target in fleet.targets.keys() {
        let requests = rng.random_range(0..12);
        let report = LoadReport {
            requests,
            speed_tokens_per_s: Some(40.0),
        };
        view.report(MonoMs(0), target, &report);
        reported.push(requests);
    }
    let now = Now {
        mono: MonoMs(1_000),
        wall: WallMs(1_000),
    };
    let decide = |index: u32| {
        let customer = CustomerKey(index.wrapping_mul(7_919) % CUSTOMERS as u32);
        let service = ServiceKey(0);
        let allowed = allowed_regions(&fleet, service, Some(customer), None);
        let mut query = Query::new(service, allowed);
        query.prefix = Some(stable_hash(&index.to_le_bytes()));
        query.prefix_prefill_ms = 300.0;
        black_box(view.decide(now, &query));
    };
    let mut limits = CustomerLimits::default();
    let before = allocations();
    let decide_s = fastest_round_s(decisions, decide);
    let allocated = allocations() - before;
    let limit_s = fastest_round_s(decisions, |index| {
        let customer = CustomerId(u64::from(index.wrapping_mul(7_919) % CUSTOMERS as u32));
        let _ = black_box(limits.admit(now.mono, customer, 20.0, 8));
    });
    let random_s = fastest_round_s(decisions, |_| {
        black_box(rng.random_range(0..targets));
    });
    let scan_s = fastest_round_s(decisions.div_ceil(10), |_| {
        black_box(black_box(&reported).iter().min());
    }) * 10.0;
    DecisionCost {
        targets,
        ratio_to_random: decide_s / random_s,
        ratio_with_limit: (decide_s + limit_s) / random_s,
        ratio_of_scan: scan_s / random_s,
        allocations: allocated as f64 / f64::from(decisions * ROUNDS),
        considered: max_considered(&view, now),
    }
}

/// Returns the maximum number of targets that any of 1,000 sampled decisions considers.
fn max_considered(view: &lw_route::RouteView, now: Now) -> usize {
    const SAMPLE: u32 = 1_000;
    let allowed = view.fleet().regions.keys().collect();
    (0..SAMPLE)
        .map(|index| {
            let mut query = Query::new(ServiceKey(0), allowed);
            query.prefix = Some(stable_hash(&index.to_le_bytes()));
            view.explain(now, &query).targets.len()
        })
        .max()
        .unwrap_or(0)
}

/// Returns the duration of the fastest of several rounds, in seconds, because other processes slow down some rounds.
fn fastest_round_s(count: u32, mut run_once: impl FnMut(u32)) -> f64 {
    let mut round = || {
        let start = Instant::now();
        for index in 0..count {
            run_once(index);
        }
        start.elapsed().as_secs_f64().max(f64::MIN_POSITIVE)
    };
    (0..ROUNDS).map(|_| round()).fold(f64::INFINITY, f64::min)
}
