//! Repeats that wait for the first attempt with their key.

use std::collections::BTreeMap;

use lw_base::{ErrorKind, MonoMs, Outcome};

use crate::action::{IdemAction, Ticket};
use crate::record::{Ending, RecordKey};

/// The most repeats that wait for one key; more are told that the outcome is unknown.
const WAITING_PER_KEY: usize = 16;

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    deadline: MonoMs,
}

/// The waiting repeats of one shard.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    by_key: BTreeMap<RecordKey, Vec<Waiter>>,
}

impl Waiting {
    pub(crate) fn add(
        &mut self,
        key: RecordKey,
        ticket: Ticket,
        deadline: MonoMs,
        out: &mut Vec<IdemAction>,
    ) {
        let waiters = self.by_key.entry(key).or_default();
        if waiters.len() >= WAITING_PER_KEY {
            out.push(refuse(ticket, ErrorKind::DeadlineAfterSend));
            return;
        }
        waiters.push(Waiter { ticket, deadline });
    }

    pub(crate) fn answer(&mut self, key: &RecordKey, ending: &Ending, out: &mut Vec<IdemAction>) {
        for waiter in self.by_key.remove(key).unwrap_or_default() {
            out.push(answer_with(waiter.ticket, ending));
        }
    }

    pub(crate) fn refuse(&mut self, key: &RecordKey, kind: ErrorKind, out: &mut Vec<IdemAction>) {
        for waiter in self.by_key.remove(key).unwrap_or_default() {
            out.push(refuse(waiter.ticket, kind));
        }
    }

    pub(crate) fn expire(&mut self, now: MonoMs, out: &mut Vec<IdemAction>) {
        for waiters in self.by_key.values_mut() {
            waiters.retain(|waiter| {
                let waits = waiter.deadline > now;
                if !waits {
                    out.push(refuse(waiter.ticket, ErrorKind::DeadlineAfterSend));
                }
                waits
            });
        }
        self.by_key.retain(|_, waiters| !waiters.is_empty());
    }
}

/// Answers with a known ending.
pub(crate) fn answer_with(ticket: Ticket, ending: &Ending) -> IdemAction {
    match ending {
        Ending::Kept { .. } => IdemAction::Replay {
            ticket,
            ending: ending.clone(),
        },
        Ending::NotKept => refuse(ticket, ErrorKind::AnswerNotKept),
        Ending::Unknown => refuse(ticket, ErrorKind::OutcomeUnknown),
        Ending::NotRun => refuse(ticket, ErrorKind::TargetRefused),
    }
}

/// Refuses with the outcome that the table of error kinds states.
pub(crate) fn refuse(ticket: Ticket, kind: ErrorKind) -> IdemAction {
    IdemAction::Refuse {
        ticket,
        kind,
        outcome: lw_base::answer_for(kind).outcome,
    }
}

/// Refuses before anything was sent: a first attempt is certain not to have run.
pub(crate) fn refuse_unsent(ticket: Ticket, kind: ErrorKind, first_attempt: bool) -> IdemAction {
    let outcome = if first_attempt {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    };
    IdemAction::Refuse {
        ticket,
        kind,
        outcome,
    }
}
