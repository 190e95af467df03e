//! Status of a host for operators.

use std::sync::Arc;

use lw_node::Node;
use serde_json::{Map, Value, json};

use crate::node_handle::NodeHandle;

/// Returns the fields of the status that the node provides; empty if the host has no node.
pub(crate) fn node_status(node_handle: &NodeHandle) -> Map<String, Value> {
    let Some(node) = node_handle.node() else {
        return Map::new();
    };
    let mut status = Map::new();
    let digest = node
        .reader()
        .load()
        .map(|config| config.mark.digest.to_string());
    status.insert("digest".to_owned(), json!(digest));
    status.insert("members".to_owned(), members(&node));
    status.insert("keys".to_owned(), keys(&node));
    status.insert("control".to_owned(), control(&node));
    status.insert("control_budget".to_owned(), control_budget(node_handle));
    status
}

fn members(node: &Arc<Node>) -> Value {
    let status = node.status();
    json!({
        "alive": status.alive_members,
        "leaving": status.leaving_members,
        "suspect": status.suspect_members,
        "dead": status.dead_members,
        "sees_half": status.sees_half,
        "clock_ok": status.clock_ok,
        "known_regions": status.known_regions,
        "peer_address": node.peer_address(),
    })
}

fn keys(node: &Arc<Node>) -> Value {
    let status = node.status();
    json!({
        "map_revision": status.map_revision,
        "owned_shards": status.owned_shards,
        "backup_shards": status.backup_shards,
        "records": status.records,
    })
}

/// Returns the current usage of control work, each value with its budget.
fn control_budget(node_handle: &NodeHandle) -> Value {
    let metrics = node_handle.control_metrics();
    let rows = metrics.iter().map(|metric| {
        json!({
            "figure": metric.name,
            "measured": metric.measured,
            "budget": metric.budget,
            "within": metric.measured.map(|measured| measured <= metric.budget),
        })
    });
    rows.collect()
}

/// Returns the counters of control work since the start.
fn control(node: &Arc<Node>) -> Value {
    let status = node.status();
    json!({
        "service_age_ms": status.service_age_ms,
        "sent_frames": status.sent_frames,
        "sent_bytes": status.sent_bytes,
        "received_frames": status.received_frames,
        "received_bytes": status.received_bytes,
        "dropped_frames": status.dropped_frames,
        "refused_frames": status.refused_frames.iter().copied().collect::<std::collections::BTreeMap<_, _>>(),
        "map_reads": status.map_reads,
        "map_writes": status.map_writes,
        "load_polls": status.load_polls,
        "busy_us": status.busy_us,
    })
}
