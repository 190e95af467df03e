//! Measures the distribution of configuration changes by number of nodes, and the calls of relays and publishers.

use crate::slopes::conf_fleet::{ConfFleet, Traffic};
use crate::slopes::documents::small_document;
use crate::slopes::kv_service::KvCalls;
use crate::slopes::slope::Slope;
use crate::slopes::target::{CHANGES_PER_DAY, NODES, SECONDS_PER_DAY, regions_for};

/// Numbers of nodes; regions keep the mean size of the target, which has 45 regions and 380 nodes.
const FLEET_SIZES: [usize; 4] = [8, 40, 120, NODES];
/// Changes per day: a tenth of the mean rate of the target, the mean rate, and ten times the mean rate.
const CHANGE_RATES: [f64; 3] = [
    CHANGES_PER_DAY / 10.0,
    CHANGES_PER_DAY,
    CHANGES_PER_DAY * 10.0,
];
/// Minimum number of changes of a measurement.
const MIN_CHANGES: f64 = 4.0;
/// Minimum duration of a measurement.
const MIN_SPAN_MS: f64 = 12_000.0;
const SETTLE_MS: u64 = 15_000;

/// The measured values of one fleet size and rate of changes.
#[derive(Clone, Copy, Debug)]
struct RateRun {
    messages_per_change_and_node: f64,
    bytes_per_change_and_node: f64,
    busiest_bytes_per_s: f64,
    relays_per_s: KvCalls,
    publishing_per_change: KvCalls,
    in_force_ms: f64,
}

/// The slopes, and the calls that the resource estimate uses.
pub(crate) struct Distribution {
    pub(crate) slopes: Vec<Slope>,
    pub(crate) relays_per_s: KvCalls,
    pub(crate) relays_peak_per_s: KvCalls,
    pub(crate) publishing_per_change: KvCalls,
}

pub(crate) fn measure(seed: u64) -> Distribution {
    let by_nodes: Vec<(f64, RateRun)> = FLEET_SIZES
        .into_iter()
        .map(|nodes| (nodes as f64, run(nodes, CHANGES_PER_DAY, seed)))
        .collect();
    let mean = by_nodes[FLEET_SIZES.len() - 1].1;
    let by_rate: Vec<(f64, RateRun)> = CHANGE_RATES
        .into_iter()
        .map(|rate| match rate == CHANGES_PER_DAY {
            true => (rate, mean),
            false => (rate, run(NODES, rate, seed)),
        })
        .collect();
    let peak = by_rate[CHANGE_RATES.len() - 1].1;
    let mut slopes = node_slopes(&by_nodes);
    slopes.extend(rate_slopes(&by_rate));
    Distribution {
        slopes,
        relays_per_s: mean.relays_per_s,
        relays_peak_per_s: peak.relays_per_s,
        publishing_per_change: mean.publishing_per_change,
    }
}

fn node_slopes(runs: &[(f64, RateRun)]) -> Vec<Slope> {
    let slope = |id, what, unit, value: &dyn Fn(&RateRun) -> f64| {
        let points = runs.iter().map(|(nodes, run)| (*nodes, value(run)));
        Slope::new(id, what, unit, "nodes", points, NODES as f64)
    };
    vec![
        slope(
            "distribution.messages",
            "peer messages per change and node",
            "messages",
            &|run| run.messages_per_change_and_node,
        ),
        slope(
            "distribution.bytes",
            "frame bytes sent per change and node",
            "bytes",
            &|run| run.bytes_per_change_and_node,
        ),
        slope(
            "distribution.busiest_bytes_per_s",
            "frame bytes sent and received by the busiest node at 36,000 changes a day",
            "bytes/s",
            &|run| run.busiest_bytes_per_s,
        ),
        slope(
            "distribution.in_force_ms",
            "longest time until a change is in force, by rounds and stated delays",
            "ms",
            &|run| run.in_force_ms,
        ),
        slope(
            "kv.relay_reads_per_s",
            "reads of the relays at 36,000 changes a day",
            "calls/s",
            &|run| run.relays_per_s.reads,
        ),
        slope(
            "kv.relay_watches_per_s",
            "watches of the relays at 36,000 changes a day",
            "calls/s",
            &|run| run.relays_per_s.watches,
        ),
    ]
}

fn rate_slopes(runs: &[(f64, RateRun)]) -> Vec<Slope> {
    let slope = |id, what, unit, value: &dyn Fn(&RateRun) -> f64| {
        let points = runs.iter().map(|(rate, run)| (*rate, value(run)));
        let target = CHANGES_PER_DAY * 10.0;
        Slope::new(id, what, unit, "changes a day", points, target)
    };
    vec![
        slope(
            "kv.relay_calls_per_s_by_rate",
            "reads and watches of the relays of 380 nodes",
            "calls/s",
            &|run| run.relays_per_s.all_reads(),
        ),
        slope(
            "kv.publish_reads_per_change",
            "reads of a publisher",
            "calls",
            &|run| run.publishing_per_change.reads,
        ),
        slope(
            "kv.publish_writes_per_change",
            "writes of a publisher, without snapshots",
            "calls",
            &|run| run.publishing_per_change.writes,
        ),
        slope(
            "distribution.in_force_ms_by_rate",
            "longest time until a change is in force at 380 nodes",
            "ms",
            &|run| run.in_force_ms,
        ),
        slope(
            "distribution.busiest_bytes_per_s_by_rate",
            "frame bytes sent and received by the busiest of 380 nodes",
            "bytes/s",
            &|run| run.busiest_bytes_per_s,
        ),
    ]
}

fn run(nodes: usize, changes_per_day: f64, seed: u64) -> RateRun {
    let mut fleet = ConfFleet::new(nodes, regions_for(nodes), seed, small_document());
    fleet.start(1_000);
    fleet.run_for(2_000);
    fleet.publish(0);
    fleet.run_for(SETTLE_MS);
    let change_interval_ms = SECONDS_PER_DAY * 1_000.0 / changes_per_day;
    let changes = (MIN_SPAN_MS / change_interval_ms).max(MIN_CHANGES).round();
    fleet.reset_traffic();
    let relays = KvCalls::of(&fleet.relays);
    let publishing = KvCalls::of(&fleet.publishing);
    fleet.in_force_ms.clear();
    for _ in 0..changes as u64 {
        fleet.publish_change();
        fleet.run_for(change_interval_ms as u64);
    }
    let per_s = 1_000.0 / (changes * change_interval_ms);
    let relays = KvCalls::of(&fleet.relays).since(relays).scaled(per_s);
    let publishing = KvCalls::of(&fleet.publishing).since(publishing);
    let busiest = fleet.busiest_node_bytes();
    fleet.run_for(SETTLE_MS);
    let per_change_and_node = 1.0 / (changes * nodes as f64);
    let Traffic { messages, bytes } = fleet.traffic;
    assert_eq!(
        fleet.in_force_ms.len(),
        changes as usize,
        "every change is in force"
    );
    RateRun {
        messages_per_change_and_node: messages as f64 * per_change_and_node,
        bytes_per_change_and_node: bytes as f64 * per_change_and_node,
        busiest_bytes_per_s: busiest as f64 * per_s,
        relays_per_s: relays,
        publishing_per_change: publishing.scaled(1.0 / changes),
        in_force_ms: fleet.in_force_ms.iter().copied().max().unwrap_or(0) as f64,
    }
}
