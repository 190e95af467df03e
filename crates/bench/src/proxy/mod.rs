//! The subcommand `proxy`: measures the cost of the proxied path relative to direct requests to the fake targets in
//! the same run.

mod load;
mod measured_system;
mod round;

use std::io;

use comfy_table::{Table, presets};

use crate::options::ProxyOptions;
use crate::proxy::measured_system::MeasuredSystem;
use crate::proxy::round::{Round, measure};

/// Requests per second of the whole system at the target size.
const TARGET_REQUESTS_PER_S: f64 = 41_000.0;
/// Tokens per second of the whole system at the target size.
const TARGET_TOKENS_PER_S: f64 = 9_600_000.0;
/// Entry hosts at the target size.
const TARGET_NODES: f64 = 380.0;

/// Median CPU time per request or token, in microseconds: direct to the fake target and through the host.
struct Cost {
    direct_us: f64,
    proxied_us: f64,
}

impl Cost {
    fn added_us(&self) -> f64 {
        (self.proxied_us - self.direct_us).max(0.0)
    }

    fn ratio(&self) -> f64 {
        self.proxied_us / self.direct_us
    }
}

/// Measures the cost of the proxied path and prints it.
///
/// # Errors
///
/// Returns an error if the fake targets or the host cannot be started, or a response is incomplete.
pub(crate) fn run(options: &ProxyOptions) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    let (plain, token) = runtime.block_on(costs(options))?;
    print(options, &plain, &token);
    Ok(())
}

async fn costs(options: &ProxyOptions) -> io::Result<(Cost, Cost)> {
    let system = MeasuredSystem::start().await?;
    let plain = Round {
        count: options.requests,
        concurrency: options.concurrency,
        tokens: None,
    };
    let streams = Round {
        count: options.streams,
        concurrency: options.concurrency,
        tokens: Some(options.tokens),
    };
    let plain = cost(&system, plain, options.rounds).await?;
    let token = cost(&system, streams, options.rounds).await?;
    system.stop().await;
    Ok((plain, token))
}

/// Alternates direct and proxied rounds, so that changes of the machine's load affect both.
async fn cost(system: &MeasuredSystem, round: Round, rounds: u32) -> io::Result<Cost> {
    // Warm-up rounds, which open connections; they are not counted.
    measure(system.direct(round.tokens.is_some()), round).await?;
    measure(system.proxied(), round).await?;
    let (mut direct, mut proxied) = (Vec::new(), Vec::new());
    for _ in 0..rounds.max(1) {
        direct.push(measure(system.direct(round.tokens.is_some()), round).await?);
        proxied.push(measure(system.proxied(), round).await?);
    }
    Ok(Cost {
        direct_us: median(direct),
        proxied_us: median(proxied),
    })
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn print(options: &ProxyOptions, plain: &Cost, token: &Cost) {
    println!(
        "{} plain requests and {} streams of {} tokens a round, {} at the same time, {} rounds",
        options.requests, options.streams, options.tokens, options.concurrency, options.rounds
    );
    println!(
        "CPU time of the caller, the fake target and, if proxied, the host, all in one process"
    );
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(vec![
        "unit",
        "proxied / bare",
        "added by the host / bare",
        "units per core of the host",
        "at the target, per node",
        "cores per node",
    ]);
    for (unit, cost, target) in [
        ("request", plain, TARGET_REQUESTS_PER_S),
        ("token", token, TARGET_TOKENS_PER_S),
    ] {
        let added_us = cost.added_us();
        let per_node = target / TARGET_NODES;
        table.add_row(vec![
            unit.to_owned(),
            format!("{:.2}", cost.ratio()),
            format!("{:.2}", added_us / cost.direct_us),
            format!("{:.0}", 1_000_000.0 / added_us),
            format!("{per_node:.0}"),
            format!("{:.2}", per_node * added_us / 1_000_000.0),
        ]);
    }
    println!("{table}");
}
