//! The observed state of an engine.

use std::sync::Arc;

use crate::engine_role::EngineRole;

/// The state and load that an engine reported.
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
    /// The number of requests that are queued or running on the engine.
    pub busy: u32,
}
