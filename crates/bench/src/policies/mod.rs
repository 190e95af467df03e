//! The subcommand `policies`: compares routing policies in simulated scenarios.

mod goal;
mod table;

use std::io;

use lw_base::prelude::*;
use serde::Serialize;

use crate::options::PoliciesOptions;
use crate::play::{Deployment, Figures, Policy, Scenario, generate_arrivals, simulate_policy};

pub use goal::{Goal, check_goals};

/// The result of one scenario under one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyRun {
    /// The deployment.
    pub deployment: &'static str,
    /// The scenario.
    pub scenario: &'static str,
    /// The policy.
    pub policy: Policy,
    /// The measured figures.
    pub figures: Figures,
}

#[derive(Serialize)]
struct Output<'a> {
    seed: u64,
    seconds: u64,
    runs: &'a [PolicyRun],
    goals: &'a [Goal],
}

/// Simulates every scenario under every policy, prints the tables and writes the JSON file.
///
/// # Errors
///
/// Returns an error if the JSON file cannot be written.
pub(crate) fn run(options: &PoliciesOptions) -> io::Result<()> {
    println!("seed {}, {} s per scenario", options.seed, options.seconds);
    let mut runs = Vec::new();
    for deployment in [Deployment::sahyog(), Deployment::riad()] {
        for scenario in Scenario::all(&deployment) {
            run_policies(&deployment, &scenario, options, &mut runs);
        }
    }
    println!("{}", table::figures(&runs));
    let goals = check_goals(&runs);
    println!("{}", table::goals(&goals));
    let Some(path) = &options.json else {
        return Ok(());
    };
    let output = Output {
        seed: options.seed,
        seconds: options.seconds,
        runs: &runs,
        goals: &goals,
    };
    std::fs::write(path, serde_json::to_vec_pretty(&output)?)
}

fn run_policies(
    deployment: &Deployment,
    scenario: &Scenario,
    options: &PoliciesOptions,
    runs: &mut Vec<PolicyRun>,
) {
    let arrivals = generate_arrivals(scenario, options.seed, options.seconds);
    for policy in Policy::ALL {
        let figures = simulate_policy(scenario, &arrivals, policy, options.seed, options.seconds);
        runs.push(PolicyRun {
            deployment: deployment.name,
            scenario: scenario.name,
            policy,
            figures,
        });
    }
}

impl PolicyRun {
    /// Returns the 99th percentile latency of a service and priority class, in milliseconds.
    #[must_use]
    pub fn p99_ms(&self, service: ServiceKey, class: PriorityClass) -> f64 {
        self.figures.class(service, class).p99_ms
    }
}
