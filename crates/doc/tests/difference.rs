//! Differences and warnings.

use lw_doc::{
    ApplyError, DigestedDocument, Document, PlannedStopEntry, WarningKind, apply, diff,
    parse_document, warnings,
};
use test_case::test_case;

fn sample(name: &str) -> Document {
    let path = format!("{}/../../samples/{name}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the sample exists");
    parse_document(name, &text).expect("sound").document
}

/// Guards against a host that ends with another document than the one that was published.
#[test]
fn a_difference_leads_to_the_same_bytes() {
    let (a, mut b) = (sample("sahyog.json"), sample("riad.json"));
    b.audit_keep_days.0 = 90;
    let there = diff(&a, &b);
    let text = serde_json::to_string(&there).expect("a difference has a JSON form");
    let read = serde_json::from_str(&text).expect("the text is sound");
    let result = apply(DigestedDocument::new(a.clone()), &read).expect("it applies");
    assert_eq!(result.document.canonical_bytes(), b.canonical_bytes());
    assert_eq!(result.tree.root(), b.digest());
    assert!(diff(&a, &a).changes.is_empty());
}

/// Guards against the silent use of a difference on the wrong document, or of a damaged one.
#[test]
fn wrong_bases_and_damaged_changes_are_refused() {
    let (a, b) = (sample("sahyog.json"), sample("riad.json"));
    let there = diff(&a, &b);
    let error = apply(DigestedDocument::new(b.clone()), &there).expect_err("another base");
    assert!(matches!(error, ApplyError::WrongBase { .. }));
    let mut cut = there.clone();
    cut.changes.pop();
    let error = apply(DigestedDocument::new(a.clone()), &cut).expect_err("a change is missing");
    assert!(matches!(error, ApplyError::WrongResult { .. }));
    let mut odd = there.clone();
    odd.changes[0].path = "elsewhere/x".into();
    let error = apply(DigestedDocument::new(a.clone()), &odd).expect_err("an unknown path");
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

/// Guards against a dangerous change that no operator confirmed.
#[test_case(|d| { d.targets.retain(|n, _| !n.starts_with("mp") || n == "mp-01"); }, "services/member-portal", |k| matches!(k, WarningKind::MostTargetsRemoved { removed: 2, before: 3 }); "most targets")]
#[test_case(|d| { d.targets.remove("mp-03"); }, "services/member-portal", |k| matches!(k, WarningKind::NoTargetInRegion { .. }); "empty region")]
#[test_case(|d| { d.customers.get_mut("clerks-rajkot").unwrap().home_region = Some("saurashtra".into()); }, "services/grade-assistant", |k| matches!(k, WarningKind::ResidencyUnsatisfied { .. }); "residency")]
#[test_case(|d| { d.customers.remove("foundry-12"); }, "customers/foundry-12/home_region", |k| matches!(k, WarningKind::HomeRegionChanged); "unbound customer")]
#[test_case(|d| { d.services.get_mut("grade-assistant").unwrap().allowed_regions.clear(); }, "services/grade-assistant/allowed_regions", |k| matches!(k, WarningKind::ResidencyRelaxed); "relaxed")]
#[test_case(|d| d.audit_keep_days.0 = 7, "audit_keep_days", |k| matches!(k, WarningKind::AuditShortened { before: 30, after: 7 }); "shorter audit")]
#[test_case(stop_everything, "planned_stops/c", |k| matches!(k, WarningKind::StopOfLastTargets { .. }); "three stops together")]
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
        "known states need no new confirmation"
    );
}
