//! Sends the commands that are due.

use std::future::Future;

use futures_util::future::join_all;
use lw_base::MonoMs;

use crate::lease_term::LeaseTerm;
use crate::outgoing_command::{CommandResult, OutgoingCommand};
use crate::placement_controller::PlacementController;

/// Sends the commands that are due through `send`, and returns how many were sent.
///
/// `current_term` returns the lease term if the host may act. It is called again directly before each send, so that no
/// command is sent after a pause that outlasted the lease. `send` closes its connection after the command timeout.
pub async fn send_due<F: Future<Output = CommandResult>>(
    controller: &mut PlacementController,
    now: impl Fn() -> MonoMs,
    current_term: impl Fn(MonoMs) -> Option<LeaseTerm>,
    send: impl Fn(OutgoingCommand) -> F,
) -> usize {
    let start = now();
    let Some(term) = current_term(start) else {
        return 0;
    };
    let commands = controller.due(start, term);
    let results = join_all(commands.iter().map(|command| async {
        match current_term(now()) {
            Some(current) if current.epoch == command.fencing => send(command.clone()).await,
            _ => CommandResult::NotSent,
        }
    }));
    let results = results.await;
    let mut sent = 0;
    for (command, result) in commands.iter().zip(results) {
        controller.record_result(now(), command, result);
        sent += usize::from(result != CommandResult::NotSent);
        log_unconfirmed(command, result);
    }
    sent
}

fn log_unconfirmed(command: &OutgoingCommand, result: CommandResult) {
    match result {
        CommandResult::Applied => {}
        CommandResult::Stale
        | CommandResult::Refused
        | CommandResult::Lost
        | CommandResult::NotSent => {
            let (target, fencing) = (&command.target, command.fencing);
            log::warn!(
                "place: command to {target} under epoch {fencing} was not confirmed: {result:?}"
            );
        }
    }
}
