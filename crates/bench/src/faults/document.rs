//! The configuration document of a fault-injection run.

use lw_doc::Document;
use serde_json::{Value, json};

use crate::faults::targets::Targets;

/// Builds the initial document.
///
/// Fails if the JSON form does not match the types of the document.
pub(crate) fn initial_document(targets: &Targets) -> std::io::Result<Document> {
    let both = ["east", "west"];
    let service = |kind: &str, priority: &str, regions: &[&str], deadline_ms: u64| {
        json!({
            "kind": kind, "priority": priority, "regions": regions, "deadline_ms": deadline_ms,
            // Low enough that requests are queued when targets are slow.
            "max_in_flight_per_target": 4,
            "non_idempotent_methods": if kind == "plain" { vec!["POST"] } else { vec![] },
        })
    };
    let listed = targets.all.iter().map(|target| {
        let entry = json!({
            "service": target.service, "zone": target.zone, "resume": true, "slots": 4,
            "address": target.server.address().to_string(),
        });
        (target.name.clone(), entry)
    });
    parse_entry(json!({
        "format": 1,
        "regions": {
            "east": {"zones": ["east-1", "east-2"], "delay_ms": {"west": 20}},
            "west": {"zones": ["west-1", "west-2"], "delay_ms": {"east": 20}},
        },
        "services": {
            "portal": service("plain", "lookup", &both, 4_000),
            "stock": service("plain", "lookup", &["west"], 4_000),
            "chat": service("model", "interactive", &both, 5_000),
            "review": service("model", "batch", &both, 8_000),
        },
        "targets": listed.collect::<serde_json::Map<_, _>>(),
        "customers": {"bound-east": {"home_region": "east"}, "bound-west": {"home_region": "west"}, "mover": {}},
    }))
}

/// Parses a document or one of its entries from JSON.
pub(crate) fn parse_entry<T: serde::de::DeserializeOwned>(value: Value) -> std::io::Result<T> {
    serde_json::from_value(value).map_err(std::io::Error::other)
}
