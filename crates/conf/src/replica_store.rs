//! The calls of a replica to the key-value service, and their results.

use lw_base::prelude::*;
use lw_doc::DigestedDocument;

use crate::action::{ConfAction, LocalRevision, StoreCall, StoreEvent};
use crate::head::{RevisionMark, StoredHead};
use crate::replica::Replica;

/// The state of a stored head relative to the revision in force.
#[derive(Clone, Copy)]
enum HeadState {
    InForce,
    Newer,
    /// The service lost the revision in force.
    Lost,
    /// Another document was published with the same or a lower revision.
    Forked,
}

impl Replica {
    /// Performs the work that is due at `now`. Must be called at least every 200 ms, with a new random number each
    /// time.
    pub fn tick(&mut self, now: MonoMs, random: u64, out: &mut Vec<ConfAction>) {
        self.check_pull_timeout(now, out);
        if !self.uses_store() {
            return;
        }
        if let Some(call) = self.schedule.next_read(now, random) {
            out.push(ConfAction::Call(call));
        }
    }

    /// Returns true for relays, and for hosts that are not ready, must verify or repair the chain, or suspect a fork.
    fn uses_store(&self) -> bool {
        let needs_verification = self.fork_suspected || !self.unverified.is_empty();
        self.is_relay() || !self.ready() || needs_verification || self.schedule.repair_due
    }

    /// Handles the result of a call.
    pub fn on_store_event(
        &mut self,
        now: MonoMs,
        random: u64,
        event: StoreEvent,
        out: &mut Vec<ConfAction>,
    ) {
        if !self.schedule.end_call() {
            return;
        }
        let verified = matches!(
            event,
            StoreEvent::AlreadyIncluded | StoreEvent::FullDocument(_)
        );
        if std::mem::take(&mut self.verifying) && verified {
            self.unverified.pop_front();
        }
        match event {
            StoreEvent::Head(stored) => self.on_head(now, random, stored, out),
            StoreEvent::Unchanged => self.schedule.record_unchanged(),
            StoreEvent::Entries(entries) => {
                let applied = self.apply_entries(entries);
                if applied.is_empty() {
                    self.schedule.require_read();
                }
                self.push_as_relay(&applied, out);
            }
            StoreEvent::FullDocument(loaded) => {
                let newest = loaded.entries.last().cloned();
                if self
                    .install_full_document(DigestedDocument::new(loaded.document), loaded.entries)
                {
                    self.push_as_relay(newest.as_slice(), out);
                }
                self.schedule.require_read();
            }
            StoreEvent::Forked(stored) => self.repair(now, random, stored, HeadState::Forked, out),
            StoreEvent::WrittenBack(head) => {
                log::info!("conf: wrote revision {} back", head.mark.revision);
                self.schedule.require_read();
            }
            StoreEvent::AlreadyIncluded | StoreEvent::HeadChanged => self.schedule.require_read(),
            StoreEvent::Failed(message) => {
                log::warn!("conf: the key-value service failed: {message}");
                self.schedule.record_failure(now, random);
            }
        }
    }

    fn on_head(&mut self, now: MonoMs, random: u64, stored: StoredHead, out: &mut Vec<ConfAction>) {
        self.schedule.record_head(stored.version, stored.revision());
        match self.head_state(&stored) {
            HeadState::InForce => {
                self.schedule.repair_due = false;
                self.schedule.record_caught_up();
                self.fork_suspected = false;
                if let Some(local) = self.unverified.front().cloned() {
                    self.verifying = true;
                    self.call(now, StoreCall::Verify { stored, local }, out);
                }
            }
            HeadState::Newer => {
                if !self.is_relay() && !self.schedule.peer_wait_elapsed(now) {
                    self.schedule.require_read();
                    return;
                }
                let known = self.mark();
                self.call(now, StoreCall::Fetch { stored, known }, out);
            }
            head_state @ (HeadState::Lost | HeadState::Forked) => {
                self.repair(now, random, stored, head_state, out);
            }
        }
    }

    fn head_state(&self, stored: &StoredHead) -> HeadState {
        let Some(current) = self.mark() else {
            return match stored.head {
                Some(_) => HeadState::Newer,
                None => HeadState::InForce,
            };
        };
        let Some(head) = &stored.head else {
            return HeadState::Lost;
        };
        if head.mark == current {
            return HeadState::InForce;
        }
        if head.mark.revision > current.revision {
            return HeadState::Newer;
        }
        if self.chain_includes(head.mark) {
            return HeadState::Lost;
        }
        HeadState::Forked
    }

    /// Returns true when the local chain contains `mark`, or starts above its revision.
    fn chain_includes(&self, mark: RevisionMark) -> bool {
        self.history.contains(mark) || mark.revision < self.history.first_revision()
    }

    /// Schedules a repair of the service after a random delay, or starts the repair that is due.
    ///
    /// With different delays, the first host repairs the service and the others find nothing to repair.
    fn repair(
        &mut self,
        now: MonoMs,
        random: u64,
        stored: StoredHead,
        head_state: HeadState,
        out: &mut Vec<ConfAction>,
    ) {
        let Some(config) = self.config.clone() else {
            return;
        };
        if !self.schedule.repair_due {
            self.schedule.schedule_repair(now, random);
            return;
        }
        self.schedule.repair_due = false;
        let entries = self.history.entries();
        let local = LocalRevision { config, entries };
        let call = match head_state {
            HeadState::Forked => StoreCall::Reconcile { stored, local },
            _ => StoreCall::WriteBack { stored, local },
        };
        self.call(now, call, out);
    }

    fn call(&mut self, now: MonoMs, call: StoreCall, out: &mut Vec<ConfAction>) {
        self.schedule.begin_follow_up(now);
        out.push(ConfAction::Call(call));
    }

    fn push_as_relay(
        &mut self,
        entries: &[crate::audit_entry::AuditEntry],
        out: &mut Vec<ConfAction>,
    ) {
        if self.is_relay() && !entries.is_empty() {
            self.push_from_here(entries, out);
        }
    }
}
