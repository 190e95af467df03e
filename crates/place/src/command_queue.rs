//! The queue of commands to engines.

use std::collections::BTreeMap;
use std::sync::Arc;

use lw_base::MonoMs;

use crate::desired_state::DesiredState;
use crate::lease_term::LeaseTerm;
use crate::outgoing_command::{CommandResult, OutgoingCommand};
use crate::placement_times::PlacementTimes;
use crate::weight_budget::WeightBudget;

/// The maximum number of commands in flight.
const MAX_IN_FLIGHT: usize = 8;

/// A queue of at most one command per engine; a newer command replaces an older one.
#[derive(Clone, Debug)]
pub struct CommandQueue {
    times: PlacementTimes,
    entries: BTreeMap<Arc<str>, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    desired: DesiredState,
    /// True when the command makes the engine load weights.
    loads_weights: bool,
    /// True when the engine rejects commands with an outdated fencing number.
    checks_fencing: bool,
    failures: u32,
    /// The end of the retry delay.
    not_before: MonoMs,
    /// When the command was sent; `None` while it is queued.
    sent_at: Option<MonoMs>,
}

impl CommandQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(times: PlacementTimes) -> Self {
        Self {
            times,
            entries: BTreeMap::new(),
        }
    }

    /// Removes all commands, at the start of a lease term.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns the number of commands that are queued or in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no command is queued or in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Queues a command, unless one is in flight; keeps the retry delay if the same command was queued before.
    pub fn push(
        &mut self,
        now: MonoMs,
        target: &Arc<str>,
        desired: DesiredState,
        loads_weights: bool,
        checks_fencing: bool,
    ) {
        let previous = self.entries.get(target);
        if previous.is_some_and(|entry| entry.is_in_flight(now, &self.times)) {
            return;
        }
        let same = previous.filter(|entry| entry.desired == desired);
        let entry = Entry {
            failures: same.map_or(0, |entry| entry.failures),
            not_before: same.map_or(now, |entry| entry.not_before),
            desired,
            loads_weights,
            checks_fencing,
            sent_at: None,
        };
        self.entries.insert(target.clone(), entry);
    }

    /// Removes the commands to engines for which `keep` returns false, unless they are in flight.
    pub fn retain(&mut self, now: MonoMs, keep: impl Fn(&str) -> bool) {
        let times = self.times;
        self.entries
            .retain(|target, entry| keep(target) || entry.is_in_flight(now, &times));
    }

    /// Removes the command to an engine that is in its desired state, unless the command is in flight.
    pub fn remove_settled(&mut self, now: MonoMs, target: &str) {
        let entry = self.entries.get(target);
        if entry.is_some_and(|entry| !entry.is_in_flight(now, &self.times)) {
            self.entries.remove(target);
        }
    }

    /// Returns the commands that may be sent now, and marks them as in flight.
    pub fn due(
        &mut self,
        now: MonoMs,
        term: LeaseTerm,
        weights: &mut WeightBudget,
    ) -> Vec<OutgoingCommand> {
        let times = self.times;
        let in_flight = self.entries.values();
        let in_flight = in_flight.filter(|entry| entry.is_in_flight(now, &times));
        let mut available = MAX_IN_FLIGHT.saturating_sub(in_flight.count());
        let mut commands = Vec::new();
        for (target, entry) in &mut self.entries {
            if available == 0 {
                break;
            }
            if !entry.may_be_sent(now, term, &times) {
                continue;
            }
            if entry.loads_weights && !weights.take(now) {
                continue;
            }
            available -= 1;
            entry.sent_at = Some(now);
            commands.push(OutgoingCommand {
                target: target.clone(),
                fencing: term.epoch,
                desired: entry.desired.clone(),
            });
        }
        commands
    }

    /// Records the result of a command; a failed command is retried after an exponential delay.
    pub fn record_result(&mut self, now: MonoMs, command: &OutgoingCommand, result: CommandResult) {
        let Some(entry) = self.entries.get_mut(&command.target) else {
            return;
        };
        if entry.desired != command.desired {
            return;
        }
        entry.sent_at = None;
        match result {
            CommandResult::Applied => {
                self.entries.remove(&command.target);
            }
            CommandResult::NotSent => {}
            CommandResult::Stale | CommandResult::Refused | CommandResult::Lost => {
                let doubled = self.times.retry_ms << entry.failures.min(16);
                entry.not_before = now.plus_ms(doubled.min(self.times.retry_cap_ms));
                entry.failures += 1;
            }
        }
    }
}

impl Entry {
    /// Returns true if the command was sent and has no result; it counts as lost after the command timeout and margin.
    fn is_in_flight(&self, now: MonoMs, times: &PlacementTimes) -> bool {
        let limit_ms = times.command_timeout_ms + times.margin_ms;
        self.sent_at.is_some_and(|at| now.since_ms(at) < limit_ms)
    }

    fn may_be_sent(&self, now: MonoMs, term: LeaseTerm, times: &PlacementTimes) -> bool {
        let waited_ms = now.since_ms(term.acquired_at);
        let may_act_on_engine = self.checks_fencing || waited_ms >= times.unfenced_wait_ms();
        may_act_on_engine && now >= self.not_before && !self.is_in_flight(now, times)
    }
}
