//! Checks the goals of the design page on short runs; docs/measurements/policies.md has the full runs.

use lw_bench::play::{Deployment, Policy, Scenario, generate_arrivals, simulate_policy};
use lw_bench::{PolicyRun, check_goals};
use test_case::test_case;

const SEED: u64 = 20_261_203;
const SECONDS: u64 = 200;

fn runs(deployment: &Deployment, names: &[&str]) -> Vec<PolicyRun> {
    println!("seed {SEED}, {SECONDS} s per scenario");
    let mut runs = Vec::new();
    for scenario in Scenario::all(deployment) {
        if !names.contains(&scenario.name) {
            continue;
        }
        let arrivals = generate_arrivals(&scenario, SEED, SECONDS);
        for policy in [Policy::Lacewingstile, Policy::LeastLoaded] {
            runs.push(PolicyRun {
                deployment: deployment.name,
                scenario: scenario.name,
                policy,
                figures: simulate_policy(&scenario, &arrivals, policy, SEED, SECONDS),
            });
        }
    }
    assert_eq!(runs.len(), 2 * names.len());
    runs
}

/// Guards against changes of routing or admission that miss a goal: lookup p99 under overload, cache misses and p99
/// relative to the least-loaded policy, retries, lost batch requests and invariants.
#[test_case(&Deployment::sahyog(), &["calm", "lookup overload"] ; "sahyog lookups")]
#[test_case(&Deployment::riad(), &["calm", "lookup overload"] ; "riad lookups")]
#[test_case(&Deployment::sahyog(), &["daily peaks", "slow target"] ; "sahyog caches")]
#[test_case(&Deployment::riad(), &["daily peaks", "slow target"] ; "riad caches")]
#[test_case(&Deployment::sahyog(), &["tenfold regions", "outage"] ; "sahyog regions and outage")]
#[test_case(&Deployment::riad(), &["tenfold regions", "outage"] ; "riad regions and outage")]
fn goals_are_met(deployment: &Deployment, names: &[&str]) {
    let goals = check_goals(&runs(deployment, names));
    assert!(goals.len() >= 12, "{}", goals.len());
    let missed: Vec<_> = goals.iter().filter(|goal| !goal.is_met()).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}

/// Guards against retry storms and lost requests while a region loses most of its engines.
#[test_case(&Deployment::sahyog() ; "sahyog")]
#[test_case(&Deployment::riad() ; "riad")]
fn capacity_loss_loses_no_request(deployment: &Deployment) {
    for run in runs(deployment, &["capacity loss"]) {
        let figures = &run.figures;
        assert_eq!(
            (figures.lost, figures.violations),
            (0, 0),
            "{:?}",
            run.policy
        );
        assert!(figures.retries > 0);
        assert!(
            figures.highest_retry_share <= 0.1,
            "{}",
            figures.highest_retry_share
        );
    }
}

/// Guards against nondeterministic figures, which could not be compared between runs.
#[test]
fn same_seed_gives_the_same_figures() {
    let deployment = Deployment::sahyog();
    let scenario = &Scenario::all(&deployment)[1];
    let arrivals = generate_arrivals(scenario, SEED, 60);
    assert_eq!(arrivals, generate_arrivals(scenario, SEED, 60));
    let first = simulate_policy(scenario, &arrivals, Policy::Lacewingstile, SEED, 60);
    let second = simulate_policy(scenario, &arrivals, Policy::Lacewingstile, SEED, 60);
    assert_eq!(first, second);
}
