//! Measures hedging; docs/measurements/hedging.md has the results.

use lw_base::PriorityClass;
use lw_bench::play::{
    Deployment, Figures, MODEL, PLAIN, Policy, Scenario, generate_arrivals, simulate_policy,
    simulate_policy_hedged,
};
use test_case::test_case;

const SEED: u64 = 20_261_203;
const SECONDS: u64 = 200;

fn print_figures(name: &str, figures: &Figures) {
    let interactive = figures.class(MODEL, PriorityClass::Interactive);
    let lookup = figures.class(PLAIN, PriorityClass::Lookup);
    let batch = figures.class(MODEL, PriorityClass::Batch);
    println!(
        "{name}: interactive p99 {:.0} first token p99 {:.0}, batch p99 {:.0}, lookup p99 {:.1} ms; engine {:.0} s, misses {}, \
         hedges {}, won {}, retries {} (highest share {:.3}), refused {:.4}",
        interactive.p99_ms,
        interactive.first_token_p99_ms,
        batch.p99_ms,
        lookup.p99_ms,
        figures.engine_s,
        figures.cache_misses,
        figures.hedges,
        figures.hedges_won,
        figures.retries,
        figures.highest_retry_share,
        figures.refused_share(),
    );
}

/// Guards against hedging that loses requests, ends a request twice or exceeds the retry budget.
#[test_case(&Deployment::sahyog() ; "sahyog")]
#[test_case(&Deployment::riad() ; "riad")]
fn hedging_keeps_one_outcome_and_the_retry_budget(deployment: &Deployment) {
    println!("seed {SEED}, {SECONDS} s per scenario");
    for scenario in Scenario::all(deployment) {
        if ![
            "calm",
            "slow target",
            "outage",
            "capacity loss",
            "flash crowd",
        ]
        .contains(&scenario.name)
        {
            continue;
        }
        let arrivals = generate_arrivals(&scenario, SEED, SECONDS);
        let plain = simulate_policy(&scenario, &arrivals, Policy::Lacewingstile, SEED, SECONDS);
        let hedged = simulate_policy_hedged(&scenario, &arrivals, SEED, SECONDS);
        print_figures(
            &format!("{} {} without", deployment.name, scenario.name),
            &plain,
        );
        print_figures(
            &format!("{} {} hedged", deployment.name, scenario.name),
            &hedged,
        );
        assert!(hedged.hedges > 0);
        assert_eq!((hedged.lost, hedged.violations), (0, 0));
        // Checked over the whole run, because the last window contains hedges of requests that arrived before it.
        assert!(hedged.retries * 10 <= hedged.requests, "{}", hedged.retries);
    }
}
