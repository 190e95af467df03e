//! Commands of the engine stand-in and what they leave behind.

use lw_plat::{EngineCommand, EngineState};

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
