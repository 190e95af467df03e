//! What a host knows about the map and about the other hosts.

use std::sync::Arc;

use lw_base::{FastMap, FastSet, Invariant, MonoMs, ranked, violate};

use crate::action::{IdemAction, ProposalResult};
use crate::evidence::PeerEvidence;
use crate::idem::ProcessStatus;
use crate::instance::Instance;
use crate::message::IdemMessage;
use crate::shard_map::{ShardMap, ShardView};
use crate::votes::Votes;

/// How long after its start a host waits for membership before it takes a process as lost that it has not heard of.
const SETTLE_MS: u64 = 15_000;

/// Ranks the hosts for proposals; the keys of shards are hashes of other values.
const RANK_KEY: u64 = 0;

/// A proposal whose reply is awaited.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub(crate) map: Arc<ShardMap>,
    pub(crate) sent_at: MonoMs,
}

/// What a host knows about the map and about the other hosts.
#[derive(Debug)]
pub(crate) struct Authority {
    pub(crate) me: Instance,
    pub(crate) started: MonoMs,
    pub(crate) held: Option<Arc<ShardMap>>,
    /// The version of the last map that was read, and whether one was read at all.
    pub(crate) version: Option<u64>,
    /// When the last read of the map was sent.
    pub(crate) read_at: Option<MonoMs>,
    /// True when the held map contains views that the key-value service has lost.
    pub(crate) write_back: bool,
    pub(crate) proposal: Option<Proposal>,
    /// The base revision of a proposal whose reply was lost.
    pub(crate) unclear_base: Option<u64>,
    pub(crate) next_propose: MonoMs,
    /// Since when this host has a change to propose that can wait for its turn.
    pub(crate) waits_since: Option<MonoMs>,
    pub(crate) peers: PeerEvidence,
    pub(crate) votes: Votes,
    pub(crate) clock_ok: bool,
    pub(crate) leaving: bool,
    alive: FastSet<Instance>,
    leaving_hosts: FastSet<Instance>,
    lost: FastSet<Instance>,
}

impl Authority {
    pub(crate) fn new(me: Instance, now: MonoMs) -> Self {
        Self {
            me,
            started: now,
            held: None,
            version: None,
            read_at: None,
            write_back: false,
            proposal: None,
            unclear_base: None,
            next_propose: now,
            waits_since: None,
            peers: PeerEvidence::default(),
            votes: Votes::new(now),
            clock_ok: true,
            leaving: false,
            alive: FastSet::default(),
            leaving_hosts: FastSet::default(),
            lost: FastSet::default(),
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.held.as_ref().map_or(0, |map| map.revision)
    }

    /// Merges a read map; returns true when an unclear proposal is settled by it.
    pub(crate) fn on_map(
        &mut self,
        version: u64,
        read: Option<&ShardMap>,
        sent_at: MonoMs,
    ) -> bool {
        self.version = Some(version);
        self.read_at = self.read_at.max(Some(sent_at));
        let Some(read) = read else {
            self.write_back = self.held.is_some();
            return false;
        };
        let (map, contributed) = match &self.held {
            None => (read.clone(), false),
            Some(held) => held.merged_over(read),
        };
        self.write_back = contributed;
        let lower = map
            .shards
            .iter()
            .zip(self.held.iter().flat_map(|held| &held.shards));
        if lower.into_iter().any(|(new, held)| new.epoch < held.epoch) {
            violate(Invariant::OneHolder, "a view went back to a lower epoch");
        }
        self.held = Some(Arc::new(map));
        let settled =
            self.proposal.is_none() && self.unclear_base.is_none_or(|base| read.revision > base);
        if settled {
            self.unclear_base = None;
        }
        settled
    }

    pub(crate) fn take_proposal(
        &mut self,
        result: ProposalResult,
    ) -> Option<(Arc<ShardMap>, MonoMs)> {
        let proposal = self.proposal.take()?;
        if result == ProposalResult::Unclear {
            let base = proposal.map.revision - 1;
            self.unclear_base = self.unclear_base.max(Some(base));
        }
        Some((proposal.map, proposal.sent_at))
    }

    pub(crate) fn on_member(&mut self, instance: &Instance, status: ProcessStatus) {
        match status {
            ProcessStatus::Alive => {
                self.alive.insert(instance.clone());
                self.leaving_hosts.remove(instance);
                self.lost.remove(instance);
            }
            ProcessStatus::Leaving => {
                self.alive.insert(instance.clone());
                self.lost.remove(instance);
                self.leaving_hosts.insert(instance.clone());
            }
            ProcessStatus::Lost => {
                self.alive.remove(instance);
                self.leaving_hosts.remove(instance);
                self.lost.insert(instance.clone());
            }
        }
    }

    pub(crate) fn is_lost(&self, instance: &Instance, now: MonoMs) -> bool {
        if *instance == self.me {
            return false;
        }
        let settled = now.since_ms(self.started) >= SETTLE_MS;
        self.lost.contains(instance)
            || self.votes.superseded(instance)
            || (settled && !self.alive.contains(instance))
    }

    /// Returns the place of this host among the live hosts that it knows, in rendezvous order.
    pub(crate) fn rank(&self) -> usize {
        let others = self.alive.iter().filter(|host| **host != self.me);
        let names: Vec<&[u8]> = std::iter::once(&self.me)
            .chain(others)
            .map(|host| host.host.as_bytes())
            .collect();
        let order = ranked(RANK_KEY, &names);
        order.iter().position(|index| *index == 0).unwrap_or(0)
    }

    pub(crate) fn is_leaving(&self, instance: &Instance) -> bool {
        self.leaving_hosts.contains(instance)
    }

    pub(crate) fn on_query(
        &mut self,
        from: &Instance,
        revision: u64,
        silent: &[Instance],
        now: MonoMs,
        out: &mut Vec<IdemAction>,
    ) {
        let me = self.me.clone();
        let silent = self.votes.vote(revision, silent, &me, now);
        out.push(IdemAction::Send {
            to: from.clone(),
            message: IdemMessage::TakeoverVote { revision, silent },
        });
    }

    /// Returns the members of a view that cannot take part, other than this host, when no member can consent.
    pub(crate) fn silent_members(&self, view: &ShardView, now: MonoMs) -> Option<Vec<Instance>> {
        if view.owner == self.me || !self.is_lost(&view.owner, now) {
            return None;
        }
        let backup = view.backup.as_ref();
        let mine = backup == Some(&self.me);
        if mine && view.backup_complete {
            return None;
        }
        if !mine && backup.is_some_and(|backup| !self.is_lost(backup, now)) {
            return None;
        }
        let members = std::iter::once(&view.owner).chain(backup);
        Some(
            members
                .filter(|member| **member != self.me)
                .cloned()
                .collect(),
        )
    }

    pub(crate) fn peer_moments(&self, map: &ShardMap) -> FastMap<u32, Option<MonoMs>> {
        map.electorates
            .iter()
            .map(|(id, names)| (*id, self.peers.moment(names, &self.me.host)))
            .collect()
    }
}
