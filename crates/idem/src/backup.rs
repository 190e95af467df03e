//! The backup's part of the protocol for one shard.

use lw_base::{Invariant, WallMs, report_violation};

use crate::action::IdemAction;
use crate::instance::Instance;
use crate::message::IdemMessage;
use crate::record::{ClaimId, Ending, Record, RecordKey};
use crate::shard::Shard;

impl Shard {
    /// Accepts a claim, or refuses it when it does not come from the owner in the current view.
    pub(crate) fn on_claim(
        &mut self,
        from: &Instance,
        epoch: u64,
        record: Record,
        out: &mut Vec<IdemAction>,
    ) {
        let (key, claim) = (record.key, record.claim);
        let accepted =
            !self.proposal_unresolved && self.is_backup_of(from, epoch) && self.store_claim(record);
        let view_is_outdated = self.view.as_ref().is_none_or(|view| view.epoch < epoch);
        if view_is_outdated {
            out.push(IdemAction::ReadMap);
        }
        out.push(IdemAction::Send {
            to: from.clone(),
            message: IdemMessage::ClaimAck {
                shard: self.number,
                key,
                claim,
                accepted,
            },
        });
    }

    /// Returns true when this host is the backup of `owner` in exactly this epoch.
    fn is_backup_of(&self, owner: &Instance, epoch: u64) -> bool {
        let Some(view) = &self.view else {
            return false;
        };
        if view.epoch != epoch {
            return false;
        }
        if view.owner != *owner {
            report_violation(
                Invariant::OneHolder,
                format_args!(
                    "{owner} sent a claim in epoch {epoch}, which {} owns",
                    view.owner
                ),
            );
            return false;
        }
        view.backup.as_ref() == Some(&self.me)
    }

    fn store_claim(&mut self, record: Record) -> bool {
        let Some(known) = self.table.get(&record.key) else {
            return self.table.insert(record);
        };
        if known.claim >= record.claim {
            return known.claim == record.claim && known.ending.is_none();
        }
        if known.ending.is_some() {
            report_violation(
                Invariant::AtMostOnce,
                format_args!(
                    "key {} was claimed again after its run ended",
                    record.key.id
                ),
            );
            return false;
        }
        self.table.insert(record)
    }

    /// Records the ending of a claim that another host reports.
    pub(crate) fn on_done_copy(
        &mut self,
        key: RecordKey,
        claim: ClaimId,
        ending: Ending,
        ended: WallMs,
        out: &mut Vec<IdemAction>,
    ) {
        if self.pending.contains_key(&key) || self.running.contains_key(&key) {
            return;
        }
        if ending == Ending::NotRun {
            self.table.release(&key, claim);
            return;
        }
        self.waiting.answer(&key, &ending, out);
        self.table.end(&key, claim, ending, ended);
    }

    /// Stores a part of a transfer and acknowledges it.
    pub(crate) fn on_transfer_part(
        &mut self,
        from: &Instance,
        epoch: u64,
        part: u32,
        watermark: WallMs,
        records: Vec<Record>,
        out: &mut Vec<IdemAction>,
    ) {
        let view_is_outdated = self.view.as_ref().is_none_or(|view| view.epoch < epoch);
        if view_is_outdated {
            out.push(IdemAction::ReadMap);
        }
        if !self.is_backup_of(from, epoch) || !records.into_iter().all(|record| self.merge(record))
        {
            return;
        }
        self.table.raise_watermark(watermark);
        out.push(IdemAction::Send {
            to: from.clone(),
            message: IdemMessage::TransferAck {
                shard: self.number,
                epoch,
                part,
            },
        });
    }

    /// Stores a record unless the known record is newer or has an ending; returns false when the table is full.
    fn merge(&mut self, record: Record) -> bool {
        let Some(known) = self.table.get(&record.key) else {
            return self.table.insert(record);
        };
        let newer = record.claim > known.claim && known.ending.is_none();
        let adds_ending = record.claim == known.claim && known.ending.is_none();
        if newer || (adds_ending && record.ending.is_some()) {
            return self.table.insert(record);
        }
        true
    }
}
