//! The performance goals of the design page.

use lw_base::prelude::*;
use serde::Serialize;

use crate::play::{MODEL, PLAIN, Policy};
use crate::policies::PolicyRun;

/// Maximum lookup p99 under twofold overload, relative to the p99 of the `calm` scenario.
const LOOKUP_RATIO: f64 = 1.5;
/// Maximum cache miss rate relative to the least-loaded policy.
const MISS_RATIO: f64 = 0.7;
/// Maximum p99 relative to the least-loaded policy.
const P99_RATIO: f64 = 1.0;
/// Maximum retries per request in a 10 s window.
const RETRY_SHARE: f64 = 0.1;

/// A goal with its measured value and upper bound.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Goal {
    /// The deployment.
    pub deployment: &'static str,
    /// The scenario in which it was measured.
    pub scenario: &'static str,
    /// The bounded quantity.
    pub what: String,
    /// The measured value.
    pub measured: f64,
    /// The upper bound, inclusive.
    pub bound: f64,
}

impl Goal {
    /// Returns true if the measured value does not exceed the bound.
    #[must_use]
    pub fn is_met(&self) -> bool {
        self.measured <= self.bound
    }

    /// Returns the excess of the measured value relative to the bound, or zero if the goal is met.
    ///
    /// If the bound is zero, returns the absolute excess.
    #[must_use]
    pub fn missed_by(&self) -> f64 {
        if self.is_met() || self.bound == 0.0 {
            return (self.measured - self.bound).max(0.0);
        }
        self.measured / self.bound - 1.0
    }
}

/// Evaluates the goals for every run of the policy [`Policy::Lacewingstile`].
#[must_use]
pub fn check_goals(runs: &[PolicyRun]) -> Vec<Goal> {
    let mut goals = Vec::new();
    let own_runs = runs
        .iter()
        .filter(|run| run.policy == Policy::Lacewingstile);
    for run in own_runs {
        let find = |scenario: &str, policy: Policy| {
            runs.iter().find(|other| {
                other.deployment == run.deployment
                    && other.scenario == scenario
                    && other.policy == policy
            })
        };
        if run.scenario == "lookup overload"
            && let Some(calm) = find("calm", Policy::Lacewingstile)
        {
            goals.push(lookup_goal(run, calm));
        }
        if let Some(least_loaded) = find(run.scenario, Policy::LeastLoaded) {
            cache_goals(run, least_loaded, &mut goals);
        }
        goals.push(goal(
            run,
            "retries per request, highest of 10 s",
            run.figures.highest_retry_share,
            RETRY_SHARE,
        ));
        let lost = run.figures.lost as f64;
        goals.push(goal(run, "requests without an outcome", lost, 0.0));
        let expired = run.figures.batch_expired as f64;
        goals.push(goal(
            run,
            "accepted batch requests that expired",
            expired,
            0.0,
        ));
        let violations = run.figures.violations as f64;
        goals.push(goal(run, "invariant violations", violations, 0.0));
    }
    goals
}

fn lookup_goal(overload: &PolicyRun, calm: &PolicyRun) -> Goal {
    let lookup = PriorityClass::Lookup;
    let ratio = overload.p99_ms(PLAIN, lookup) / calm.p99_ms(PLAIN, lookup);
    goal(overload, "lookup p99 relative to calm", ratio, LOOKUP_RATIO)
}

fn cache_goals(run: &PolicyRun, least_loaded: &PolicyRun, goals: &mut Vec<Goal>) {
    let ratio = miss_rate(run) / miss_rate(least_loaded);
    goals.push(goal(
        run,
        "cache misses relative to least loaded",
        ratio,
        MISS_RATIO,
    ));
    for class in [PriorityClass::Interactive, PriorityClass::Batch] {
        let ratio = run.p99_ms(MODEL, class) / least_loaded.p99_ms(MODEL, class);
        let what = format!("model {} p99 relative to least loaded", class.as_str());
        goals.push(goal(run, what, ratio, P99_RATIO));
    }
}

/// Returns misses per started request, because policies complete different numbers of requests under overload.
fn miss_rate(run: &PolicyRun) -> f64 {
    run.figures.cache_misses as f64 / run.figures.prefix_starts.max(1) as f64
}

fn goal(run: &PolicyRun, what: impl Into<String>, measured: f64, bound: f64) -> Goal {
    Goal {
        deployment: run.deployment,
        scenario: run.scenario,
        what: what.into(),
        measured,
        bound,
    }
}
