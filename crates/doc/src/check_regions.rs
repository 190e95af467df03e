//! Validates routing weights, audit retention and regions.

use crate::audit_keep_days::AuditKeepDays;
use crate::checker::Checker;
use crate::document::RegionEntry;
use crate::fault_kind::FaultKind;

/// The maximum one-way delay between regions. A longer delay can only be a typing error, because it exceeds every
/// interactive deadline.
const MAX_DELAY_MS: f64 = 10_000.0;

pub(crate) fn check_weights(checker: &mut Checker<'_>) {
    let weights = checker.document.weights;
    checker.check_range("weights/cost", weights.cost, 0.0, 1.0);
    checker.check_range("weights/latency", weights.latency, 0.0, 1.0);
    checker.check_range("weights/cross_region", weights.cross_region, 0.0, 1.0);
    if weights.cost == 0.0 && weights.latency == 0.0 && weights.cross_region == 0.0 {
        checker.fault("weights", FaultKind::WeightsAllZero);
    }
}

pub(crate) fn check_audit(checker: &mut Checker<'_>) {
    let AuditKeepDays(days) = checker.document.audit_keep_days;
    let (AuditKeepDays(min), AuditKeepDays(max)) = (AuditKeepDays::MIN, AuditKeepDays::MAX);
    checker.check_range("audit_keep_days", days.into(), min.into(), max.into());
}

pub(crate) fn check_regions(checker: &mut Checker<'_>) {
    let document = checker.document;
    checker.check_names("regions", &document.regions, false);
    for (name, entry) in &document.regions {
        check_zones(checker, name, entry);
        check_delays(checker, name, entry);
    }
}

fn check_zones(checker: &mut Checker<'_>, name: &str, entry: &RegionEntry) {
    let path = format!("regions/{name}/zones");
    if entry.zones.is_empty() {
        checker.fault(path.as_str(), FaultKind::EmptyList);
    }
    checker.check_duplicate_elements(&path, &entry.zones);
    for zone in &entry.zones {
        checker.check_name(&path, zone, false);
        // `region_of_zone` keeps the last region that lists the zone, so each earlier region reports the conflict.
        let owner = checker.region_of_zone[zone.as_str()];
        if owner != name {
            let kind = FaultKind::ZoneOfOtherRegion {
                zone: zone.clone(),
                region: owner.to_owned(),
            };
            checker.fault(path.as_str(), kind);
        }
    }
}

fn check_delays(checker: &mut Checker<'_>, name: &str, entry: &RegionEntry) {
    for (other, delay_ms) in &entry.delay_ms {
        let path = format!("regions/{name}/delay_ms/{other}");
        if other == name {
            checker.fault(path, FaultKind::DelayToItself);
            continue;
        }
        checker.check_region(&path, other);
        checker.check_range(&path, *delay_ms, 0.0, MAX_DELAY_MS);
    }
}
