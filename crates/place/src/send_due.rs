//! Sends the commands that are due.

use std::future::Future;

use futures_util::future::join_all;
use lw_base::MonoMs;

use crate::lease_term::LeaseTerm;
use crate::outgoing_command::{CommandResult, OutgoingCommand};
use crate::placement_controller::PlacementController;

/// Sends the commands that are due through `send`, and returns how many were sent.
///
/// `tenure` reads the lease. It is asked once more directly before each send, so a command is not sent when the host
/// was paused past its lease in between. `send` closes its connection after the longest command time.
pub async fn send_due<F: Future<Output = CommandResult>>(
    decider: &mut PlacementController,
    now: impl Fn() -> MonoMs,
    tenure: impl Fn(MonoMs) -> Option<LeaseTerm>,
    send: impl Fn(OutgoingCommand) -> F,
) -> usize {
    let start = now();
    let Some(current) = tenure(start) else {
        return 0;
    };
    let commands = decider.due(start, current);
    let results = join_all(commands.iter().map(|command| async {
        match tenure(now()) {
            Some(still) if still.epoch == command.fencing => send(command.clone()).await,
            _ => CommandResult::NotSent,
        }
    }));
    let results = results.await;
    let mut sent = 0;
    for (command, result) in commands.iter().zip(results) {
        decider.record_result(now(), command, result);
        sent += usize::from(result != CommandResult::NotSent);
        log_failure(command, result);
    }
    sent
}

fn log_failure(command: &OutgoingCommand, result: CommandResult) {
    match result {
        CommandResult::Applied => {}
        CommandResult::Stale
        | CommandResult::Refused
        | CommandResult::Lost
        | CommandResult::NotSent => {
            let (target, fencing) = (&command.target, command.fencing);
            log::warn!("place: command to {target} under epoch {fencing} ended as {result:?}");
        }
    }
}
