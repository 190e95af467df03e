//! Measures the bytes of load messages by number of nodes in a region.
//!
//! Every 2 s, each host sends one message to every other host of its region. It contains the load of the targets that
//! the host polls and the host's 9 most active customers.

use lw_admit::{CustomerId, CustomerLimits, MAX_REPORTED_CUSTOMERS};
use lw_base::MonoMs;
use lw_node::LoadBoardMessage;
use lw_peer::Message;
use lw_route::{LoadReport, encode_load};

use crate::slopes::frame_sizer::FrameSizer;
use crate::slopes::slope::Slope;
use crate::slopes::target::{NODES, TARGETS, largest_region, largest_region_targets};

const NODES_OF_REGION: [usize; 4] = [2, 8, 22, 40];
const MESSAGES_PER_S: f64 = 0.5;

pub(crate) fn measure() -> Vec<Slope> {
    let frame_sizer = FrameSizer::new();
    let rows = |customers| NODES_OF_REGION.map(|nodes| bytes_per_s(&frame_sizer, nodes, customers));
    let targets = rows(false).map(|(targets, _, bytes)| (targets, bytes));
    let customers = rows(true).map(|(_, nodes, bytes)| (nodes, bytes));
    vec![
        Slope::new(
            "load.board_bytes_per_s",
            "load messages that a host sends and receives, without customers",
            "bytes/s",
            "targets of the region",
            targets,
            largest_region_targets() as f64,
        ),
        Slope::new(
            "load.full_bytes_per_s",
            "load messages that a host sends and receives, with 9 active customers each",
            "bytes/s",
            "nodes of the region",
            customers,
            largest_region() as f64,
        ),
    ]
}

/// Returns the targets of the region, its nodes, and the bytes per second that a host sends and receives.
fn bytes_per_s(frame_sizer: &FrameSizer, nodes: usize, with_customers: bool) -> (f64, f64, f64) {
    let targets = TARGETS * nodes / NODES;
    let mut message = LoadBoardMessage::new(u64::MAX / 3);
    let mut next = 0;
    for number in (0..targets as u32).step_by(nodes) {
        let report = LoadReport {
            requests: 12,
            speed_tokens_per_s: Some(40.0),
        };
        message.push_load(&mut next, number, encode_load(&report));
    }
    if with_customers {
        message.set_customers(&active_customers());
    }
    let frame = frame_sizer.frame_bytes(&Message::LoadBoard(message.encode()));
    let bytes = 2.0 * MESSAGES_PER_S * (nodes - 1) as f64 * frame as f64;
    (targets as f64, nodes as f64, bytes)
}

/// Returns the usage report of a busy host that sees more customers per second than it may report.
fn active_customers() -> Vec<(CustomerId, f64)> {
    let mut limits = CustomerLimits::default();
    for number in 0..MAX_REPORTED_CUSTOMERS as u64 * 4 {
        let customer = CustomerId::of_name(&format!("customer-{number:05}"));
        let _ = limits.admit(MonoMs(number), customer, 20.0, 22);
    }
    let mut active = Vec::new();
    limits.take_usage_report(MonoMs(1_000), &mut active);
    active
}
