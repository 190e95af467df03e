//! Commands on their way to engines.

use std::sync::Arc;

use crate::desired_state::DesiredState;

/// A command to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingCommand {
    /// The name of the target.
    pub target: Arc<str>,
    /// The fencing number.
    pub fencing: u64,
    /// What the engine should hold.
    pub desired: DesiredState,
}

/// What became of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The engine did it.
    Applied,
    /// The engine has seen a higher fencing number.
    Stale,
    /// The engine refused or failed, for example because the weight store is busy.
    Refused,
    /// The reply was lost: the engine may have done it.
    Lost,
    /// The command was not sent, because the authority ended before the send.
    NotSent,
}
