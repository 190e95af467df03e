//! How a replica handles peers: pushes, pulls and heartbeats.

use bytes::Bytes;
use lw_base::prelude::*;

use crate::action::ConfAction;
use crate::assembly::Assembly;
use crate::entry::Entry;
use crate::head::RevisionMark;
use crate::message::{ConfMessage, Part, PartRequest};
use crate::pull::{Overdue, Pull};
use crate::replica::Replica;
use crate::serving::Serving;

impl Replica {
    /// Handles the revision that a peer's heartbeat or a region summary carries.
    pub fn on_peer_mark(
        &mut self,
        now: MonoMs,
        peer: &str,
        mark: RevisionMark,
        out: &mut Vec<ConfAction>,
    ) {
        let held = self.mark();
        if held.is_none_or(|held| mark.revision > held.revision) {
            self.start_pull(now, peer, out);
        } else if held.is_some_and(|held| held.revision == mark.revision && held != mark) {
            self.fork_suspected = true;
        }
    }

    /// Handles a message of the peer `from`.
    pub fn on_message(
        &mut self,
        now: MonoMs,
        from: &str,
        message: ConfMessage,
        out: &mut Vec<ConfAction>,
    ) {
        match message {
            ConfMessage::Push {
                root,
                mark,
                entries,
            } => {
                self.apply_entries(decode_entries(&entries));
                self.push(&root, mark, entries, out);
                self.on_peer_mark(now, from, mark, out);
            }
            ConfMessage::Pull { have, part } => {
                let message = self.answer(now, have, part);
                let to = from.to_owned();
                out.push(ConfAction::Send { to, message });
            }
            ConfMessage::Entries { newest, entries } => {
                self.on_entries(now, from, newest, &entries, out);
            }
            ConfMessage::Part(part) => self.on_part(now, from, &part, out),
        }
    }

    fn answer(
        &mut self,
        now: MonoMs,
        have: Option<RevisionMark>,
        part: Option<PartRequest>,
    ) -> ConfMessage {
        if let (Some(serving), Some(request)) = (&mut self.serving, part)
            && serving.serves(&request)
        {
            return ConfMessage::Part(serving.part(request.offset, now));
        }
        let newest = self.mark();
        let Some(config) = &self.config else {
            let entries = Vec::new();
            return ConfMessage::Entries { newest, entries };
        };
        if have.is_some_and(|have| have.revision >= config.mark.revision) {
            let entries = Vec::new();
            return ConfMessage::Entries { newest, entries };
        }
        if let Some(entries) = have.and_then(|have| self.history.after(have)) {
            return ConfMessage::Entries { newest, entries };
        }
        // A document that others fetch stays frozen, so that steady changes cannot starve them; entries fill the rest.
        let frozen = self.serving.take().filter(|serving| {
            let newer = have.is_none_or(|have| serving.mark().revision > have.revision);
            newer && serving.in_use(now) && self.history.contains(serving.mark())
        });
        let serving = frozen.unwrap_or_else(|| Serving::new(config, &self.history, now));
        let part = self.serving.insert(serving).part(0, now);
        ConfMessage::Part(part)
    }

    fn start_pull(&mut self, now: MonoMs, peer: &str, out: &mut Vec<ConfAction>) {
        if self.pull.is_some() {
            return;
        }
        self.pull = Some(Pull::new(peer, now));
        self.send_pull(out);
    }

    fn send_pull(&self, out: &mut Vec<ConfAction>) {
        let Some(pull) = &self.pull else {
            return;
        };
        let message = ConfMessage::Pull {
            have: self.mark(),
            part: pull.assembly.as_ref().map(Assembly::next_request),
        };
        let to = pull.peer.clone();
        out.push(ConfAction::Send { to, message });
    }

    fn on_entries(
        &mut self,
        now: MonoMs,
        from: &str,
        newest: Option<RevisionMark>,
        entries: &[Bytes],
        out: &mut Vec<ConfAction>,
    ) {
        let applied = self.apply_entries(decode_entries(entries));
        if self.pull.as_ref().is_none_or(|pull| pull.peer != from) {
            return;
        }
        self.pull = None;
        let held = self.mark().map_or(0, |mark| mark.revision);
        // Without progress a further pull would get the same answer.
        if !applied.is_empty() && newest.is_some_and(|newest| newest.revision > held) {
            self.start_pull(now, from, out);
        }
    }

    fn on_part(&mut self, now: MonoMs, from: &str, part: &Part, out: &mut Vec<ConfAction>) {
        let Some(mut pull) = self.pull.take_if(|pull| pull.peer == from) else {
            return;
        };
        let appended = match &mut pull.assembly {
            Some(assembly) if part.offset != 0 => assembly.append(part),
            _ => {
                pull.assembly = Assembly::start(part);
                let assembly = pull.assembly.as_mut();
                assembly.is_some_and(|assembly| assembly.append(part))
            }
        };
        let Some(assembly) = &pull.assembly else {
            return;
        };
        if !assembly.complete() {
            if appended {
                pull.progress(now);
            }
            self.pull = Some(pull);
            if appended {
                self.send_pull(out);
            }
            return;
        }
        match assembly.finish() {
            Some((document, entries)) => {
                self.install_from_peer(document, entries);
                // What was published during the transfer follows as entries.
                self.start_pull(now, from, out);
            }
            None => log::warn!("conf: the document from {from} is damaged"),
        }
    }

    /// Repeats or gives up a pull that waits too long.
    pub(crate) fn check_pull(&mut self, now: MonoMs, out: &mut Vec<ConfAction>) {
        let overdue = self.pull.as_mut().map(|pull| pull.overdue(now));
        match overdue {
            None | Some(Overdue::No) => {}
            Some(Overdue::Repeat) => self.send_pull(out),
            Some(Overdue::GiveUp) => self.pull = None,
        }
        if self
            .serving
            .as_ref()
            .is_some_and(|serving| !serving.in_use(now))
        {
            self.serving = None;
        }
    }
}

fn decode_entries(entries: &[Bytes]) -> Vec<Entry> {
    let decoded = entries.iter().map(|bytes| serde_json::from_slice(bytes));
    decoded.filter_map(Result::ok).collect()
}
