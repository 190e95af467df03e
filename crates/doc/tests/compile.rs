//! Compiles the sample documents.

use lw_base::WallMs;
use lw_doc::{Document, PlannedStopEntry, compile, parse_document, parse_rfc3339};
use test_case::test_case;

fn sample(name: &str) -> Document {
    let path = format!("{}/../../samples/{name}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the sample exists");
    parse_document(name, &text)
        .expect("the sample is valid")
        .document
}

/// Guards against entities of a document that are missing from the compiled configuration.
#[test_case("sahyog.json", 18, "member-portal")]
#[test_case("riad.json", 12, "robot-status")]
fn compiling_keeps_all_entities(name: &str, engines: usize, plain: &str) {
    let document = sample(name);
    let fleet = compile(&document, 7);
    assert_eq!(fleet.revision, 7);
    assert_eq!(fleet.regions.len(), 2);
    assert_eq!(fleet.zones.len(), 3);
    assert_eq!(fleet.targets.len(), engines + 3);
    assert_eq!(fleet.customers.len(), document.customers.len());
    assert_eq!(fleet.model_versions.len(), 2);
    let service = &fleet.services[fleet.services.key(plain).expect("the service exists")];
    let targets: usize = service.targets_by_region.iter().map(Vec::len).sum();
    assert_eq!(targets, 3);
    let delays: Vec<_> = fleet
        .regions
        .iter()
        .map(|(_, _, r)| r.delay_ms.clone())
        .collect();
    assert!(delays[0][0] == 0.0 && delays[0][1] > 0.0 && delays[1][1] == 0.0);
}

/// Guards against a planned stop that does not apply to its targets: they would receive new requests during the stop
/// (`Invariant::LeavingTargetIdle`).
#[test]
fn planned_stops_apply_to_targets_zones_and_hosts() {
    let mut document = sample("sahyog.json");
    let stop = PlannedStopEntry {
        zones: vec!["rajkot-1".into()],
        hosts: vec!["host-a".into()],
        targets: vec!["ga-01".into()],
        start: "2026-12-03T20:00:00Z".into(),
        end: Some("2026-12-03T21:00:00+00:30".into()),
    };
    document.planned_stops.insert("week-3".into(), stop);
    let fleet = compile(&document, 1);
    let start = parse_rfc3339("2026-12-03T20:00:00Z").expect("the time is valid");
    let end = start.plus_ms(30 * 60 * 1000);
    let stopped = |name: &str, now: WallMs| {
        let key = fleet.targets.key(name).expect("the target exists");
        fleet.targets[key].is_in_planned_stop(now)
    };
    for target in ["ga-01", "sq-06", "mp-03"] {
        assert!(!stopped(target, WallMs(start.0 - 1)), "{target}");
        assert!(stopped(target, start), "{target}");
        assert!(!stopped(target, end), "{target}");
    }
    assert!(!stopped("ga-02", start));
    assert_eq!(fleet.host_stops["host-a"].len(), 1);
}
