//! Commands that the fake engine received, and the state that they set.

use lw_plat::{EngineCommand, EngineState};

/// The commands that one engine applied, and its current state.
#[derive(Debug, Default)]
pub(crate) struct CommandLog {
    pub(crate) state: EngineState,
    pub(crate) applied: Vec<EngineCommand>,
    pub(crate) stale_applied: u64,
}

impl CommandLog {
    /// Returns whether the fencing number of the command is lower than the highest one that the engine has seen.
    pub(crate) fn is_stale(&self, command: &EngineCommand) -> bool {
        command.fencing < self.state.fencing
    }

    /// Applies the command and counts it as stale if its fencing number is outdated.
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
