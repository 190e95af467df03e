//! A replica's exchange with peers: pushes, pulls and heartbeats.

use bytes::Bytes;
use lw_base::prelude::*;

use crate::action::ConfAction;
use crate::audit_entry::AuditEntry;
use crate::document_assembly::DocumentAssembly;
use crate::head::RevisionMark;
use crate::message::{ConfMessage, DocumentPart, PartRequest};
use crate::pull::{Pull, PullTimeout};
use crate::replica::Replica;
use crate::served_document::ServedDocument;

impl Replica {
    /// Handles the revision that a peer's heartbeat or a region summary carries.
    pub fn on_peer_mark(
        &mut self,
        now: MonoMs,
        peer: &str,
        mark: RevisionMark,
        out: &mut Vec<ConfAction>,
    ) {
        let current = self.mark();
        if current.is_none_or(|current| mark.revision > current.revision) {
            self.start_pull(now, peer, out);
        } else if current
            .is_some_and(|current| current.revision == mark.revision && current != mark)
        {
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
                self.forward_push(&root, mark, entries, out);
                self.on_peer_mark(now, from, mark, out);
            }
            ConfMessage::Pull { have, part } => {
                let message = self.reply_to_pull(now, have, part);
                let to = from.to_owned();
                out.push(ConfAction::Send { to, message });
            }
            ConfMessage::Entries { newest, entries } => {
                self.on_entries(now, from, newest, &entries, out);
            }
            ConfMessage::Part(part) => self.on_part(now, from, &part, out),
        }
    }

    fn reply_to_pull(
        &mut self,
        now: MonoMs,
        have: Option<RevisionMark>,
        part: Option<PartRequest>,
    ) -> ConfMessage {
        if let (Some(serving), Some(request)) = (&mut self.served, part)
            && serving.matches_request(&request)
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
        if let Some(entries) = have.and_then(|have| self.history.entries_after(have)) {
            return ConfMessage::Entries { newest, entries };
        }
        // Keep serving a document that peers are fetching: with a new document for each change, peers might never
        // complete one. They pull the later entries afterwards.
        let in_progress = self.served.take().filter(|serving| {
            let newer = have.is_none_or(|have| serving.mark().revision > have.revision);
            newer && serving.is_in_use(now) && self.history.contains(serving.mark())
        });
        let serving =
            in_progress.unwrap_or_else(|| ServedDocument::new(config, &self.history, now));
        let part = self.served.insert(serving).part(0, now);
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
            part: pull.assembly.as_ref().map(DocumentAssembly::next_request),
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
        let current_revision = self.mark().map_or(0, |mark| mark.revision);
        // If no entry was applied, a further pull would receive the same reply.
        if !applied.is_empty() && newest.is_some_and(|newest| newest.revision > current_revision) {
            self.start_pull(now, from, out);
        }
    }

    fn on_part(&mut self, now: MonoMs, from: &str, part: &DocumentPart, out: &mut Vec<ConfAction>) {
        let Some(mut pull) = self.pull.take_if(|pull| pull.peer == from) else {
            return;
        };
        let appended = match &mut pull.assembly {
            Some(assembly) if part.offset != 0 => assembly.append(part),
            _ => {
                pull.assembly = DocumentAssembly::start(part);
                let assembly = pull.assembly.as_mut();
                assembly.is_some_and(|assembly| assembly.append(part))
            }
        };
        let Some(assembly) = &pull.assembly else {
            return;
        };
        if !assembly.is_complete() {
            if appended {
                pull.record_progress(now);
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
                // A further pull receives the revisions that were published during the transfer.
                self.start_pull(now, from, out);
            }
            None => log::warn!("conf: the document received from {from} is invalid"),
        }
    }

    /// Retries or abandons a pull that timed out, and drops a served document that no peer fetches any more.
    pub(crate) fn check_pull_timeout(&mut self, now: MonoMs, out: &mut Vec<ConfAction>) {
        let timeout = self.pull.as_mut().map(|pull| pull.check_timeout(now));
        match timeout {
            None | Some(PullTimeout::Pending) => {}
            Some(PullTimeout::Retry) => self.send_pull(out),
            Some(PullTimeout::GiveUp) => self.pull = None,
        }
        if self
            .served
            .as_ref()
            .is_some_and(|serving| !serving.is_in_use(now))
        {
            self.served = None;
        }
    }
}

fn decode_entries(entries: &[Bytes]) -> Vec<AuditEntry> {
    let decoded = entries.iter().map(|bytes| serde_json::from_slice(bytes));
    decoded.filter_map(Result::ok).collect()
}
