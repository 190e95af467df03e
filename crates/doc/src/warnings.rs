//! Finds dangerous changes.

use lw_base::prelude::*;

use crate::document::{CustomerEntry, Document, ServiceEntry};
use crate::state_warnings::state_warnings;
use crate::warning::{Warning, WarningKind};

/// Returns the warnings about the change from `base` to `next`, or about `next` alone when there is no base.
///
/// A warning that already applies to `base` is not repeated, so that operators confirm only what they change.
#[must_use]
pub fn warnings(base: Option<&Document>, next: &Document) -> Vec<Warning> {
    let Some(base) = base else {
        return state_warnings(next);
    };
    let existing: FastSet<Warning> = state_warnings(base).into_iter().collect();
    let mut found = state_warnings(next);
    found.retain(|warning| !existing.contains(warning));
    add_removed(&mut found, base, next);
    add_removed_targets(&mut found, base, next);
    add_relaxed_services(&mut found, base, next);
    add_changed_customers(&mut found, base, next);
    add_shortened_audit(&mut found, base, next);
    found
}

fn add_shortened_audit(found: &mut Vec<Warning>, base: &Document, next: &Document) {
    let (before, after) = (base.audit_keep_days.0, next.audit_keep_days.0);
    if after < before {
        let kind = WarningKind::AuditShortened { before, after };
        push(found, "audit_keep_days".into(), kind);
    }
}

fn push(found: &mut Vec<Warning>, path: String, kind: WarningKind) {
    found.push(Warning { path, kind });
}

fn add_removed(found: &mut Vec<Warning>, base: &Document, next: &Document) {
    for name in base.regions.keys() {
        if !next.regions.contains_key(name) {
            push(found, format!("regions/{name}"), WarningKind::RegionRemoved);
        }
    }
    for name in base.services.keys() {
        if !next.services.contains_key(name) {
            push(
                found,
                format!("services/{name}"),
                WarningKind::ServiceRemoved,
            );
        }
    }
}

fn add_removed_targets(found: &mut Vec<Warning>, base: &Document, next: &Document) {
    let mut counts: FastMap<&str, (usize, usize)> = FastMap::default();
    for (name, entry) in &base.targets {
        let (removed, before) = counts.entry(&entry.service).or_default();
        *before += 1;
        let after = next.targets.get(name);
        if after.is_none_or(|after| after.service != entry.service) {
            *removed += 1;
        }
    }
    for service in base.services.keys() {
        let Some((removed, before)) = counts.get(service.as_str()).copied() else {
            continue;
        };
        if removed * 2 > before {
            let kind = WarningKind::MostTargetsRemoved { removed, before };
            push(found, format!("services/{service}"), kind);
        }
    }
}

fn add_relaxed_services(found: &mut Vec<Warning>, base: &Document, next: &Document) {
    for (name, before) in &base.services {
        let Some(after) = next.services.get(name) else {
            continue;
        };
        if relaxes_residency(before, after) {
            let path = format!("services/{name}/allowed_regions");
            push(found, path, WarningKind::ResidencyRelaxed);
        }
    }
}

fn relaxes_residency(before: &ServiceEntry, after: &ServiceEntry) -> bool {
    // An empty list allows every region.
    if before.allowed_regions.is_empty() {
        return false;
    }
    let was_allowed = |region| before.allowed_regions.contains(region);
    after.allowed_regions.is_empty() || !after.allowed_regions.iter().all(was_allowed)
}

fn add_changed_customers(found: &mut Vec<Warning>, base: &Document, next: &Document) {
    let unknown_customer = CustomerEntry::default();
    for (name, before) in &base.customers {
        // Requests of a removed customer are treated like requests of an unknown customer, which has no home region.
        let after = next.customers.get(name).unwrap_or(&unknown_customer);
        if before.home_region.is_some() && before.home_region != after.home_region {
            let path = format!("customers/{name}/home_region");
            push(found, path, WarningKind::HomeRegionChanged);
        }
        if !before.key_digest.is_empty() && after.key_digest.is_empty() {
            let path = format!("customers/{name}/key_digest");
            push(found, path, WarningKind::CredentialRemoved);
        }
    }
}
