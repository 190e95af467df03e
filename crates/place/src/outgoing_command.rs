//! Commands to engines, and their results.

use std::sync::Arc;

use crate::desired_state::DesiredState;

/// A command to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingCommand {
    /// The name of the target.
    pub target: Arc<str>,
    /// The fencing number.
    pub fencing: u64,
    /// The desired state of the engine.
    pub desired: DesiredState,
}

/// The result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The engine applied the command.
    Applied,
    /// The engine has seen a higher fencing number.
    Stale,
    /// The engine refused the command or failed, for example because the weight store is busy.
    Refused,
    /// The reply was lost; the engine may have applied the command.
    Lost,
    /// The command was not sent, because the grant of the lease ended before the send.
    NotSent,
}
