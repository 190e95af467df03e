//! The owner's part of the protocol for one shard.

use lw_base::{ErrorKind, Invariant, MonoMs, WallMs, report_violation};

use crate::action::{IdemAction, IdemRequest};
use crate::instance::Instance;
use crate::message::IdemMessage;
use crate::record::{ClaimId, Ending, Record, RecordKey};
use crate::shard::{PendingClaim, Shard};
use crate::waiting::{answer_with, refuse, refuse_unsent};

/// How long a claim waits for the acknowledgement of the backup.
const CLAIM_TIMEOUT_MS: u64 = 2_000;

/// How long the owner waits for an acknowledgement before it sends a claim again.
const CLAIM_RESEND_MS: u64 = 100;

impl Shard {
    /// Answers a request whose key has a record; otherwise claims the key or refuses the request.
    pub(crate) fn on_request(
        &mut self,
        request: &IdemRequest,
        clock_ok: bool,
        now: MonoMs,
        wall: WallMs,
        out: &mut Vec<IdemAction>,
    ) {
        let ticket = request.ticket;
        if !self.is_owner() {
            let kind = ErrorKind::OwnerUnreachable;
            out.push(refuse_unsent(ticket, kind, request.first_attempt));
            return;
        }
        if self.on_known_key(request, out) {
            return;
        }
        let cutoff = self.view.as_ref().and_then(|view| view.cutoff);
        if request.issued < self.table.watermark(wall) {
            out.push(refuse(ticket, ErrorKind::KeyExpired));
        } else if cutoff.is_some_and(|cutoff| request.issued < cutoff.issued_before) {
            out.push(refuse(ticket, ErrorKind::OutcomeUnknown));
        } else if !clock_ok || !self.has_authority(now) || !self.claim(request, now, out) {
            let kind = ErrorKind::ClaimRefused;
            out.push(refuse_unsent(ticket, kind, request.first_attempt));
        }
    }

    /// Answers a request whose key has a record; returns false when there is none.
    fn on_known_key(&mut self, request: &IdemRequest, out: &mut Vec<IdemAction>) -> bool {
        let Some(record) = self.table.get(&request.key) else {
            return false;
        };
        let ticket = request.ticket;
        if record.digest != request.digest {
            out.push(refuse(ticket, ErrorKind::KeyReused));
            return true;
        }
        if let Some(ending) = &record.ending {
            out.push(answer_with(ticket, ending));
            return true;
        }
        let key = request.key;
        if self.running.contains_key(&key) || self.pending.contains_key(&key) {
            self.waiting.add(key, ticket, request.deadline, out);
        } else {
            out.push(refuse(ticket, ErrorKind::OutcomeUnknown));
        }
        true
    }

    /// Records a claim and sends it to the backup; returns false when the table is full.
    fn claim(&mut self, request: &IdemRequest, now: MonoMs, out: &mut Vec<IdemAction>) -> bool {
        let claim = self.next_claim();
        let record = Record {
            key: request.key,
            issued: request.issued,
            digest: request.digest,
            claim,
            ending: None,
            ended: None,
        };
        if !self.table.insert(record) {
            return false;
        }
        let pending = PendingClaim {
            ticket: request.ticket,
            claim,
            first_attempt: request.first_attempt,
            deadline: request.deadline,
            give_up_at: now.plus_ms(CLAIM_TIMEOUT_MS).min(request.deadline),
            resend_at: now,
        };
        self.pending.insert(request.key, pending);
        self.send_claim(&request.key, now, out);
        true
    }

    /// Sends a pending claim to the backup; in a view without a backup the request runs immediately.
    pub(crate) fn send_claim(&mut self, key: &RecordKey, now: MonoMs, out: &mut Vec<IdemAction>) {
        let Some(view) = &self.view else {
            return;
        };
        let Some(to) = view.backup.clone() else {
            self.run(key, now, out);
            return;
        };
        let (Some(pending), Some(record)) = (self.pending.get_mut(key), self.table.get(key)) else {
            return;
        };
        pending.resend_at = now.plus_ms(CLAIM_RESEND_MS);
        out.push(IdemAction::Send {
            to,
            message: IdemMessage::Claim {
                shard: self.number,
                epoch: view.epoch,
                record: record.clone(),
            },
        });
    }

    /// Handles the backup's answer to a claim.
    pub(crate) fn on_claim_ack(
        &mut self,
        from: &Instance,
        key: &RecordKey,
        claim: ClaimId,
        accepted: bool,
        now: MonoMs,
        out: &mut Vec<IdemAction>,
    ) {
        let current = self.view.as_ref().is_some_and(|view| {
            view.owner == self.me && view.epoch == claim.epoch && view.backup.as_ref() == Some(from)
        });
        let matches = self
            .pending
            .get(key)
            .is_some_and(|pending| pending.claim == claim);
        if !current || !matches {
            return;
        }
        if accepted {
            self.run(key, now, out);
        } else {
            // One of the two hosts has an outdated map; the claim is resent until it times out.
            out.push(IdemAction::ReadMap);
        }
    }

    fn run(&mut self, key: &RecordKey, now: MonoMs, out: &mut Vec<IdemAction>) {
        let Some(pending) = self.pending.get(key) else {
            return;
        };
        if now >= pending.deadline {
            self.withdraw(key, ErrorKind::DeadlineBeforeSend, out);
            return;
        }
        let (ticket, claim) = (pending.ticket, pending.claim);
        let open = self
            .table
            .get(key)
            .is_some_and(|record| record.claim == claim && record.ending.is_none());
        if !open || self.running.contains_key(key) {
            report_violation(Invariant::AtMostOnce, "a claim was about to run twice");
            self.withdraw(key, ErrorKind::Internal, out);
            return;
        }
        self.pending.remove(key);
        self.running.insert(*key, claim);
        out.push(IdemAction::Run {
            ticket,
            key: *key,
            claim,
        });
    }

    /// Records the ending of a run and copies it to the members of the view.
    pub(crate) fn on_ended(
        &mut self,
        key: RecordKey,
        claim: ClaimId,
        ending: &Ending,
        wall: WallMs,
        out: &mut Vec<IdemAction>,
    ) {
        if self.running.get(&key) != Some(&claim) {
            return;
        }
        self.running.remove(&key);
        if *ending == Ending::NotRun {
            self.table.release(&key, claim);
        } else {
            self.table.end(&key, claim, ending.clone(), wall);
        }
        self.waiting.answer(&key, ending, out);
        self.copy_ending(key, claim, ending, wall, out);
    }

    pub(crate) fn on_transfer_ack(&mut self, from: &Instance, epoch: u64, part: u32, now: MonoMs) {
        let current = self
            .view
            .as_ref()
            .is_some_and(|view| view.epoch == epoch && view.backup.as_ref() == Some(from));
        if let Some(transfer) = self.transfer.as_mut().filter(|_| current) {
            transfer.acknowledged(part, now);
        }
    }

    pub(crate) fn tick_pending(&mut self, now: MonoMs, out: &mut Vec<IdemAction>) {
        let keys: Vec<RecordKey> = self.pending.keys().copied().collect();
        for key in keys {
            let Some(pending) = self.pending.get(&key) else {
                continue;
            };
            if now >= pending.give_up_at {
                self.withdraw(&key, ErrorKind::ClaimRefused, out);
            } else if now >= pending.resend_at {
                self.send_claim(&key, now, out);
            }
        }
    }
}
