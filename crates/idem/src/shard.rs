//! One shard on one host: its view, its records and its running claims.

use std::collections::BTreeMap;

use lw_base::{FastMap, Invariant, MonoMs, WallMs, report_violation};

use crate::action::{IdemAction, Ticket};
use crate::evidence::is_fresh;
use crate::instance::Instance;
use crate::message::IdemMessage;
use crate::record::{ClaimId, Ending, Record, RecordKey};
use crate::shard_map::ShardView;
use crate::shard_table::ShardTable;
use crate::transfer::Transfer;
use crate::waiting::{WaitingRepeats, refuse_unsent};

/// The least time that must remain until the cutoff when a host learns that its takeover is stored.
///
/// It covers evidence up to 11 s old, keys issued up to 2 s ahead and clocks that differ by up to 3 s.
const MIN_CUTOFF_MARGIN_MS: u64 = 16_000;

/// How often expired records of a shard are removed.
const SWEEP_INTERVAL_MS: u64 = 10_000;

/// A claim that the backup has not acknowledged yet.
#[derive(Debug)]
pub(crate) struct PendingClaim {
    pub(crate) ticket: Ticket,
    pub(crate) claim: ClaimId,
    pub(crate) first_attempt: bool,
    pub(crate) deadline: MonoMs,
    pub(crate) give_up_at: MonoMs,
    pub(crate) resend_at: MonoMs,
}

/// One shard on one host.
#[derive(Debug)]
pub(crate) struct Shard {
    pub(crate) number: u8,
    pub(crate) me: Instance,
    pub(crate) view: Option<ShardView>,
    pub(crate) table: ShardTable,
    pub(crate) pending: BTreeMap<RecordKey, PendingClaim>,
    pub(crate) running: FastMap<RecordKey, ClaimId>,
    pub(crate) waiting: WaitingRepeats,
    pub(crate) transfer: Option<Transfer>,
    /// The send time of the last read of the map that returned the current view.
    pub(crate) read_at: Option<MonoMs>,
    /// The time of the latest peer evidence.
    pub(crate) peer_evidence_at: Option<MonoMs>,
    /// True while it is not known whether a proposal of this host for this shard is stored.
    pub(crate) proposal_unresolved: bool,
    /// True when the takeover by this host was stored too late for its cutoff.
    pub(crate) cutoff_is_late: bool,
    pub(crate) next_claim_number: u64,
    sweep_at: MonoMs,
}

impl Shard {
    pub(crate) fn new(number: u8, me: Instance, max_bytes: usize) -> Self {
        Self {
            number,
            me,
            view: None,
            table: ShardTable::new(max_bytes),
            pending: BTreeMap::new(),
            running: FastMap::default(),
            waiting: WaitingRepeats::default(),
            transfer: None,
            read_at: None,
            peer_evidence_at: None,
            proposal_unresolved: false,
            cutoff_is_late: false,
            next_claim_number: 1,
            sweep_at: MonoMs(0),
        }
    }

    pub(crate) fn is_owner(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.owner == self.me)
    }

    /// Returns true when an owner may accept a key without a record.
    pub(crate) fn has_authority(&self, now: MonoMs) -> bool {
        let has_peer_evidence = !self.proposal_unresolved && is_fresh(self.peer_evidence_at, now);
        !self.cutoff_is_late && (is_fresh(self.read_at, now) || has_peer_evidence)
    }

    pub(crate) fn transferred(&self) -> bool {
        let Some(view) = &self.view else {
            return false;
        };
        self.transfer
            .as_ref()
            .is_some_and(|transfer| transfer.complete && transfer.epoch == view.epoch)
    }

    /// Adopts a view of the same or a higher epoch; `read_at` is the send time of a map read that returned this view.
    pub(crate) fn set_view(
        &mut self,
        view: &ShardView,
        read_at: Option<MonoMs>,
        now: MonoMs,
        wall: WallMs,
        out: &mut Vec<IdemAction>,
    ) {
        let current_epoch = self.view.as_ref().map_or(0, |current| current.epoch);
        if view.epoch < current_epoch {
            return;
        }
        if view.epoch == current_epoch {
            self.refresh_view(view, read_at);
            return;
        }
        let was_owner = self.is_owner();
        self.view = Some(view.clone());
        self.read_at = read_at;
        self.peer_evidence_at = None;
        self.transfer = None;
        self.cutoff_is_late = false;
        if view.owner != self.me {
            if was_owner {
                self.refuse_pending(out);
            }
            return;
        }
        self.cutoff_is_late = view.cutoff.is_some_and(|cutoff| {
            cutoff.epoch == view.epoch && cutoff.issued_before < wall.plus_ms(MIN_CUTOFF_MARGIN_MS)
        });
        if view.backup.is_some() && !view.backup_complete {
            self.transfer = Some(Transfer::new(view.epoch, &self.table, now));
        }
        self.renew_pending_claims(now, out);
    }

    fn refresh_view(&mut self, view: &ShardView, read_at: Option<MonoMs>) {
        let Some(current) = &mut self.view else {
            return;
        };
        if !current.same_pair(view) {
            report_violation(
                Invariant::OneHolder,
                format_args!(
                    "shard {} has two views of epoch {}",
                    self.number, view.epoch
                ),
            );
            self.read_at = None;
            self.peer_evidence_at = None;
            return;
        }
        current.backup_complete |= view.backup_complete;
        current.electorate = view.electorate;
        self.read_at = read_at.max(self.read_at);
    }

    /// Refuses all claims that the backup has not acknowledged; nothing was sent to a target for them.
    fn refuse_pending(&mut self, out: &mut Vec<IdemAction>) {
        let keys: Vec<RecordKey> = self.pending.keys().copied().collect();
        for key in keys {
            self.withdraw(&key, lw_base::ErrorKind::ClaimRefused, out);
        }
    }

    /// Withdraws a claim for which nothing was sent to a target.
    pub(crate) fn withdraw(
        &mut self,
        key: &RecordKey,
        kind: lw_base::ErrorKind,
        out: &mut Vec<IdemAction>,
    ) {
        let Some(pending) = self.pending.remove(key) else {
            return;
        };
        if self.running.contains_key(key) {
            report_violation(Invariant::NotRunIsTrue, "a running claim was withdrawn");
        }
        self.table.release(key, pending.claim);
        out.push(refuse_unsent(pending.ticket, kind, pending.first_attempt));
        self.waiting.refuse(key, kind, out);
        self.copy_ending(*key, pending.claim, &Ending::NotRun, WallMs(0), out);
    }

    /// Claims the pending keys again in a new epoch, because only the backup of the current view may acknowledge them.
    fn renew_pending_claims(&mut self, now: MonoMs, out: &mut Vec<IdemAction>) {
        let keys: Vec<RecordKey> = self.pending.keys().copied().collect();
        for key in keys {
            let claim = self.next_claim();
            let Some(former) = self.table.get(&key).cloned() else {
                continue;
            };
            // A record of the same size always fits in place of the old one.
            let stored = self.table.insert(Record { claim, ..former });
            debug_assert!(stored);
            if let Some(pending) = self.pending.get_mut(&key) {
                pending.claim = claim;
            }
            self.send_claim(&key, now, out);
        }
    }

    pub(crate) fn next_claim(&mut self) -> ClaimId {
        let number = self.next_claim_number;
        self.next_claim_number += 1;
        let epoch = self.view.as_ref().map_or(0, |view| view.epoch);
        ClaimId { epoch, number }
    }

    /// Sends the ending of a claim to the members of the current view.
    pub(crate) fn copy_ending(
        &self,
        key: RecordKey,
        claim: ClaimId,
        ending: &Ending,
        ended: WallMs,
        out: &mut Vec<IdemAction>,
    ) {
        let Some(view) = &self.view else {
            return;
        };
        let members = std::iter::once(&view.owner).chain(&view.backup);
        for to in members.filter(|member| **member != self.me) {
            out.push(IdemAction::Send {
                to: to.clone(),
                message: IdemMessage::DoneCopy {
                    shard: self.number,
                    key,
                    claim,
                    ending: ending.clone(),
                    ended,
                },
            });
        }
    }

    pub(crate) fn tick(&mut self, now: MonoMs, wall: WallMs, out: &mut Vec<IdemAction>) {
        self.waiting.expire(now, out);
        self.tick_pending(now, out);
        self.tick_transfer(now, wall, out);
        if now >= self.sweep_at {
            self.sweep_at = now.plus_ms(SWEEP_INTERVAL_MS);
            let (running, pending) = (&self.running, &self.pending);
            self.table.sweep(wall, |key| {
                running.contains_key(key) || pending.contains_key(key)
            });
        }
    }

    fn tick_transfer(&mut self, now: MonoMs, wall: WallMs, out: &mut Vec<IdemAction>) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        let Some(to) = self.view.as_ref().and_then(|view| view.backup.clone()) else {
            return;
        };
        let Some((part, records)) = transfer.next_part(&self.table, now) else {
            return;
        };
        out.push(IdemAction::Send {
            to,
            message: IdemMessage::TransferPart {
                shard: self.number,
                epoch: transfer.epoch,
                part,
                watermark: self.table.watermark(wall),
                records,
            },
        });
    }
}
