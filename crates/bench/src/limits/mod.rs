//! Compares ways to share the limits of targets between hosts.

mod load;
mod model;
mod way;

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;

use crate::options::LimitsOptions;
use crate::region::{Faults, NO_FAULTS};

pub use load::Load;
pub use model::{LimitOutcome, LimitRun, run_limits};
pub use way::Way;

/// Faults by name.
pub const LIMIT_FAULTS: [(&str, Faults); 6] = [
    ("calm", NO_FAULTS),
    (
        "half cut off for 6 s",
        Faults {
            connects: |at_ms, from, to| {
                let is_even = |host: usize| host.is_multiple_of(2);
                !(2_000..8_000).contains(&at_ms) || (is_even(from) && is_even(to))
            },
            ..NO_FAULTS
        },
    ),
    (
        "halves apart for 6 s",
        Faults {
            connects: |at_ms, from, to| {
                let is_even = |host: usize| host.is_multiple_of(2);
                !(2_000..8_000).contains(&at_ms) || is_even(from) == is_even(to)
            },
            ..NO_FAULTS
        },
    ),
    (
        "half frozen for 3 s",
        Faults {
            is_frozen: |at_ms, host| (3_000..6_000).contains(&at_ms) && host.is_multiple_of(2),
            ..NO_FAULTS
        },
    ),
    (
        "all restarted",
        Faults {
            restart_ms: |_| Some((4_000, 5_000)),
            ..NO_FAULTS
        },
    ),
    (
        "a quarter added",
        Faults {
            added_ms: |host| if host % 4 == 3 { 4_000 } else { 0 },
            ..NO_FAULTS
        },
    ),
];

const TARGETS: usize = 4;
const LIMIT_PER_S: f64 = 6.0;
const ASKED_PER_S: f64 = 18.0;
const END_MS: u64 = 16_000;

/// Prints the comparison.
///
/// # Errors
///
/// Returns no error; the result has the type of the other benchmarks.
pub(crate) fn run(options: &LimitsOptions) -> std::io::Result<()> {
    println!(
        "seeds {} to {}, {TARGETS} targets of {LIMIT_PER_S} requests per second, {ASKED_PER_S} asked of each, {END_MS} ms",
        options.seed,
        options.seed + options.seeds - 1
    );
    let sizes = options.hosts.map_or(vec![8, 300], |hosts| vec![hosts]);
    for hosts in sizes {
        let base = LimitRun {
            hosts,
            targets: TARGETS,
            limit_per_s: LIMIT_PER_S,
            asked_per_s: ASKED_PER_S,
            load: Load::Even,
            faults: &NO_FAULTS,
            way: Way::Alone,
            end_ms: END_MS,
            seed: options.seed,
        };
        let mut used = table("used part of the limits, least of the seeds");
        for load in Load::ALL {
            let of_way = |way| {
                let outcomes = run_seeds(&LimitRun { load, way, ..base }, options.seeds);
                let used = outcomes.iter().map(|outcome| outcome.used);
                used.fold(f64::INFINITY, f64::min)
            };
            used.add_row(row(load.name(), of_way));
        }
        let mut peaks =
            table("most requests in 4 s, as a multiple of the limit, highest of the seeds");
        for (name, faults) in &LIMIT_FAULTS {
            let of_way = |way| {
                let outcomes = run_seeds(
                    &LimitRun {
                        faults,
                        way,
                        ..base
                    },
                    options.seeds,
                );
                let peaks = outcomes.iter().map(|outcome| outcome.peak_ratio);
                peaks.fold(0.0, f64::max)
            };
            peaks.add_row(row(name, of_way));
        }
        println!("\n{hosts} hosts\n\n{used}\n\n{peaks}");
    }
    Ok(())
}

fn run_seeds(run: &LimitRun<'_>, seeds: u64) -> Vec<LimitOutcome> {
    let seeds = run.seed..run.seed + seeds;
    seeds
        .map(|seed| run_limits(&LimitRun { seed, ..*run }))
        .collect()
}

fn table(title: &str) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    let ways = Way::ALL.map(|way| way.name().to_owned());
    table.set_header(std::iter::once(title.to_owned()).chain(ways));
    table
}

fn row(name: &str, of_way: impl Fn(Way) -> f64) -> Vec<String> {
    let values = Way::ALL.map(|way| format!("{:.2}", of_way(way)));
    std::iter::once(name.to_owned()).chain(values).collect()
}
