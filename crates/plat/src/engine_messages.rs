//! Messages of the control interface of model engines.

use serde::{Deserialize, Serialize};

/// The request body of `/command`: the desired state of the engine, so the command is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommand {
    /// The fencing number of the sender's lease.
    pub fencing: u64,
    /// The model to load; empty to unload the current one.
    pub model: String,
    /// The version to load.
    pub version: String,
    /// The desired role.
    pub role: String,
}

/// The response body of `/state`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The loaded model; empty when none is loaded.
    pub model: String,
    /// The loaded version.
    pub version: String,
    /// The current role.
    pub role: String,
    /// The highest fencing number that the engine has received.
    pub fencing: u64,
}

/// The response body of `/load`, which lags behind the current load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The number of requests that wait for a slot.
    pub queued: u32,
    /// The number of requests in a slot.
    pub running: u32,
    /// The throughput with all slots in use, at the current speed, in tokens per second.
    pub tokens_per_s: f64,
    /// The time of the report, on the engine's wall clock, in milliseconds.
    pub at_ms: u64,
}
