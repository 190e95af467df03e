//! One shard on one host: its view, its records and its running claims.

use std::collections::BTreeMap;

use lw_base::{FastMap, Invariant, MonoMs, WallMs, violate};

use crate::action::{IdemAction, Ticket};
use crate::evidence::is_fresh;
use crate::instance::Instance;
use crate::message::IdemMessage;
use crate::record::{ClaimId, Ending, Record, RecordKey};
use crate::shard_map::ShardView;
use crate::shard_table::ShardTable;
use crate::transfer::Transfer;
use crate::waiting::{Waiting, refuse_unsent};

/// What must remain between the first sight of a takeover and its cutoff: evidence of 11 s, keys issued 2 s ahead and
/// clocks that differ by 3 s.
const CUTOFF_REST_MS: u64 = 16_000;

/// How often a shard is swept for old records.
const SWEEP_MS: u64 = 10_000;

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
    pub(crate) waiting: Waiting,
    pub(crate) transfer: Option<Transfer>,
    /// When the map was last read with the held epoch current.
    pub(crate) read_at: Option<MonoMs>,
    /// The latest moment of peer evidence.
    pub(crate) peer_at: Option<MonoMs>,
    /// True while a proposal of this host for this shard may or may not be stored.
    pub(crate) uncertain: bool,
    /// True when the own takeover was stored too late for its cutoff.
    pub(crate) late_cutoff: bool,
    pub(crate) next_number: u64,
    sweep_at: MonoMs,
}

impl Shard {
    pub(crate) fn new(number: u8, me: Instance, bytes_max: usize) -> Self {
        Self {
            number,
            me,
            view: None,
            table: ShardTable::new(bytes_max),
            pending: BTreeMap::new(),
            running: FastMap::default(),
            waiting: Waiting::default(),
            transfer: None,
            read_at: None,
            peer_at: None,
            uncertain: false,
            late_cutoff: false,
            next_number: 1,
            sweep_at: MonoMs(0),
        }
    }

    pub(crate) fn is_owner(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.owner == self.me)
    }

    /// Returns true when an owner may accept a key that it does not know.
    pub(crate) fn has_authority(&self, now: MonoMs) -> bool {
        let peers = !self.uncertain && is_fresh(self.peer_at, now);
        !self.late_cutoff && (is_fresh(self.read_at, now) || peers)
    }

    pub(crate) fn transferred(&self) -> bool {
        let Some(view) = &self.view else {
            return false;
        };
        self.transfer
            .as_ref()
            .is_some_and(|transfer| transfer.complete && transfer.epoch == view.epoch)
    }

    /// Takes a view of the same or a higher epoch; `read_at` is set when the key-value service showed it.
    pub(crate) fn set_view(
        &mut self,
        view: &ShardView,
        read_at: Option<MonoMs>,
        now: MonoMs,
        wall: WallMs,
        out: &mut Vec<IdemAction>,
    ) {
        let held_epoch = self.view.as_ref().map_or(0, |held| held.epoch);
        if view.epoch < held_epoch {
            return;
        }
        if view.epoch == held_epoch {
            self.refresh_view(view, read_at);
            return;
        }
        let owned = self.is_owner();
        self.view = Some(view.clone());
        self.read_at = read_at;
        self.peer_at = None;
        self.transfer = None;
        self.late_cutoff = false;
        if view.owner != self.me {
            if owned {
                self.drop_pending(out);
            }
            return;
        }
        self.late_cutoff = view.cutoff.is_some_and(|cutoff| {
            cutoff.epoch == view.epoch && cutoff.issued_before < wall.plus_ms(CUTOFF_REST_MS)
        });
        if view.backup.is_some() && !view.backup_complete {
            self.transfer = Some(Transfer::new(view.epoch, &self.table, now));
        }
        self.claim_again(now, out);
    }

    fn refresh_view(&mut self, view: &ShardView, read_at: Option<MonoMs>) {
        let Some(held) = &mut self.view else {
            return;
        };
        if !held.same_pair(view) {
            violate(
                Invariant::OneHolder,
                format_args!(
                    "shard {} has two views of epoch {}",
                    self.number, view.epoch
                ),
            );
            self.read_at = None;
            self.peer_at = None;
            return;
        }
        held.backup_complete |= view.backup_complete;
        held.electorate = view.electorate;
        self.read_at = read_at.max(self.read_at);
    }

    /// Refuses the claims that were not acknowledged; nothing was sent for them.
    fn drop_pending(&mut self, out: &mut Vec<IdemAction>) {
        let keys: Vec<RecordKey> = self.pending.keys().copied().collect();
        for key in keys {
            self.withdraw(&key, lw_base::ErrorKind::ClaimRefused, out);
        }
    }

    /// Gives up a claim before anything was sent.
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
            violate(Invariant::NotRunIsTrue, "a running claim was withdrawn");
        }
        self.table.release(key, pending.claim);
        out.push(refuse_unsent(pending.ticket, kind, pending.first_attempt));
        self.waiting.refuse(key, kind, out);
        self.copy_ending(*key, pending.claim, &Ending::NotRun, WallMs(0), out);
    }

    /// Claims the pending keys under a new epoch: only the backup of the current view counts.
    fn claim_again(&mut self, now: MonoMs, out: &mut Vec<IdemAction>) {
        let keys: Vec<RecordKey> = self.pending.keys().copied().collect();
        for key in keys {
            let claim = self.next_claim();
            let Some(former) = self.table.get(&key).cloned() else {
                continue;
            };
            // Replacing a record by one of the same size always fits.
            let stored = self.table.insert(Record { claim, ..former });
            debug_assert!(stored);
            if let Some(pending) = self.pending.get_mut(&key) {
                pending.claim = claim;
            }
            self.send_claim(&key, now, out);
        }
    }

    pub(crate) fn next_claim(&mut self) -> ClaimId {
        let number = self.next_number;
        self.next_number += 1;
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
            self.sweep_at = now.plus_ms(SWEEP_MS);
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
        let Some((part, records)) = transfer.due(&self.table, now) else {
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
