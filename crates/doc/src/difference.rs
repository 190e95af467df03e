//! Differences between two documents.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::change::Change;
use crate::digest::Digest;
use crate::document::Document;
use crate::section::Section;

/// The changes that turn one document into another, with the digests of both.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The digest of the document that the changes apply to.
    pub base: Digest,
    /// The digest of the resulting document.
    pub result: Digest,
    /// One change for each added, changed or removed entity.
    pub changes: Vec<Change>,
}

/// Returns the difference that turns `base` into `next`.
#[must_use]
pub fn diff(base: &Document, next: &Document) -> Difference {
    Difference {
        base: base.digest(),
        result: next.digest(),
        changes: changes_between(base, next),
    }
}

/// Returns the changes that turn `base` into `next`, without digests.
#[must_use]
pub fn changes_between(base: &Document, next: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    if base.format != next.format {
        changes.push(set_change("format".into(), &next.format));
    }
    if base.weights != next.weights {
        changes.push(set_change("weights".into(), &next.weights));
    }
    if base.audit_keep_days != next.audit_keep_days {
        changes.push(set_change("audit_keep_days".into(), &next.audit_keep_days));
    }
    add_section(&mut changes, Section::Regions, &base.regions, &next.regions);
    add_section(
        &mut changes,
        Section::Services,
        &base.services,
        &next.services,
    );
    add_section(&mut changes, Section::Targets, &base.targets, &next.targets);
    add_section(
        &mut changes,
        Section::Customers,
        &base.customers,
        &next.customers,
    );
    let stops = (&base.planned_stops, &next.planned_stops);
    add_section(&mut changes, Section::PlannedStops, stops.0, stops.1);
    let models = (&base.engine.models, &next.engine.models);
    add_section(&mut changes, Section::Models, models.0, models.1);
    changes
}

fn add_section<T: PartialEq + Serialize>(
    changes: &mut Vec<Change>,
    section: Section,
    base: &BTreeMap<String, T>,
    next: &BTreeMap<String, T>,
) {
    for name in base.keys().filter(|name| !next.contains_key(*name)) {
        changes.push(Change {
            path: format!("{}{name}", section.prefix()),
            value: None,
        });
    }
    for (name, entry) in next {
        if base.get(name) != Some(entry) {
            changes.push(set_change(format!("{}{name}", section.prefix()), entry));
        }
    }
}

fn set_change(path: String, value: &impl Serialize) -> Change {
    let value = serde_json::to_value(value).expect("every entity serialises to JSON");
    Change {
        path,
        value: Some(value),
    }
}
