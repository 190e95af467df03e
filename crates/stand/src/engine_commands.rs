//! Commands of the engine stand-in and what they leave behind.

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

/// The commands of one engine.
#[derive(Debug, Default)]
pub(crate) struct CommandLog {
    pub(crate) state: EngineState,
    pub(crate) applied: Vec<EngineCommand>,
    pub(crate) stale_applied: u64,
}

impl CommandLog {
    /// Returns whether the number of a command is older than one that the engine has seen.
    pub(crate) fn is_stale(&self, command: &EngineCommand) -> bool {
        command.fencing < self.state.fencing
    }

    /// Takes over what the command asks for.
    pub(crate) fn apply(&mut self, command: EngineCommand) {
        self.stale_applied += u64::from(self.is_stale(&command));
        self.state = EngineState {
            model: command.model.clone(),
            version: command.version.clone(),
            role: command.role.clone(),
            fencing: self.state.fencing.max(command.fencing),
        };
        self.applied.push(command);
    }
}
