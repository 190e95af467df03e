//! Encoded bytes of documents, differences and digests, which hosts store and exchange.
//!
//! A renamed, moved or retyped field or variant would break stored documents, hosts of an earlier version, and digests.

use std::collections::BTreeMap;
use std::fmt::Debug;

use lw_base::PriorityClass;
use lw_doc::{
    AuditKeepDays, Change, CustomerEntry, Difference, Digest, Document, EngineEntry, ModelEntry,
    PlannedStopEntry, RegionEntry, ServiceEntry, ServiceKind, TargetEntry, Weights,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Asserts that the JSON text `fixture` decodes to `value`, and that `value` encodes to it.
fn assert_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, fixture: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), fixture);
    assert_eq!(&serde_json::from_str::<T>(fixture).unwrap(), value);
}

/// Asserts that `fixture` (postcard, in hexadecimal) decodes to `value`, and that `value` encodes to it.
fn assert_postcard<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, fixture: &str) {
    let bytes: Vec<u8> = (0..fixture.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&fixture[start..start + 2], 16).unwrap())
        .collect();
    let encoded = postcard::to_stdvec(value).unwrap();
    let hex: String = encoded.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, fixture, "{value:?}");
    assert_eq!(&postcard::from_bytes::<T>(&bytes).unwrap(), value);
}

fn service(kind: ServiceKind, priority: PriorityClass) -> ServiceEntry {
    ServiceEntry {
        kind,
        priority,
        regions: vec!["r1".into()],
        allowed_regions: vec!["r2".into()],
        deadline_ms: 101,
        max_in_flight_per_target: 102,
        queue_entries: 103,
        queue_bytes: 104,
        non_idempotent_methods: vec!["PUT".into()],
    }
}

fn document() -> Document {
    let region = RegionEntry {
        zones: vec!["z1".into()],
        delay_ms: BTreeMap::from([("r2".into(), 1.5)]),
    };
    let target = TargetEntry {
        service: "s1".into(),
        zone: "z1".into(),
        address: "10.0.0.1:1".into(),
        fencing: true,
        resume: false,
        slots: 105,
    };
    let customer = CustomerEntry {
        home_region: Some("r1".into()),
        requests_per_s: Some(2.5),
        key_digest: "ab".into(),
    };
    let stop = PlannedStopEntry {
        zones: vec!["z2".into()],
        hosts: vec!["h1".into()],
        targets: vec!["t1".into()],
        start: "2026-12-03T20:00:00Z".into(),
        end: Some("2026-12-03T21:00:00Z".into()),
    };
    let model = ModelEntry {
        version: "v1".into(),
    };
    Document {
        format: 1,
        weights: Weights {
            cost: 0.1,
            latency: 0.2,
            cross_region: 0.3,
        },
        regions: BTreeMap::from([("r1".into(), region)]),
        services: BTreeMap::from([
            (
                "s1".into(),
                service(ServiceKind::Model, PriorityClass::Lookup),
            ),
            (
                "s2".into(),
                service(ServiceKind::Plain, PriorityClass::Batch),
            ),
        ]),
        targets: BTreeMap::from([("t1".into(), target)]),
        customers: BTreeMap::from([("c1".into(), customer)]),
        planned_stops: BTreeMap::from([("p1".into(), stop)]),
        engine: EngineEntry {
            models: BTreeMap::from([("s1".into(), model)]),
        },
        audit_keep_days: AuditKeepDays(31),
    }
}

#[test]
fn documents_keep_their_bytes() {
    assert_json(
        &document(),
        r#"{"format":1,"weights":{"cost":0.1,"latency":0.2,"cross_region":0.3},"regions":{"r1":{"zones":["z1"],"delay_ms":{"r2":1.5}}},"services":{"s1":{"kind":"model","priority":"lookup","regions":["r1"],"allowed_regions":["r2"],"deadline_ms":101,"max_in_flight_per_target":102,"queue_entries":103,"queue_bytes":104,"non_idempotent_methods":["PUT"]},"s2":{"kind":"plain","priority":"batch","regions":["r1"],"allowed_regions":["r2"],"deadline_ms":101,"max_in_flight_per_target":102,"queue_entries":103,"queue_bytes":104,"non_idempotent_methods":["PUT"]}},"targets":{"t1":{"service":"s1","zone":"z1","address":"10.0.0.1:1","fencing":true,"resume":false,"slots":105}},"customers":{"c1":{"home_region":"r1","requests_per_s":2.5,"key_digest":"ab"}},"planned_stops":{"p1":{"zones":["z2"],"hosts":["h1"],"targets":["t1"],"start":"2026-12-03T20:00:00Z","end":"2026-12-03T21:00:00Z"}},"engine":{"models":{"s1":{"version":"v1"}}},"audit_keep_days":31}"#,
    );
    assert_json(
        &Document::default(),
        r#"{"format":0,"weights":{"cost":0.4,"latency":0.4,"cross_region":0.2},"regions":{},"services":{},"targets":{},"customers":{},"planned_stops":{},"engine":{"models":{}}}"#,
    );
    assert_json(&CustomerEntry::default(), "{}");
    assert_json(
        &PlannedStopEntry::default(),
        r#"{"zones":[],"hosts":[],"targets":[],"start":""}"#,
    );
}

#[test]
fn differences_and_digests_keep_their_bytes() {
    let difference = Difference {
        base: Digest([1; 32]),
        result: Digest([2; 32]),
        changes: vec![
            Change {
                path: "weights".into(),
                value: Some(serde_json::json!(3)),
            },
            Change {
                path: "targets/t1".into(),
                value: None,
            },
        ],
    };
    assert_json(
        &difference,
        r#"{"base":"0101010101010101010101010101010101010101010101010101010101010101","result":"0202020202020202020202020202020202020202020202020202020202020202","changes":[{"path":"weights","value":3},{"path":"targets/t1"}]}"#,
    );
    assert_postcard(
        &Digest([3; 32]),
        "0303030303030303030303030303030303030303030303030303030303030303",
    );
    assert_json(
        &document().digest(),
        r#""28d29111cd641765a259a16719f78861ca7c66f7f9bde666de3e2f2174aed071""#,
    );
    assert_json(
        &Document::default().digest(),
        r#""aaa78bbc643326d6a377375c89f4766e761b1567eadfff2e83a7df96198de5e3""#,
    );
}
