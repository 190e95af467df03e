//! The at-most-once protocol of one host.

use std::sync::Arc;

use lw_base::{MonoMs, WallMs};
use parking_lot::Mutex;

use crate::action::{IdemAction, IdemRequest, IdemRoute, ProposalResult};
use crate::authority::Authority;
use crate::instance::Instance;
use crate::message::IdemMessage;
use crate::record::{ClaimId, Ending, RecordKey};
use crate::shard::Shard;
use crate::shard_map::{MapHost, SHARDS, ShardMap, shard_of};

/// The at-most-once protocol of one host. Methods may be called from many threads; each shard has its own lock.
///
/// The authority lock is acquired before a shard lock, never while a shard lock is held.
pub struct Idem {
    pub(crate) me: MapHost,
    pub(crate) authority: Mutex<Authority>,
    pub(crate) shards: Vec<Mutex<Shard>>,
}

impl Idem {
    /// Builds the protocol for the process `me`, without a map; records occupy at most `table_bytes` bytes.
    #[must_use]
    pub fn new(me: MapHost, table_bytes: usize, now: MonoMs) -> Self {
        let shard = |number| {
            let number = u8::try_from(number).expect("there are 64 shards");
            Mutex::new(Shard::new(
                number,
                me.instance.clone(),
                table_bytes / SHARDS,
            ))
        };
        Self {
            shards: (0..SHARDS).map(shard).collect(),
            authority: Mutex::new(Authority::new(me.instance.clone(), now)),
            me,
        }
    }

    /// Returns which host handles requests with this key.
    #[must_use]
    pub fn route(&self, key: RecordKey) -> IdemRoute {
        let shard = self.shards[shard_of(key)].lock();
        match &shard.view {
            None => IdemRoute::NoMap,
            Some(view) if view.owner == self.me.instance => IdemRoute::Here,
            Some(view) => IdemRoute::Forward(view.owner.clone()),
        }
    }

    /// Returns the current shard map of this host.
    #[must_use]
    pub fn map(&self) -> Option<Arc<ShardMap>> {
        self.authority.lock().current_map.clone()
    }

    /// Returns the revision of the current shard map of this host, 0 for none. Probes carry it.
    #[must_use]
    pub fn map_revision(&self) -> u64 {
        self.authority.lock().revision()
    }

    /// Returns the number of records on this host.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| shard.lock().table.len())
            .sum()
    }

    /// Returns the number of shards that this host owns, and of those for which it is the backup.
    #[must_use]
    pub fn shard_counts(&self) -> (usize, usize) {
        let mut counts = (0, 0);
        for shard in &self.shards {
            let shard = shard.lock();
            let Some(view) = &shard.view else { continue };
            counts.0 += usize::from(view.owner == self.me.instance);
            counts.1 += usize::from(view.backup.as_ref() == Some(&self.me.instance));
        }
        counts
    }

    /// Handles a request whose key routes to this host.
    pub fn on_request(
        &self,
        request: &IdemRequest,
        now: MonoMs,
        wall: WallMs,
        out: &mut Vec<IdemAction>,
    ) {
        let clock_ok = self.authority.lock().clock_ok;
        let mut shard = self.shards[shard_of(request.key)].lock();
        shard.on_request(request, clock_ok, now, wall, out);
    }

    /// Records the ending of a run.
    pub fn on_ended(
        &self,
        key: RecordKey,
        claim: ClaimId,
        ending: &Ending,
        wall: WallMs,
        out: &mut Vec<IdemAction>,
    ) {
        let mut shard = self.shards[shard_of(key)].lock();
        shard.on_ended(key, claim, ending, wall, out);
    }

    /// Handles a message from another process.
    pub fn on_message(
        &self,
        from: &Instance,
        message: IdemMessage,
        now: MonoMs,
        out: &mut Vec<IdemAction>,
    ) {
        self.authority.lock().votes.record_message(from, now);
        match message {
            IdemMessage::TakeoverQuery { revision, silent } => {
                self.authority
                    .lock()
                    .on_takeover_query(from, revision, &silent, now, out);
            }
            IdemMessage::TakeoverVote { revision, silent } => {
                let mut authority = self.authority.lock();
                let current_revision = authority.revision();
                authority
                    .votes
                    .record_votes(revision, current_revision, &from.host, silent);
            }
            other => self.on_shard_message(from, other, now, out),
        }
    }

    fn on_shard_message(
        &self,
        from: &Instance,
        message: IdemMessage,
        now: MonoMs,
        out: &mut Vec<IdemAction>,
    ) {
        let Some(number) = message.shard() else {
            return;
        };
        let Some(shard) = self.shards.get(usize::from(number)) else {
            return;
        };
        let mut shard = shard.lock();
        match message {
            IdemMessage::Claim { epoch, record, .. } => shard.on_claim(from, epoch, record, out),
            IdemMessage::ClaimAck {
                key,
                claim,
                accepted,
                ..
            } => shard.on_claim_ack(from, &key, claim, accepted, now, out),
            IdemMessage::DoneCopy {
                key,
                claim,
                ending,
                ended,
                ..
            } => shard.on_done_copy(key, claim, ending, ended, out),
            IdemMessage::TransferPart {
                epoch,
                part,
                watermark,
                records,
                ..
            } => shard.on_transfer_part(from, epoch, part, watermark, records, out),
            IdemMessage::TransferAck { epoch, part, .. } => {
                shard.on_transfer_ack(from, epoch, part, now);
            }
            IdemMessage::TakeoverQuery { .. } | IdemMessage::TakeoverVote { .. } => {}
        }
    }

    /// Merges a map that was read from the key-value service; `sent_at` is when the read was sent.
    pub fn on_map(
        &self,
        version: u64,
        map: Option<&ShardMap>,
        sent_at: MonoMs,
        now: MonoMs,
        wall: WallMs,
        out: &mut Vec<IdemAction>,
    ) {
        let mut authority = self.authority.lock();
        let resolved = authority.on_map(version, map, sent_at);
        let Some(merged) = authority.current_map.clone() else {
            return;
        };
        for (number, shard) in self.shards.iter().enumerate() {
            let mut shard = shard.lock();
            shard.proposal_unresolved &= !resolved;
            let view = &merged.shards[number];
            let is_stored = map.is_some_and(|map| {
                map.shards[number].epoch == view.epoch && map.shards[number].same_pair(view)
            });
            shard.set_view(view, is_stored.then_some(sent_at), now, wall, out);
        }
    }

    /// Handles the result of a proposal.
    pub fn on_proposed(
        &self,
        result: ProposalResult,
        now: MonoMs,
        wall: WallMs,
        out: &mut Vec<IdemAction>,
    ) {
        let Some((map, sent_at)) = self.authority.lock().take_proposal(result) else {
            return;
        };
        match result {
            ProposalResult::Written { version } => {
                self.on_map(version, Some(&map), sent_at, now, wall, out);
            }
            ProposalResult::NotWritten => {
                let proposal_unresolved = self.authority.lock().unclear_base.is_some();
                for shard in &self.shards {
                    shard.lock().proposal_unresolved &= proposal_unresolved;
                }
                out.push(IdemAction::ReadMap);
            }
            ProposalResult::Unclear => out.push(IdemAction::ReadMap),
        }
    }

    /// Records the status of a process that membership reports.
    pub fn on_member(&self, instance: &Instance, status: ProcessStatus) {
        self.authority.lock().on_member(instance, status);
    }

    /// Records a probe whose sender has map revision `sender_revision`.
    ///
    /// Returns true when the acknowledgement counts as authority evidence for the sender.
    pub fn on_probe(&self, from: &Instance, sender_revision: u64, now: MonoMs) -> bool {
        let mut authority = self.authority.lock();
        authority.votes.record_message(from, now);
        authority.votes.gives_evidence(from, sender_revision)
    }

    /// Records the acknowledgement of a probe that this host sent at `sent_at`.
    ///
    /// It counts as authority evidence only when `evidence` is true.
    pub fn on_probe_ack(&self, from: &Instance, sent_at: MonoMs, evidence: bool, now: MonoMs) {
        let mut authority = self.authority.lock();
        authority.votes.record_message(from, now);
        if !evidence {
            return;
        }
        authority.peer_evidence.record_ack(&from.host, sent_at);
        let Some(map) = authority.current_map.clone() else {
            return;
        };
        let evidence_times = authority.peer_evidence_times(&map);
        for (number, shard) in self.shards.iter().enumerate() {
            let mut shard = shard.lock();
            let Some(view) = &shard.view else { continue };
            // The view of a shard can be newer than the map that was cloned above.
            let same = view.epoch == map.shards[number].epoch;
            let evidence_at = evidence_times.get(&map.shards[number].electorate).copied();
            if same {
                shard.peer_evidence_at = evidence_at.flatten();
            }
        }
    }

    /// Sets whether the wall clock agrees with the region; a host with a wrong clock accepts no keys without a record.
    pub fn set_clock_ok(&self, clock_ok: bool) {
        self.authority.lock().clock_ok = clock_ok;
    }

    /// Starts handing over all shards.
    pub fn leave(&self) {
        self.authority.lock().leaving = true;
    }

    /// Performs all work that is due. The host calls it about every 100 ms.
    pub fn tick(&self, now: MonoMs, wall: WallMs, out: &mut Vec<IdemAction>) {
        for shard in &self.shards {
            shard.lock().tick(now, wall, out);
        }
        self.propose(now, wall, out);
    }
}

/// The status of a process that membership reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessStatus {
    /// It acknowledges probes.
    Alive,
    /// It acknowledges probes and will stop.
    Leaving,
    /// Membership has declared it dead.
    Lost,
}
