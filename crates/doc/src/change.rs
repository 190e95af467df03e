//! Changes of single entities.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The change of one entity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The entity, like `targets/ga-01`, `weights` or `engine/models/grade-assistant`.
    pub path: String,
    /// The new value; `None` when the entity is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}
