//! Repeated requests that wait for the first attempt with their key.

use std::collections::BTreeMap;

use lw_base::{ErrorKind, MonoMs, Outcome};

use crate::action::{IdemAction, Ticket};
use crate::record::{Ending, RecordKey};

/// The most repeats that wait for one key; further ones are refused with an unknown outcome.
const MAX_WAITING_PER_KEY: usize = 16;

#[derive(Debug)]
struct Repeat {
    ticket: Ticket,
    deadline: MonoMs,
}

/// The repeated requests of one shard that wait for an ending.
#[derive(Debug, Default)]
pub(crate) struct WaitingRepeats {
    by_key: BTreeMap<RecordKey, Vec<Repeat>>,
}

impl WaitingRepeats {
    pub(crate) fn add(
        &mut self,
        key: RecordKey,
        ticket: Ticket,
        deadline: MonoMs,
        out: &mut Vec<IdemAction>,
    ) {
        let repeats = self.by_key.entry(key).or_default();
        if repeats.len() >= MAX_WAITING_PER_KEY {
            out.push(refuse(ticket, ErrorKind::DeadlineAfterSend));
            return;
        }
        repeats.push(Repeat { ticket, deadline });
    }

    pub(crate) fn answer(&mut self, key: &RecordKey, ending: &Ending, out: &mut Vec<IdemAction>) {
        for repeat in self.by_key.remove(key).unwrap_or_default() {
            out.push(answer_with(repeat.ticket, ending));
        }
    }

    pub(crate) fn refuse(&mut self, key: &RecordKey, kind: ErrorKind, out: &mut Vec<IdemAction>) {
        for repeat in self.by_key.remove(key).unwrap_or_default() {
            out.push(refuse(repeat.ticket, kind));
        }
    }

    pub(crate) fn expire(&mut self, now: MonoMs, out: &mut Vec<IdemAction>) {
        for repeats in self.by_key.values_mut() {
            repeats.retain(|repeat| {
                let in_time = repeat.deadline > now;
                if !in_time {
                    out.push(refuse(repeat.ticket, ErrorKind::DeadlineAfterSend));
                }
                in_time
            });
        }
        self.by_key.retain(|_, repeats| !repeats.is_empty());
    }
}

/// Returns the answer for a known ending.
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

/// Returns a refusal with the default outcome of the error kind.
pub(crate) fn refuse(ticket: Ticket, kind: ErrorKind) -> IdemAction {
    IdemAction::Refuse {
        ticket,
        kind,
        outcome: lw_base::error_response(kind).outcome,
    }
}

/// Returns a refusal of a request that was not sent to a target.
///
/// A first attempt has certainly not run; the outcome of an earlier attempt with the key is unknown.
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
