//! Changes to single entities of a document.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The new value, or the removal, of one entity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The path of the entity, such as `targets/ga-01`, `weights` or `engine/models/grade-assistant`.
    pub path: String,
    /// The new value; `None` removes the entity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}
