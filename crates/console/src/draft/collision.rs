//! Conflicts between a draft and the changes that others published.

use lw_doc::{Change, Document};
use serde_json::Value;

use crate::draft::field_change::field_changes;

/// A field that both the draft and the published revisions changed, to different values.
#[derive(Clone, Debug, PartialEq)]
pub struct Collision {
    /// The path of the entity.
    pub path: String,
    /// The field.
    pub field: String,
    /// The value of the base.
    pub base: Option<Value>,
    /// The value in force.
    pub theirs: Option<Value>,
    /// The value of the draft.
    pub own: Option<Value>,
}

/// Returns the fields that both sides changed to different values.
///
/// When one side removes an entity that the other side changes, every field that the draft changes collides.
#[must_use]
pub fn collisions(base: &Document, theirs: &[Change], own: &[Change]) -> Vec<Collision> {
    let mut found = Vec::new();
    for own in own {
        let Some(theirs) = theirs.iter().find(|change| change.path == own.path) else {
            continue;
        };
        if theirs.value == own.value {
            continue;
        }
        let theirs_fields = field_changes(base, std::slice::from_ref(theirs));
        for change in field_changes(base, std::slice::from_ref(own)) {
            let other = theirs_fields.iter().find(|c| c.field == change.field);
            let removed = own.value.is_none() || theirs.value.is_none();
            let theirs_value = match other {
                Some(other) if other.after == change.after => continue,
                Some(other) => other.after.clone(),
                None if removed => change.before.clone(),
                None => continue,
            };
            found.push(Collision {
                path: change.path,
                field: change.field,
                base: change.before,
                theirs: theirs_value,
                own: change.after,
            });
        }
    }
    found
}
