//! Incremental compilation and digests give the same result as a computation from the whole document.

use std::collections::BTreeMap;

use lw_base::prelude::*;
use lw_doc::{
    CustomerEntry, DigestTree, DigestedDocument, Document, Fleet, PlannedStopEntry, Target, apply,
    compile, diff, parse_document, recompile,
};
use test_case::test_case;

fn sample() -> Document {
    let path = format!("{}/../../samples/sahyog.json", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the sample exists");
    let mut document = parse_document("sahyog.json", &text)
        .expect("the sample is valid")
        .document;
    let stop = PlannedStopEntry {
        zones: vec!["rajkot-1".into()],
        targets: vec!["ga-01".into(), "sq-04".into()],
        start: "2026-12-03T20:00:00Z".into(),
        ..PlannedStopEntry::default()
    };
    document.planned_stops.insert("week-3".into(), stop);
    document
}

/// Describes targets and customers by name, because their keys may differ.
fn describe(fleet: &Fleet) -> BTreeMap<String, String> {
    let region = |key: RegionKey| fleet.regions.name(key).to_string();
    let targets = fleet.targets.iter().map(|(key, name, target)| {
        let service = &fleet.services[target.service];
        let listed = service.targets_by_region[target.region.index()].contains(&key);
        let service = fleet.services.name(target.service);
        let Target {
            address,
            slots,
            stops,
            ..
        } = target;
        let zone = fleet.zones.name(target.zone);
        let text = format!("{service} {zone} {address} {slots} {stops:?} {listed}");
        (format!("targets/{name}"), text)
    });
    let customers = fleet.customers.iter().map(|(_, name, customer)| {
        let home_region = customer.home_region.map(region);
        let text = format!(
            "{home_region:?} {:?} {:?}",
            customer.requests_per_s, customer.key_digest
        );
        (format!("customers/{name}"), text)
    });
    targets.chain(customers).collect()
}

fn edit_customer(document: &mut Document, name: &str, rate: f64) {
    let customer = document.customers.entry(name.into()).or_default();
    customer.requests_per_s = Some(rate);
}

/// Guards against a host whose compiled configuration or digest does not match its document.
#[test_case(|d| edit_customer(d, "foundry-12", 3.0); "changed customer")]
#[test_case(|d| edit_customer(d, "newcomer", 3.0); "new customer")]
#[test_case(|d| drop(d.customers.remove("foundry-12")); "removed customer")]
#[test_case(|d| d.customers.get_mut("foundry-12").unwrap().home_region = None; "customer without its home region")]
#[test_case(|d| d.targets.get_mut("ga-01").unwrap().address = "10.0.0.1:7".into(); "changed address of a stopped target")]
#[test_case(|d| d.targets.get_mut("sq-04").unwrap().slots = 3; "changed slots of a target with two stops")]
#[test_case(|d| d.targets.get_mut("ga-01").unwrap().zone = "vadodara-1".into(); "target moved to another zone")]
#[test_case(|d| drop(d.targets.remove("ga-02")); "removed target")]
#[test_case(|d| drop(d.planned_stops.remove("week-3")); "removed planned stop")]
#[test_case(|d| d.weights.cost = 0.5; "changed weights")]
fn recompiling_a_change_equals_compiling_the_document(edit: fn(&mut Document)) {
    let base = sample();
    let mut next = base.clone();
    edit(&mut next);
    let difference = diff(&base, &next);
    let applied = apply(DigestedDocument::new(base.clone()), &difference).expect("it applies");
    assert_eq!(applied.tree, DigestTree::of(&next));
    assert_ne!(applied.tree.root(), base.digest());
    let fleet = recompile(&compile(&base, 1), &next, &difference.changes, 2);
    let whole = compile(&next, 2);
    assert_eq!(describe(&fleet), describe(&whole));
    assert_eq!((fleet.revision, fleet.weights), (2, whole.weights));
}

/// Guards against a digest that does not cover some part of the document.
#[test]
fn the_digest_covers_every_section() {
    let base = sample();
    let edits: [fn(&mut Document); 7] = [
        |d| d.format = 2,
        |d| drop(d.regions.remove("saurashtra")),
        |d| d.services.get_mut("member-portal").unwrap().deadline_ms += 1,
        |d| d.targets.get_mut("mp-01").unwrap().slots += 1,
        |d| drop(d.customers.insert("x".into(), CustomerEntry::default())),
        |d| {
            d.planned_stops
                .get_mut("week-3")
                .unwrap()
                .hosts
                .push("h".into());
        },
        |d| d.engine.models.get_mut("grade-assistant").unwrap().version = "4".into(),
    ];
    for edit in edits {
        let mut next = base.clone();
        edit(&mut next);
        assert_ne!(next.digest(), base.digest());
    }
}
