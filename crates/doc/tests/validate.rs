//! Validation reports each kind of fault at its path, alone and together with all others.

use std::net::SocketAddr;

use lw_doc::{Document, FaultKind, PlannedStopEntry, SourceMap, parse_document, validate};
use test_case::test_case;

fn sample(name: &str) -> Document {
    let path = format!("{}/../../samples/{name}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the sample exists");
    parse_document(name, &text).expect("valid").document
}

fn faults(document: &Document) -> Vec<(String, FaultKind)> {
    let gateway: Vec<SocketAddr> = vec!["[::ffff:127.0.0.1]:8080".parse().expect("valid")];
    let faults = validate(document, &SourceMap::default(), &gateway);
    faults
        .into_iter()
        .map(|fault| (fault.path, fault.kind))
        .collect()
}

/// Guards against a validation rule that rejects a valid document.
#[test_case("sahyog.json")]
#[test_case("riad.json")]
fn samples_are_valid(name: &str) {
    assert_eq!(faults(&sample(name)), []);
}

const TIME: &str = "2026-12-03T20:00:00Z";

fn add_stop(document: &mut Document, name: &str, start: &str, end: Option<&str>, host: &str) {
    let stop = PlannedStopEntry {
        hosts: vec![host.into()],
        start: start.into(),
        end: end.map(Into::into),
        ..PlannedStopEntry::default()
    };
    document.planned_stops.insert(name.into(), stop);
}

struct Case {
    path: &'static str,
    edit: fn(&mut Document),
    matches: fn(&FaultKind) -> bool,
}

/// Guards against invalid documents that reach the hosts; checks each kind of fault alone, and all together.
#[test]
fn every_fault_is_reported_at_its_path() {
    use FaultKind as K;
    let cases = [
        Case {
            path: "format",
            edit: |d| d.format = 2,
            matches: |k| matches!(k, K::UnsupportedFormat { found: 2 }),
        },
        Case {
            path: "audit_keep_days",
            edit: |d| d.audit_keep_days.0 = 0,
            matches: |k| matches!(k, K::OutOfRange { .. }),
        },
        Case {
            path: "weights/cost",
            edit: |d| d.weights.cost = f64::NAN,
            matches: |k| matches!(k, K::OutOfRange { .. }),
        },
        Case {
            path: "regions/saurashtra/zones",
            edit: |d| {
                d.regions
                    .get_mut("saurashtra")
                    .unwrap()
                    .zones
                    .push("rajkot-1".into());
            },
            matches: |k| matches!(k, K::DuplicateElement { .. }),
        },
        Case {
            path: "regions/gujarat-east/zones",
            edit: |d| {
                d.regions
                    .get_mut("gujarat-east")
                    .unwrap()
                    .zones
                    .push("rajkot-1".into());
            },
            matches: |k| matches!(k, K::ZoneOfOtherRegion { .. }),
        },
        Case {
            path: "regions/gujarat-east/delay_ms/gujarat-east",
            edit: |d| {
                let region = d.regions.get_mut("gujarat-east").unwrap();
                region.delay_ms.insert("gujarat-east".into(), 1.0);
            },
            matches: |k| matches!(k, K::DelayToItself),
        },
        Case {
            path: "services/grade-assistant/regions",
            edit: |d| {
                let service = d.services.get_mut("grade-assistant").unwrap();
                service.regions.push("saurashtra".into());
            },
            matches: |k| matches!(k, K::RegionNotAllowed { .. }),
        },
        Case {
            path: "services/stock-questions/allowed_regions",
            edit: |d| {
                let service = d.services.get_mut("stock-questions").unwrap();
                service.allowed_regions =
                    vec!["gujarat-east".into(), "saurashtra".into(), "x".into()];
            },
            matches: |k| matches!(k, K::UnknownRegion { .. }),
        },
        Case {
            path: "services/member-portal/deadline_ms",
            edit: |d| d.services.get_mut("member-portal").unwrap().deadline_ms = 0,
            matches: |k| matches!(k, K::OutOfRange { .. }),
        },
        Case {
            path: "services/member-portal/non_idempotent_methods",
            edit: |d| {
                let service = d.services.get_mut("member-portal").unwrap();
                service.non_idempotent_methods = vec!["post".into()];
            },
            matches: |k| matches!(k, K::InvalidMethod { .. }),
        },
        Case {
            path: "targets/ga-01/address",
            edit: |d| d.targets.get_mut("ga-01").unwrap().address = "127.0.0.1:8080".into(),
            matches: |k| matches!(k, K::AddressOfGateway { .. }),
        },
        Case {
            path: "targets/ga-03/address",
            edit: |d| d.targets.get_mut("ga-03").unwrap().address = "127.0.0.1:9102".into(),
            matches: |k| matches!(k, K::AddressInUse { .. }),
        },
        Case {
            path: "targets/ga-04/address",
            edit: |d| d.targets.get_mut("ga-04").unwrap().address = "backend:9000".into(),
            matches: |k| matches!(k, K::InvalidAddress { .. }),
        },
        Case {
            path: "targets/ga-05/zone",
            edit: |d| d.targets.get_mut("ga-05").unwrap().zone = "surat-1".into(),
            matches: |k| matches!(k, K::UnknownZone { .. }),
        },
        Case {
            path: "targets/ga-06/service",
            edit: |d| d.targets.get_mut("ga-06").unwrap().service = "grading".into(),
            matches: |k| matches!(k, K::UnknownService { .. }),
        },
        Case {
            path: "customers/foundry-12/home_region",
            edit: |d| d.customers.get_mut("foundry-12").unwrap().home_region = Some("x".into()),
            matches: |k| matches!(k, K::UnknownRegion { .. }),
        },
        Case {
            path: "customers/foundry-31/requests_per_s",
            edit: |d| d.customers.get_mut("foundry-31").unwrap().requests_per_s = Some(0.0),
            matches: |k| matches!(k, K::OutOfRange { .. }),
        },
        Case {
            path: "customers/a b",
            edit: |d| drop(d.customers.insert("a b".into(), Default::default())),
            matches: |k| matches!(k, K::InvalidName { .. }),
        },
        Case {
            path: "customers/print-shop-4/key_digest",
            edit: |d| d.customers.get_mut("print-shop-4").unwrap().key_digest = "secret".into(),
            matches: |k| matches!(k, K::InvalidDigest),
        },
        Case {
            path: "planned_stops/s1/start",
            edit: |d| add_stop(d, "s1", "tomorrow", None, "host-a"),
            matches: |k| matches!(k, K::InvalidTime { .. }),
        },
        Case {
            path: "planned_stops/s2/hosts",
            edit: |d| add_stop(d, "s2", TIME, None, "host a"),
            matches: |k| matches!(k, K::InvalidName { .. }),
        },
        Case {
            path: "planned_stops/s3/end",
            edit: |d| add_stop(d, "s3", TIME, Some(TIME), "host-a"),
            matches: |k| matches!(k, K::StopEndsBeforeStart),
        },
        Case {
            path: "planned_stops/s4",
            edit: |d| {
                add_stop(d, "s4", TIME, None, "host-a");
                d.planned_stops.get_mut("s4").unwrap().hosts.clear();
            },
            matches: |k| matches!(k, K::EmptyPlannedStop),
        },
        Case {
            path: "engine/models/member-portal",
            edit: |d| {
                let model = lw_doc::ModelEntry {
                    version: "1".into(),
                };
                d.engine.models.insert("member-portal".into(), model);
            },
            matches: |k| matches!(k, K::ModelOfPlainService { .. }),
        },
    ];
    let mut all = sample("sahyog.json");
    for case in &cases {
        let mut document = sample("sahyog.json");
        (case.edit)(&mut document);
        (case.edit)(&mut all);
        let faults = faults(&document);
        let found = faults
            .iter()
            .any(|(path, kind)| path == case.path && (case.matches)(kind));
        assert!(found, "{}: {faults:?}", case.path);
    }
    let faults = faults(&all);
    for case in &cases {
        let found = faults
            .iter()
            .any(|(path, kind)| path == case.path && (case.matches)(kind));
        assert!(found, "all at once: {}: {faults:?}", case.path);
    }
}

/// Guards against a report that does not tell the operator where the fault is and how to fix it.
#[test]
fn a_fault_states_path_line_problem_and_fix() {
    let text = "{\"format\": 1,\n\"customers\": {\"a\": {\n\"home_region\": \"x\"}}}";
    let parsed = parse_document("a.json", text).expect("valid");
    let faults = validate(&parsed.document, &parsed.source, &[]);
    let expected = "customers/a/home_region (line 3): no region is named `x`; \
                    fix: please correct the name, or add the region";
    assert_eq!(faults[0].to_string(), expected);
}
