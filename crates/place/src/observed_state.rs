//! What an engine was last seen to hold.

use std::sync::Arc;

use crate::engine_role::EngineRole;

/// The state and load of an engine as it reported them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedState {
    /// The model; empty for none.
    pub model: Arc<str>,
    /// The version; empty for none.
    pub version: Arc<str>,
    /// The role; `None` before the first command or for an unknown role.
    pub role: Option<EngineRole>,
    /// The highest fencing number that the engine has seen.
    pub fencing: u64,
    /// Requests that wait or run on the engine.
    pub busy: u32,
}
