//! Measures the cost of starts: the transfer of a document to a new host, and a start of the whole fleet.

use lw_base::MonoMs;
use lw_conf::{ConfAction, ConfMessage, Replica};
use lw_doc::Document;
use lw_peer::Message;

use crate::slopes::conf_fleet::ConfFleet;
use crate::slopes::documents::{document, small_document};
use crate::slopes::frame_sizer::FrameSizer;
use crate::slopes::kv_service::KvCalls;
use crate::slopes::slope::Slope;
use crate::slopes::target::{CUSTOMERS, NODES, TARGETS, regions_for};

const DIVISORS: [usize; 3] = [100, 10, 1];
const FLEET_SIZES: [usize; 4] = [8, 40, 120, NODES];
/// Revisions since the last snapshot when the fleet starts; the maximum that occurs.
const MAX_ENTRIES: usize = lw_conf::REVISIONS_PER_SNAPSHOT as usize - 1;
/// A fleet that takes longer to start counts as not ready.
const READY_LIMIT_S: u64 = 60;

/// Calls on the key-value service during a start of the whole fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetStart {
    pub(crate) reads: f64,
    pub(crate) peak_reads_per_s: f64,
    /// Infinite if a host was not ready after [`READY_LIMIT_S`].
    pub(crate) ready_s: f64,
}

/// The slopes, and the starts and the recovery from an outage at the target size.
pub(crate) struct StartUp {
    pub(crate) slopes: Vec<Slope>,
    /// A start without rate limits of the service.
    pub(crate) fleet: FleetStart,
    /// Entries that one load of the configuration reads.
    pub(crate) entries_read: f64,
    /// A start with the rate limits of the service.
    pub(crate) limited: FleetStart,
    /// The recovery after an outage of the service.
    pub(crate) after_outage: FleetStart,
}

pub(crate) fn measure(seed: u64) -> StartUp {
    let transfers = DIVISORS.map(|divisor| {
        let (customers, targets) = (CUSTOMERS / divisor, TARGETS / divisor);
        let (messages, bytes) = transfer(document(customers, targets));
        ((customers + targets) as f64, messages, bytes)
    });
    let target = (CUSTOMERS + TARGETS) as f64;
    let size = "customers and targets";
    let (starts, limited, after_outage) = std::thread::scope(|scope| {
        let limited = scope.spawn(|| fleet_start(NODES, true, seed));
        let after_outage = scope.spawn(|| after_outage(seed));
        let starts = FLEET_SIZES.map(|nodes| (nodes as f64, fleet_start(nodes, false, seed)));
        let failed = "a measurement panicked";
        let (limited, after_outage) = (limited.join(), after_outage.join());
        (starts, limited.expect(failed), after_outage.expect(failed))
    });
    let by_nodes = |id, what, unit, value: &dyn Fn(&FleetStart) -> f64| {
        let points = starts.iter().map(|(nodes, start)| (*nodes, value(start)));
        Slope::new(id, what, unit, "nodes", points, NODES as f64)
    };
    let slopes = vec![
        Slope::new(
            "start.transfer_messages",
            "messages that bring the document to a new host",
            "messages",
            size,
            transfers.map(|(entities, messages, _)| (entities, messages)),
            target,
        ),
        Slope::new(
            "start.transfer_bytes",
            "frame bytes that bring the document to a new host",
            "bytes",
            size,
            transfers.map(|(entities, _, bytes)| (entities, bytes)),
            target,
        ),
        by_nodes(
            "kv.start_reads",
            "reads of configuration when all hosts start at once, with a snapshot of one part and the most entries",
            "calls",
            &|start| start.reads,
        ),
        by_nodes(
            "kv.start_peak_reads_per_s",
            "most of these reads in one second, without a rate limit",
            "calls/s",
            &|start| start.peak_reads_per_s,
        ),
    ];
    StartUp {
        slopes,
        fleet: starts[FLEET_SIZES.len() - 1].1,
        entries_read: MAX_ENTRIES as f64,
        limited,
        after_outage,
    }
}

/// Transfers a document between two replicas and returns the number of messages and their frame bytes.
fn transfer(document: Document) -> (f64, f64) {
    let mut fleet = ConfFleet::new(1, 1, 1, document);
    fleet.start(1);
    fleet.publish(0);
    let mut source = fleet.take_replica(0);
    let Some(mark) = source.mark() else {
        return (0.0, 0.0);
    };
    let frame_sizer = FrameSizer::new();
    let mut new_host = Replica::new("new-host");
    let mut out = Vec::new();
    let (mut messages, mut bytes, mut now) = (0.0, 0.0, 0);
    new_host.on_peer_mark(MonoMs(0), "source", mark, &mut out);
    while new_host.mark() != Some(mark) && !out.is_empty() {
        let mut replies = Vec::new();
        for action in std::mem::take(&mut out) {
            let ConfAction::Send { to, message } = action else {
                continue;
            };
            now += 1;
            messages += 1.0;
            bytes += frame_bytes(&frame_sizer, &message);
            let (receiver, sender) = match to.as_str() {
                "source" => (&mut source, "new-host"),
                _ => (&mut new_host, "source"),
            };
            receiver.on_message(MonoMs(now), sender, message, &mut replies);
        }
        out = replies;
    }
    (messages, bytes)
}

fn frame_bytes(frame_sizer: &FrameSizer, message: &ConfMessage) -> f64 {
    let body = message.encode();
    let frame = match message {
        ConfMessage::Pull { .. } => Message::ConfigPull(body),
        _ => Message::ConfigReply(body),
    };
    frame_sizer.frame_bytes(&frame) as f64
}

fn fleet_with_entries(nodes: usize, entries: usize, seed: u64) -> ConfFleet {
    let mut fleet = ConfFleet::new(nodes, regions_for(nodes), seed, small_document());
    fleet.publish(0);
    for _ in 0..entries {
        fleet.publish_change();
    }
    fleet
}

fn fleet_start(nodes: usize, limited: bool, seed: u64) -> FleetStart {
    let mut fleet = fleet_with_entries(nodes, MAX_ENTRIES, seed);
    if limited {
        fleet.limit_service();
    }
    fleet.restart_all(1_000);
    count_until_ready(&mut fleet)
}

/// Measures the reads after an outage of the service of one minute; every host keeps its revision.
fn after_outage(seed: u64) -> FleetStart {
    let mut fleet = fleet_with_entries(NODES, 0, seed);
    fleet.start(1_000);
    fleet.run_for(15_000);
    fleet.set_outage(true);
    fleet.run_for(60_000);
    fleet.set_outage(false);
    let mut peak: f64 = 0.0;
    let start = KvCalls::of(&fleet.relays);
    let mut before = start;
    for _ in 0..15 {
        fleet.run_for(1_000);
        let calls = KvCalls::of(&fleet.relays);
        peak = peak.max(calls.since(before).all_reads());
        before = calls;
    }
    FleetStart {
        reads: before.since(start).all_reads(),
        peak_reads_per_s: peak,
        ready_s: 0.0,
    }
}

fn count_until_ready(fleet: &mut ConfFleet) -> FleetStart {
    let start = KvCalls::of(&fleet.relays);
    let mut before = start;
    let mut peak: f64 = 0.0;
    let mut ready_s = f64::INFINITY;
    for second in 1..=READY_LIMIT_S {
        fleet.run_for(1_000);
        let calls = KvCalls::of(&fleet.relays);
        peak = peak.max(calls.since(before).all_reads());
        before = calls;
        if fleet.all_ready() {
            ready_s = second as f64;
            break;
        }
    }
    FleetStart {
        reads: before.since(start).all_reads(),
        peak_reads_per_s: peak,
        ready_s,
    }
}
