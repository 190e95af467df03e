//! Markdown tables of the results.

use comfy_table::{Table, presets};
use lw_base::prelude::*;

use crate::play::{MODEL, PLAIN};
use crate::policies::{Goal, PolicyRun};

/// Builds the table of all runs.
pub(crate) fn figures(runs: &[PolicyRun]) -> Table {
    let mut table = markdown(&[
        "deployment",
        "scenario",
        "policy",
        "requests",
        "engine s",
        "misses",
        "WAN MB",
        "lookup p50/p95/p99 ms",
        "model interactive p50/p95/p99 ms",
        "model batch p50/p95/p99 ms",
        "plain batch p50/p95/p99 ms",
        "sent away",
        "refused",
        "retries",
        "lost",
        "violations",
    ]);
    for run in runs {
        let figures = &run.figures;
        table.add_row(vec![
            run.deployment.to_owned(),
            run.scenario.to_owned(),
            run.policy.as_str().to_owned(),
            figures.requests.to_string(),
            format!("{:.0}", figures.engine_s),
            figures.cache_misses.to_string(),
            format!("{:.1}", figures.wide_area_bytes as f64 / 1e6),
            latencies(run, PLAIN, PriorityClass::Lookup),
            latencies(run, MODEL, PriorityClass::Interactive),
            latencies(run, MODEL, PriorityClass::Batch),
            latencies(run, PLAIN, PriorityClass::Batch),
            format!("{:.1}%", figures.forwarded_share() * 100.0),
            format!("{:.1}%", figures.refused_share() * 100.0),
            figures.retries.to_string(),
            figures.lost.to_string(),
            figures.violations.to_string(),
        ]);
    }
    table
}

/// Builds the table of the goals.
pub(crate) fn goals(goals: &[Goal]) -> Table {
    let mut table = markdown(&[
        "deployment",
        "scenario",
        "goal",
        "measured",
        "bound",
        "result",
    ]);
    for goal in goals {
        let result = if goal.is_met() {
            "met".to_owned()
        } else if goal.bound == 0.0 {
            format!("missed by {}", goal.missed_by())
        } else {
            format!("missed by {:.0}%", goal.missed_by() * 100.0)
        };
        table.add_row(vec![
            goal.deployment.to_owned(),
            goal.scenario.to_owned(),
            goal.what.clone(),
            format!("{:.2}", goal.measured),
            format!("{:.2}", goal.bound),
            result,
        ]);
    }
    table
}

fn markdown(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(header.to_vec());
    table
}

fn latencies(run: &PolicyRun, service: ServiceKey, class: PriorityClass) -> String {
    let class = run.figures.class(service, class);
    format!(
        "{:.0}/{:.0}/{:.0}",
        class.p50_ms, class.p95_ms, class.p99_ms
    )
}
