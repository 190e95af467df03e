//! Bytes of load reports and of the exchange of active customers, by targets and nodes of a region.
//!
//! A target takes the two bytes of [`encode_load`]. The message around them is not written yet; the measurement
//! assumes a list of two-byte loads behind the revision, in the order of the targets of the sender, and per customer
//! the 8-byte hash with a 4-byte rate. Each host sends to every other host of the region every 2 s its own targets,
//! and every second its 64 most active customers (design 5.9 and 5.10).

use bytes::Bytes;
use lw_admit::{CustomerId, CustomerLimits, EXCHANGED_CUSTOMERS};
use lw_base::MonoMs;
use lw_peer::Message;
use lw_route::{LoadReport, encode_load};

use crate::slopes::slope::Slope;
use crate::slopes::target::{NODES, TARGETS, largest_region, largest_region_targets};
use crate::slopes::wire::Wire;

/// Nodes of the region.
const NODES_OF_REGION: [usize; 4] = [2, 8, 22, 40];
/// Targets of the region, with the nodes that poll them.
const TARGETS_OF_REGION: [usize; 4] = [80, 250, 637, 1_200];
const REPORTS_PER_S: f64 = 0.5;
/// The revision in front of the loads.
const REVISION_BYTES: usize = 8;

pub(crate) fn measure() -> Vec<Slope> {
    let wire = Wire::new();
    let board =
        TARGETS_OF_REGION.map(|targets| (targets as f64, board_bytes_per_s(&wire, targets)));
    let customers = NODES_OF_REGION.map(|nodes| (nodes as f64, customer_bytes_per_s(&wire, nodes)));
    vec![
        Slope::new(
            "load.board_bytes_per_s",
            "load reports that a host sends and receives",
            "bytes/s",
            "targets of the region",
            board,
            largest_region_targets() as f64,
        ),
        Slope::new(
            "load.customers_bytes_per_s",
            "active customers that a host sends and receives",
            "bytes/s",
            "nodes of the region",
            customers,
            largest_region() as f64,
        ),
    ]
}

fn board_bytes_per_s(wire: &Wire, targets: usize) -> f64 {
    let nodes = (targets * NODES).div_ceil(TARGETS).max(2);
    let report = LoadReport {
        requests: 12,
        speed_tokens_per_s: Some(40.0),
    };
    let mut body = vec![0; REVISION_BYTES];
    for _ in 0..targets.div_ceil(nodes) {
        body.extend_from_slice(&encode_load(&report));
    }
    let frame = wire.bytes(&Message::LoadBoard(Bytes::from(body)));
    2.0 * REPORTS_PER_S * (nodes - 1) as f64 * frame as f64
}

fn customer_bytes_per_s(wire: &Wire, nodes: usize) -> f64 {
    let frame = wire.bytes(&Message::LoadBoard(Bytes::from(active_customers())));
    2.0 * (nodes - 1) as f64 * frame as f64
}

/// Returns what a busy host sends: it sees more customers a second than it may report.
fn active_customers() -> Vec<u8> {
    let mut limits = CustomerLimits::default();
    for number in 0..EXCHANGED_CUSTOMERS as u64 * 4 {
        let customer = CustomerId::of_name(&format!("customer-{number:05}"));
        let _ = limits.admit(MonoMs(number), customer, 20.0, 22);
    }
    let mut active = Vec::new();
    limits.exchange(MonoMs(1_000), &mut active);
    let mut body = Vec::new();
    for (customer, rate_per_s) in active {
        body.extend_from_slice(&customer.0.to_le_bytes());
        body.extend_from_slice(&(rate_per_s as f32).to_le_bytes());
    }
    body
}
