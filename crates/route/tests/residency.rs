//! Data residency and hops between regions.

mod common;

use std::sync::Arc;

use common::{all, at, customer, fleet};
use lw_base::prelude::*;
use lw_route::{Decision, LocalDecision, Query, RegionSet, RegionSummary, Router, allowed_regions};
use test_case::test_case;

struct Case {
    service: Option<Vec<u32>>,
    home: Option<u32>,
    sender: Option<Vec<u32>>,
    expected: Vec<u32>,
}

fn set(regions: &[u32]) -> RegionSet {
    regions.iter().copied().map(RegionKey).collect()
}

/// Guards against ignoring a residency rule when another rule applies, or when the sender has an older revision.
#[test_case(&Case { service: None, home: None, sender: None, expected: vec![0, 1, 2] } ; "no rule")]
#[test_case(&Case { service: Some(vec![0, 1]), home: None, sender: None, expected: vec![0, 1] } ; "service rule")]
#[test_case(&Case { service: Some(vec![0, 1]), home: Some(1), sender: None, expected: vec![1] } ; "service and customer")]
#[test_case(&Case { service: Some(vec![0]), home: Some(1), sender: None, expected: vec![] } ; "conflicting rules")]
#[test_case(&Case { service: None, home: None, sender: Some(vec![2]), expected: vec![2] } ; "stricter sender")]
#[test_case(&Case { service: Some(vec![0]), home: None, sender: Some(vec![0, 1, 2]), expected: vec![0] } ; "stricter receiver")]
fn residency_rules_intersect(case: &Case) {
    let mut fleet = fleet(&[1, 1, 1]);
    fleet.services[ServiceKey(0)].allowed_regions = case
        .service
        .as_ref()
        .map(|regions| regions.iter().copied().map(RegionKey).collect());
    let customer = fleet.customers.push("c", customer(case.home));
    let sender = case.sender.as_deref().map(set);
    let allowed = allowed_regions(&fleet, ServiceKey(0), Some(customer), sender);
    assert_eq!(allowed, set(&case.expected));
}

/// Guards against treating a region as allowed when its index exceeds the capacity of the set.
#[test]
fn oversized_indices_are_never_contained() {
    assert!(!RegionSet::ALL.contains(RegionKey(128)));
    assert!(RegionSet::ALL.contains(RegionKey(127)));
    assert_eq!(
        set(&[3, 1]).iter().collect::<Vec<_>>(),
        [RegionKey(1), RegionKey(3)]
    );
}

/// Guards against forwarding the body of a request that arrived in a region where it is not allowed. The 421 answer
/// names the allowed region.
#[test]
fn requests_in_a_region_that_residency_excludes_are_misdirected() {
    let fleet = Arc::new(fleet(&[2, 2]));
    let view = Router::new(MonoMs(0), &fleet, "region-0", 1).view();
    let home = RegionSet::single(RegionKey(1));
    let Decision::Refuse(refusal) = view.decide(at(0), &Query::new(ServiceKey(0), home)) else {
        panic!("expected a refusal");
    };
    assert_eq!(refusal.kind, ErrorKind::Misdirected);
    assert_eq!(refusal.regions, home);
    let LocalDecision::Refuse(refusal) =
        view.decide_forwarded(at(0), &Query::new(ServiceKey(0), home))
    else {
        panic!("expected a refusal");
    };
    assert_eq!(refusal.kind, ErrorKind::ResidencyRefused);
}

/// Guards against refusing a request of a service without local targets although another region may process it, and
/// against sending it to a region that residency excludes.
#[test]
fn services_without_local_targets_are_forwarded_within_residency() {
    let fleet = Arc::new(fleet(&[0, 2, 2]));
    let view = Router::new(MonoMs(0), &fleet, "region-0", 1).view();
    let summary = |load_slots| RegionSummary {
        capacity_slots: 8.0,
        load_slots,
        read_at: MonoMs(0),
    };
    view.set_summary(RegionKey(1), summary(6.0));
    view.set_summary(RegionKey(2), summary(1.0));
    let decide = |allowed| view.decide(at(0), &Query::new(ServiceKey(0), allowed));
    assert_eq!(decide(all(&fleet)), Decision::Region(RegionKey(2)));
    assert_eq!(decide(set(&[0, 1])), Decision::Region(RegionKey(1)));
    assert!(matches!(decide(set(&[0])), Decision::Refuse(_)));
    let forwarded = view.decide_forwarded(at(0), &Query::new(ServiceKey(0), all(&fleet)));
    assert!(matches!(forwarded, LocalDecision::Refuse(_)));
}
