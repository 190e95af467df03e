//! Differences field by field.

use lw_doc::{Change, Document};
use serde_json::Value;

use crate::section::value_at;

/// The change of one field of an entity.
#[derive(Clone, Debug, PartialEq)]
pub struct FieldChange {
    /// The path of the entity, like `targets/ga-01`.
    pub path: String,
    /// The name of the field; empty when the entity is a single value without fields.
    pub field: String,
    /// The value before; `None` when there was none.
    pub before: Option<Value>,
    /// The value after; `None` when there is none.
    pub after: Option<Value>,
}

/// Returns the changed fields of each changed entity.
#[must_use]
pub fn field_changes(base: &Document, changes: &[Change]) -> Vec<FieldChange> {
    changes
        .iter()
        .flat_map(|change| changes_of(base, change))
        .collect()
}

fn changes_of(base: &Document, change: &Change) -> Vec<FieldChange> {
    let before = fields(value_at(base, &change.path));
    let after = fields(change.value.clone());
    let mut names: Vec<&String> = before.iter().map(|(name, _)| name).collect();
    names.extend(after.iter().map(|(name, _)| name));
    let mut seen: Vec<&String> = Vec::new();
    let mut found = Vec::new();
    for name in names {
        if seen.contains(&name) {
            continue;
        }
        seen.push(name);
        let (before, after) = (value_of(&before, name), value_of(&after, name));
        if before != after {
            found.push(FieldChange {
                path: change.path.clone(),
                field: name.clone(),
                before,
                after,
            });
        }
    }
    found
}

pub(crate) fn fields(value: Option<Value>) -> Vec<(String, Value)> {
    match value {
        Some(Value::Object(map)) => map.into_iter().collect(),
        Some(value) => vec![(String::new(), value)],
        None => Vec::new(),
    }
}

pub(crate) fn value_of(fields: &[(String, Value)], name: &str) -> Option<Value> {
    let found = fields.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.clone())
}
