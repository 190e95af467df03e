//! Messages of the control interface of model engines.

use serde::{Deserialize, Serialize};

/// The body of `/command`: the wanted state, so repeating it is safe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommand {
    /// The fencing number of the sender's lease.
    pub fencing: u64,
    /// The model to load; empty unloads.
    pub model: String,
    /// The version to load.
    pub version: String,
    /// The role to take.
    pub role: String,
}

/// The body of `/state`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The loaded model; empty when none is loaded.
    pub model: String,
    /// The loaded version.
    pub version: String,
    /// The role.
    pub role: String,
    /// The highest fencing number so far.
    pub fencing: u64,
}

/// The body of `/load`, which lags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests in a slot.
    pub running: u32,
    /// Tokens per second with all slots in use, at the present speed.
    pub tokens_per_s: f64,
    /// When the report was made, on the engine's wall clock in milliseconds.
    pub at_ms: u64,
}
