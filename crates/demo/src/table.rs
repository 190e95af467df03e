//! The traffic table.

use comfy_table::{Table, presets};
use lw_base::{Invariant, violation_count};

use crate::demo_request::TrafficClass;
use crate::traffic_counts::TrafficCounts;

/// Returns the counts since the start as text.
pub(crate) fn traffic_table(
    traffic: &TrafficCounts,
    region_attempts: u64,
    orders_run: u64,
) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(vec![
        "class", "requests", "complete", "not run", "unknown", "p50 ms", "p99 ms",
    ]);
    for class in TrafficClass::ALL {
        let counts = traffic.class(class);
        let quantile = |q| counts.latency_ms.value_at_quantile(q).to_string();
        table.add_row(vec![
            class.as_str().to_owned(),
            counts.total().to_string(),
            counts.complete.to_string(),
            counts.not_run.to_string(),
            counts.unknown.to_string(),
            quantile(0.5),
            quantile(0.99),
        ]);
    }
    let total = traffic.total();
    let share = 100.0 * region_attempts as f64 / total.max(1) as f64;
    format!(
        "{}\nsent to another region {region_attempts} of {total} ({share:.1}%), orders run {orders_run}, \
         retries after a failed entry host {}, invariant violations {}{}\n",
        table.trim_fmt(),
        traffic.retries,
        total_violation_count(),
        error_kind_text(traffic),
    )
}

/// Returns the number of invariant violations in this process.
pub(crate) fn total_violation_count() -> u64 {
    Invariant::ALL.into_iter().map(violation_count).sum()
}

fn error_kind_text(traffic: &TrafficCounts) -> String {
    if traffic.kinds.is_empty() {
        return String::new();
    }
    let kinds = traffic
        .kinds
        .iter()
        .map(|(kind, count)| format!("{kind} {count}"));
    format!("\nnot complete: {}", kinds.collect::<Vec<_>>().join(", "))
}
