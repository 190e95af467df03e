//! The protocol of one host: shards, held map, evidence and votes.

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

/// The protocol of one host. Methods may be called from many threads; each shard has its own lock.
///
/// The lock of the authority is taken before that of a shard.
pub struct Idem {
    pub(crate) me: MapHost,
    pub(crate) authority: Mutex<Authority>,
    pub(crate) shards: Vec<Mutex<Shard>>,
}

impl Idem {
    /// Builds the protocol for a process without a map; records take at most `table_bytes` bytes.
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

    /// Returns where requests with this key are decided.
    #[must_use]
    pub fn route(&self, key: RecordKey) -> IdemRoute {
        let shard = self.shards[shard_of(key)].lock();
        match &shard.view {
            None => IdemRoute::NoMap,
            Some(view) if view.owner == self.me.instance => IdemRoute::Here,
            Some(view) => IdemRoute::Forward(view.owner.clone()),
        }
    }

    /// Returns the held shard map.
    #[must_use]
    pub fn map(&self) -> Option<Arc<ShardMap>> {
        self.authority.lock().held.clone()
    }

    /// Returns the revision of the held shard map, 0 for none; probes carry it.
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

    /// Returns the shards that this host owns, and those for which it is the backup.
    #[must_use]
    pub fn roles(&self) -> (usize, usize) {
        let mut counts = (0, 0);
        for shard in &self.shards {
            let shard = shard.lock();
            let Some(view) = &shard.view else { continue };
            counts.0 += usize::from(view.owner == self.me.instance);
            counts.1 += usize::from(view.backup.as_ref() == Some(&self.me.instance));
        }
        counts
    }

    /// Decides on a request whose key routes here.
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

    /// Takes the ending of a run.
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

    /// Takes a message of another process.
    pub fn on_message(
        &self,
        from: &Instance,
        message: IdemMessage,
        now: MonoMs,
        out: &mut Vec<IdemAction>,
    ) {
        self.authority.lock().votes.heard(from, now);
        match message {
            IdemMessage::TakeoverQuery { revision, silent } => {
                self.authority
                    .lock()
                    .on_query(from, revision, &silent, now, out);
            }
            IdemMessage::TakeoverVote { revision, silent } => {
                let mut authority = self.authority.lock();
                let held = authority.revision();
                authority.votes.receive(revision, held, &from.host, silent);
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

    /// Takes a map that was read from the key-value service; `sent_at` is when the read was sent.
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
        let settled = authority.on_map(version, map, sent_at);
        let Some(held) = authority.held.clone() else {
            return;
        };
        for (number, shard) in self.shards.iter().enumerate() {
            let mut shard = shard.lock();
            shard.uncertain &= !settled;
            let view = &held.shards[number];
            let current = map.is_some_and(|map| {
                map.shards[number].epoch == view.epoch && map.shards[number].same_pair(view)
            });
            shard.set_view(view, current.then_some(sent_at), now, wall, out);
        }
    }

    /// Takes the result of a proposal.
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
                let uncertain = self.authority.lock().unclear_base.is_some();
                for shard in &self.shards {
                    shard.lock().uncertain &= uncertain;
                }
                out.push(IdemAction::ReadMap);
            }
            ProposalResult::Unclear => out.push(IdemAction::ReadMap),
        }
    }

    /// Takes a change of membership.
    pub fn on_member(&self, instance: &Instance, status: ProcessStatus) {
        self.authority.lock().on_member(instance, status);
    }

    /// Takes a probe that showed the given map revision; returns whether the acknowledgement counts as evidence.
    pub fn on_probe(&self, from: &Instance, shown_revision: u64, now: MonoMs) -> bool {
        let mut authority = self.authority.lock();
        authority.votes.heard(from, now);
        authority.votes.gives_evidence(from, shown_revision)
    }

    /// Takes the acknowledgement of a probe that this host sent at `sent_at`.
    pub fn on_probe_ack(&self, from: &Instance, sent_at: MonoMs, evidence: bool, now: MonoMs) {
        let mut authority = self.authority.lock();
        authority.votes.heard(from, now);
        if !evidence {
            return;
        }
        authority.peers.acknowledged(&from.host, sent_at);
        let Some(held) = authority.held.clone() else {
            return;
        };
        let moments = authority.peer_moments(&held);
        for (number, shard) in self.shards.iter().enumerate() {
            let mut shard = shard.lock();
            let Some(view) = &shard.view else { continue };
            // The view of a shard can be newer than the map that was read above.
            let same = view.epoch == held.shards[number].epoch;
            let moment = moments.get(&held.shards[number].electorate).copied();
            if same {
                shard.peer_at = moment.flatten();
            }
        }
    }

    /// Sets whether the wall clock agrees with the region; a host with a wrong clock accepts no unknown keys.
    pub fn set_clock_ok(&self, clock_ok: bool) {
        self.authority.lock().clock_ok = clock_ok;
    }

    /// Starts to hand over all shards.
    pub fn leave(&self) {
        self.authority.lock().leaving = true;
    }

    /// Does what is due; to be called about every 100 ms.
    pub fn tick(&self, now: MonoMs, wall: WallMs, out: &mut Vec<IdemAction>) {
        for shard in &self.shards {
            shard.lock().tick(now, wall, out);
        }
        self.propose(now, wall, out);
    }
}

/// What membership says about a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessStatus {
    /// It answers.
    Alive,
    /// It answers and will stop.
    Leaving,
    /// It is lost.
    Lost,
}
