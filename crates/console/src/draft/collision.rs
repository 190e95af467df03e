//! Conflicts between a draft and the changes that others published.

use lw_doc::{Change, Document};
use serde_json::Value;

use crate::draft::field_change::field_changes;

/// A field that both the draft and the published revisions changed, to different values.
#[derive(Clone, Debug, PartialEq)]
pub struct Collision {
    /// The path of the entity.
    pub path: String,
    /// The name of the field; empty when the entity is a single value without fields.
    pub field: String,
    /// The value in the base revision.
    pub base: Option<Value>,
    /// The value in force.
    pub theirs: Option<Value>,
    /// The value in the draft.
    pub own: Option<Value>,
}

/// Returns the fields that both sides changed to different values.
///
/// When one side removes an entity that the other side changes, every field that the draft changes collides.
#[must_use]
pub fn collisions(base: &Document, theirs: &[Change], own: &[Change]) -> Vec<Collision> {
    let mut found = Vec::new();
    for own_change in own {
        let Some(their_change) = theirs.iter().find(|change| change.path == own_change.path) else {
            continue;
        };
        if their_change.value == own_change.value {
            continue;
        }
        let their_fields = field_changes(base, std::slice::from_ref(their_change));
        for change in field_changes(base, std::slice::from_ref(own_change)) {
            let other = their_fields.iter().find(|c| c.field == change.field);
            let removed = own_change.value.is_none() || their_change.value.is_none();
            let their_value = match other {
                Some(other) if other.after == change.after => continue,
                Some(other) => other.after.clone(),
                None if removed => change.before.clone(),
                None => continue,
            };
            found.push(Collision {
                path: change.path,
                field: change.field,
                base: change.before,
                theirs: their_value,
                own: change.after,
            });
        }
    }
    found
}
