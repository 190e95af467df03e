//! Differences between documents, and warnings about dangerous changes.

use lw_doc::{
    ApplyError, DigestedDocument, Document, PlannedStopEntry, WarningKind, apply, diff,
    parse_document, warnings,
};
use test_case::test_case;

fn sample(name: &str) -> Document {
    let path = format!("{}/../../samples/{name}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the sample exists");
    parse_document(name, &text)
        .expect("the sample is valid")
        .document
}

/// Guards against a difference whose result is not the published document.
#[test]
fn applying_a_difference_yields_the_same_bytes() {
    let (a, mut b) = (sample("sahyog.json"), sample("riad.json"));
    b.audit_keep_days.0 = 90;
    let difference = diff(&a, &b);
    let text = serde_json::to_string(&difference).expect("a difference serialises to JSON");
    let read = serde_json::from_str(&text).expect("the text parses");
    let result = apply(DigestedDocument::new(a.clone()), &read).expect("it applies");
    assert_eq!(result.document.canonical_bytes(), b.canonical_bytes());
    assert_eq!(result.tree.root(), b.digest());
    assert!(diff(&a, &a).changes.is_empty());
}

/// Guards against a difference that is applied to the wrong document, and against a damaged difference.
#[test]
fn wrong_bases_and_damaged_changes_are_rejected() {
    let (a, b) = (sample("sahyog.json"), sample("riad.json"));
    let difference = diff(&a, &b);
    let error = apply(DigestedDocument::new(b.clone()), &difference).expect_err("another base");
    assert!(matches!(error, ApplyError::WrongBase { .. }));
    let mut incomplete = difference.clone();
    incomplete.changes.pop();
    let error =
        apply(DigestedDocument::new(a.clone()), &incomplete).expect_err("a change is missing");
    assert!(matches!(error, ApplyError::WrongResult { .. }));
    let mut misnamed = difference.clone();
    misnamed.changes[0].path = "elsewhere/x".into();
    let error = apply(DigestedDocument::new(a.clone()), &misnamed).expect_err("an unknown path");
    assert!(matches!(error, ApplyError::UnknownPath { .. }));
}

fn stop_everything(document: &mut Document) {
    for (name, zone) in [("a", "ahmedabad-1"), ("b", "vadodara-1"), ("c", "rajkot-1")] {
        let stop = PlannedStopEntry {
            zones: vec![zone.into()],
            start: "2026-12-03T20:00:00Z".into(),
            ..PlannedStopEntry::default()
        };
        document.planned_stops.insert(name.into(), stop);
    }
}

/// Guards against a dangerous change that is published without a confirmation.
#[test_case(|d| { d.targets.retain(|n, _| !n.starts_with("mp") || n == "mp-01"); }, "services/member-portal", |k| matches!(k, WarningKind::MostTargetsRemoved { removed: 2, before: 3 }); "most targets removed")]
#[test_case(|d| { d.targets.remove("mp-03"); }, "services/member-portal", |k| matches!(k, WarningKind::NoTargetInRegion { .. }); "region without targets")]
#[test_case(|d| { d.customers.get_mut("clerks-rajkot").unwrap().home_region = Some("saurashtra".into()); }, "services/grade-assistant", |k| matches!(k, WarningKind::ResidencyUnsatisfied { .. }); "home region without targets")]
#[test_case(|d| { d.customers.remove("foundry-12"); }, "customers/foundry-12/home_region", |k| matches!(k, WarningKind::HomeRegionChanged); "removed customer loses its home region")]
#[test_case(|d| { d.services.get_mut("grade-assistant").unwrap().allowed_regions.clear(); }, "services/grade-assistant/allowed_regions", |k| matches!(k, WarningKind::ResidencyRelaxed); "relaxed residency rule")]
#[test_case(|d| d.audit_keep_days.0 = 7, "audit_keep_days", |k| matches!(k, WarningKind::AuditShortened { before: 30, after: 7 }); "shorter audit retention")]
#[test_case(stop_everything, "planned_stops/c", |k| matches!(k, WarningKind::StopOfLastTargets { .. }); "stops of all zones together")]
fn dangerous_changes_warn(edit: fn(&mut Document), path: &str, matches: fn(&WarningKind) -> bool) {
    let base = sample("sahyog.json");
    assert_eq!(warnings(None, &base), []);
    let mut next = base.clone();
    edit(&mut next);
    let found = warnings(Some(&base), &next);
    assert!(
        found.iter().any(|w| w.path == path && matches(&w.kind)),
        "{found:?}"
    );
    assert_eq!(
        warnings(Some(&next), &next),
        [],
        "existing warnings need no new confirmation"
    );
}
