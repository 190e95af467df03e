//! Markdown tables of the slopes and of the resource estimate.

use comfy_table::{Table, presets};

use crate::slopes::fit::Fit;
use crate::slopes::kv_service::KvCalls;
use crate::slopes::resource_estimate::ResourceEstimate;
use crate::slopes::slope::Slope;

pub(crate) fn slopes(slopes: &[Slope]) -> Table {
    let mut table = markdown(&[
        "id",
        "what",
        "size",
        "measured",
        "fit",
        "fit error",
        "target",
        "at target",
        "unit",
    ]);
    for slope in slopes {
        let points = slope.points.iter();
        let points: Vec<String> = points
            .map(|point| format!("{}: {}", point.size, number(point.value)))
            .collect();
        table.add_row(vec![
            slope.id.to_owned(),
            slope.what.to_owned(),
            slope.size.to_owned(),
            points.join("; "),
            fit(&slope.fit),
            format!("{:.1}%", slope.fit_error * 100.0),
            number(slope.target),
            number(slope.at_target),
            slope.unit.to_owned(),
        ]);
    }
    table
}

pub(crate) fn callers(account: &ResourceEstimate) -> Table {
    let mut table = markdown(&[
        "caller",
        "steady reads + watches, writes /s",
        "peak of changes /s",
        "worst second of a fleet restart",
        "worst second after an outage",
    ]);
    for caller in &account.callers {
        table.add_row(vec![
            caller.name.to_owned(),
            calls(caller.steady),
            calls(caller.peak),
            calls(caller.restart),
            calls(caller.after_outage),
        ]);
    }
    table.add_row(vec![
        "all".to_owned(),
        calls(account.total(|caller| caller.steady)),
        calls(account.total(|caller| caller.peak)),
        calls(account.total(|caller| caller.restart)),
        calls(account.total(|caller| caller.after_outage)),
    ]);
    table
}

pub(crate) fn shares(account: &ResourceEstimate) -> Table {
    let mut table = markdown(&["control bytes per second", "member", "relay"]);
    for share in &account.shares {
        let name = share.name.to_owned();
        table.add_row(vec![name, number(share.member), number(share.relay)]);
    }
    let (member, relay) = account.control_bytes_per_s();
    table.add_row(vec!["all".to_owned(), number(member), number(relay)]);
    table
}

pub(crate) fn memory(account: &ResourceEstimate) -> Table {
    let mut table = markdown(&["control memory of a node", "bytes"]);
    for memory in &account.memory {
        table.add_row(vec![memory.name.to_owned(), number(memory.bytes)]);
    }
    table.add_row(vec!["all".to_owned(), number(account.memory_bytes())]);
    table
}

fn calls(calls: KvCalls) -> String {
    format!(
        "{} + {}, {}",
        number(calls.reads),
        number(calls.watches),
        number(calls.writes)
    )
}

fn fit(fit: &Fit) -> String {
    match fit {
        Fit::Linear { base, slope } => format!("{} + {} x", number(*base), number(*slope)),
        Fit::Power { factor, exponent } => format!("{} x^{exponent:.3}", number(*factor)),
    }
}

/// Formats whole numbers and values from 1,000 without decimals, values from 1 with two, and smaller ones with four.
fn number(value: f64) -> String {
    let size = value.abs();
    if size >= 1_000.0 || value == value.round() {
        return format!("{value:.0}");
    }
    if size >= 1.0 {
        return format!("{value:.2}");
    }
    format!("{value:.4}")
}

fn markdown(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(header.to_vec());
    table
}
