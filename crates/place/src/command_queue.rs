//! The queue of commands to engines.

use std::collections::BTreeMap;
use std::sync::Arc;

use lw_base::MonoMs;

use crate::desired_state::DesiredState;
use crate::lease_term::LeaseTerm;
use crate::outgoing_command::{CommandResult, OutgoingCommand};
use crate::placement_times::PlacementTimes;
use crate::weight_budget::WeightBudget;

/// How many commands are in flight at once.
const MAX_IN_FLIGHT: usize = 8;

/// One command per engine at most; a newer one replaces an older one.
#[derive(Clone, Debug)]
pub struct CommandQueue {
    times: PlacementTimes,
    entries: BTreeMap<Arc<str>, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    wanted: DesiredState,
    loads_weights: bool,
    checks_fencing: bool,
    failures: u32,
    not_before: MonoMs,
    sent_at: Option<MonoMs>,
}

impl CommandQueue {
    /// Builds an empty queue.
    #[must_use]
    pub fn new(times: PlacementTimes) -> Self {
        Self {
            times,
            entries: BTreeMap::new(),
        }
    }

    /// Drops all commands, at the start of a tenure.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns the number of commands that wait or are in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true when there is no command.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Queues a command; the delay after earlier failures of the same command stays.
    pub fn push(
        &mut self,
        now: MonoMs,
        target: &Arc<str>,
        wanted: DesiredState,
        loads_weights: bool,
        checks_fencing: bool,
    ) {
        let before = self.entries.get(target);
        if before.is_some_and(|entry| entry.is_in_flight(now, &self.times)) {
            return;
        }
        let same = before.filter(|entry| entry.wanted == wanted);
        let entry = Entry {
            failures: same.map_or(0, |entry| entry.failures),
            not_before: same.map_or(now, |entry| entry.not_before),
            wanted,
            loads_weights,
            checks_fencing,
            sent_at: None,
        };
        self.entries.insert(target.clone(), entry);
    }

    /// Drops the commands to engines for which `keep` is false, unless they are in flight.
    pub fn retain(&mut self, now: MonoMs, keep: impl Fn(&str) -> bool) {
        let times = self.times;
        self.entries
            .retain(|target, entry| keep(target) || entry.is_in_flight(now, &times));
    }

    /// Drops the command to an engine that holds what it should, unless the command is in flight.
    pub fn remove_settled(&mut self, now: MonoMs, target: &str) {
        let entry = self.entries.get(target);
        if entry.is_some_and(|entry| !entry.is_in_flight(now, &self.times)) {
            self.entries.remove(target);
        }
    }

    /// Takes the commands that may be sent now.
    pub fn due(
        &mut self,
        now: MonoMs,
        tenure: LeaseTerm,
        weights: &mut WeightBudget,
    ) -> Vec<OutgoingCommand> {
        let times = self.times;
        let in_flight = self.entries.values();
        let in_flight = in_flight.filter(|entry| entry.is_in_flight(now, &times));
        let mut room = MAX_IN_FLIGHT.saturating_sub(in_flight.count());
        let mut commands = Vec::new();
        for (target, entry) in &mut self.entries {
            if room == 0 {
                break;
            }
            if !entry.may_be_sent(now, tenure, &times) {
                continue;
            }
            if entry.loads_weights && !weights.take(now) {
                continue;
            }
            room -= 1;
            entry.sent_at = Some(now);
            commands.push(OutgoingCommand {
                target: target.clone(),
                fencing: tenure.epoch,
                desired: entry.wanted.clone(),
            });
        }
        commands
    }

    /// Takes the result of a command.
    pub fn record_result(&mut self, now: MonoMs, command: &OutgoingCommand, result: CommandResult) {
        let Some(entry) = self.entries.get_mut(&command.target) else {
            return;
        };
        if entry.wanted != command.desired {
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
    /// A command whose sender vanished counts as lost after the longest command time.
    fn is_in_flight(&self, now: MonoMs, times: &PlacementTimes) -> bool {
        let limit_ms = times.command_timeout_ms + times.margin_ms;
        self.sent_at.is_some_and(|at| now.since_ms(at) < limit_ms)
    }

    fn may_be_sent(&self, now: MonoMs, tenure: LeaseTerm, times: &PlacementTimes) -> bool {
        let waited_ms = now.since_ms(tenure.acquired_at);
        let has_waited = self.checks_fencing || waited_ms >= times.unfenced_wait_ms();
        has_waited && now >= self.not_before && !self.is_in_flight(now, times)
    }
}
