//! How a replica uses the key-value service.

use lw_base::prelude::*;
use lw_doc::DigestedDocument;

use crate::action::{ConfAction, Held, ServiceCall, ServiceEvent};
use crate::head::{Mark, StoredHead};
use crate::replica::Replica;

/// What a head means for the revision in force.
#[derive(Clone, Copy)]
enum Verdict {
    InForce,
    Newer,
    Lost,
    Forked,
}

impl Replica {
    /// Does what is due at `now`; to be called at least every 200 ms with a fresh random number.
    pub fn tick(&mut self, now: MonoMs, random: u64, out: &mut Vec<ConfAction>) {
        self.check_pull(now, out);
        if !self.uses_service() {
            return;
        }
        if let Some(call) = self.relay.next_read(now, random) {
            out.push(ConfAction::Call(call));
        }
    }

    /// Only relays use the service, and hosts that are not ready or that saw two documents of one revision.
    fn uses_service(&self) -> bool {
        let doubtful = self.fork_suspected || !self.unverified.is_empty();
        self.is_relay() || !self.ready() || doubtful || self.relay.repair_due
    }

    /// Handles the result of a call.
    pub fn on_service(
        &mut self,
        now: MonoMs,
        random: u64,
        event: ServiceEvent,
        out: &mut Vec<ConfAction>,
    ) {
        if !self.relay.finish() {
            return;
        }
        let settled = matches!(event, ServiceEvent::Settled | ServiceEvent::Whole(_));
        if std::mem::take(&mut self.verifying) && settled {
            self.unverified.pop_front();
        }
        match event {
            ServiceEvent::Head(stored) => self.on_head(now, random, stored, out),
            ServiceEvent::Unchanged => self.relay.unchanged(),
            ServiceEvent::Entries(entries) => {
                let applied = self.apply_entries(entries);
                if applied.is_empty() {
                    self.relay.read_again();
                }
                self.push_if_relay(&applied, out);
            }
            ServiceEvent::Whole(loaded) => {
                let newest = loaded.entries.last().cloned();
                if self.install_whole(DigestedDocument::new(loaded.document), loaded.entries) {
                    self.push_if_relay(newest.as_slice(), out);
                }
                self.relay.read_again();
            }
            ServiceEvent::Forked(stored) => self.repair(now, random, stored, Verdict::Forked, out),
            ServiceEvent::WrittenBack(head) => {
                log::info!("conf: wrote revision {} back", head.mark.revision);
                self.relay.read_again();
            }
            ServiceEvent::Settled | ServiceEvent::Overtaken => self.relay.read_again(),
            ServiceEvent::Failed(message) => {
                log::warn!("conf: the key-value service failed: {message}");
                self.relay.failed(now, random);
            }
        }
    }

    fn on_head(&mut self, now: MonoMs, random: u64, stored: StoredHead, out: &mut Vec<ConfAction>) {
        self.relay.head_seen(stored.version, stored.revision());
        match self.verdict(&stored) {
            Verdict::InForce => {
                self.relay.repair_due = false;
                self.relay.caught_up();
                self.fork_suspected = false;
                if let Some(held) = self.unverified.front().cloned() {
                    self.verifying = true;
                    self.call(now, ServiceCall::Verify { stored, held }, out);
                }
            }
            Verdict::Newer => {
                if !self.is_relay() && !self.relay.peers_had_time(now) {
                    self.relay.read_again();
                    return;
                }
                let have = self.mark();
                self.call(now, ServiceCall::Fetch { stored, have }, out);
            }
            verdict @ (Verdict::Lost | Verdict::Forked) => {
                self.repair(now, random, stored, verdict, out);
            }
        }
    }

    fn verdict(&self, stored: &StoredHead) -> Verdict {
        let Some(held) = self.mark() else {
            return match stored.head {
                Some(_) => Verdict::Newer,
                None => Verdict::InForce,
            };
        };
        let Some(head) = &stored.head else {
            return Verdict::Lost;
        };
        if head.mark == held {
            return Verdict::InForce;
        }
        if head.mark.revision > held.revision {
            return Verdict::Newer;
        }
        if self.passed(head.mark) {
            return Verdict::Lost;
        }
        Verdict::Forked
    }

    /// Returns true when the held chain passes through `mark` or does not reach back that far.
    fn passed(&self, mark: Mark) -> bool {
        self.history.contains(mark) || mark.revision < self.history.first_revision()
    }

    /// Repairs the service, after a random delay that lets one of many hosts do it.
    fn repair(
        &mut self,
        now: MonoMs,
        random: u64,
        stored: StoredHead,
        verdict: Verdict,
        out: &mut Vec<ConfAction>,
    ) {
        let Some(config) = self.config.clone() else {
            return;
        };
        if !self.relay.repair_due {
            self.relay.delay_repair(now, random);
            return;
        }
        self.relay.repair_due = false;
        let entries = self.history.entries();
        let held = Held { config, entries };
        let call = match verdict {
            Verdict::Forked => ServiceCall::Reconcile { stored, held },
            _ => ServiceCall::WriteBack { stored, held },
        };
        self.call(now, call, out);
    }

    fn call(&mut self, now: MonoMs, call: ServiceCall, out: &mut Vec<ConfAction>) {
        self.relay.follow_up(now);
        out.push(ConfAction::Call(call));
    }

    fn push_if_relay(&mut self, entries: &[crate::entry::Entry], out: &mut Vec<ConfAction>) {
        if self.is_relay() && !entries.is_empty() {
            self.push_own(entries, out);
        }
    }
}
