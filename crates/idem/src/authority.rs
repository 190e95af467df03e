//! The current shard map of a host, its proposal, and what it knows about the other hosts.

use std::sync::Arc;

use lw_base::{FastMap, FastSet, Invariant, MonoMs, ranked, report_violation};

use crate::action::{IdemAction, ProposalResult};
use crate::evidence::PeerEvidence;
use crate::idem::ProcessStatus;
use crate::instance::Instance;
use crate::message::IdemMessage;
use crate::shard_map::{ShardMap, ShardView};
use crate::votes::Votes;

/// How long after its start a host waits before it considers a process lost that membership has not reported.
const MEMBERSHIP_SETTLE_MS: u64 = 15_000;

/// The rendezvous key that ranks hosts for proposals; shard placement uses hashes of shard numbers instead.
const PROPOSAL_RANK_KEY: u64 = 0;

/// A proposal whose reply is awaited.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub(crate) map: Arc<ShardMap>,
    pub(crate) sent_at: MonoMs,
}

/// The current shard map of a host, its proposal, and what it knows about the other hosts.
#[derive(Debug)]
pub(crate) struct Authority {
    pub(crate) me: Instance,
    pub(crate) started_at: MonoMs,
    pub(crate) current_map: Option<Arc<ShardMap>>,
    /// The version in the key-value service at the last read of the map, `None` before the first read.
    pub(crate) version: Option<u64>,
    /// When the last read of the map was sent.
    pub(crate) read_at: Option<MonoMs>,
    /// True when the current map contains views that the key-value service has lost.
    pub(crate) write_back: bool,
    pub(crate) proposal: Option<Proposal>,
    /// The base revision of a proposal whose reply was lost.
    pub(crate) unclear_base: Option<u64>,
    pub(crate) next_propose_at: MonoMs,
    /// Since when this host has had a change to propose that is not urgent.
    pub(crate) deferred_since: Option<MonoMs>,
    pub(crate) peer_evidence: PeerEvidence,
    pub(crate) votes: Votes,
    pub(crate) clock_ok: bool,
    pub(crate) leaving: bool,
    alive: FastSet<Instance>,
    leaving_processes: FastSet<Instance>,
    lost: FastSet<Instance>,
}

impl Authority {
    pub(crate) fn new(me: Instance, now: MonoMs) -> Self {
        Self {
            me,
            started_at: now,
            current_map: None,
            version: None,
            read_at: None,
            write_back: false,
            proposal: None,
            unclear_base: None,
            next_propose_at: now,
            deferred_since: None,
            peer_evidence: PeerEvidence::default(),
            votes: Votes::new(now),
            clock_ok: true,
            leaving: false,
            alive: FastSet::default(),
            leaving_processes: FastSet::default(),
            lost: FastSet::default(),
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.current_map.as_ref().map_or(0, |map| map.revision)
    }

    /// Merges a map that was read; returns true when no proposal of this host is unresolved afterwards.
    pub(crate) fn on_map(
        &mut self,
        version: u64,
        read: Option<&ShardMap>,
        sent_at: MonoMs,
    ) -> bool {
        self.version = Some(version);
        self.read_at = self.read_at.max(Some(sent_at));
        let Some(read) = read else {
            self.write_back = self.current_map.is_some();
            return false;
        };
        let (map, lost_by_service) = match &self.current_map {
            None => (read.clone(), false),
            Some(current) => current.merged_over(read),
        };
        self.write_back = lost_by_service;
        let views = map
            .shards
            .iter()
            .zip(self.current_map.iter().flat_map(|current| &current.shards));
        if views
            .into_iter()
            .any(|(new, current)| new.epoch < current.epoch)
        {
            report_violation(Invariant::OneHolder, "a view returned to a lower epoch");
        }
        self.current_map = Some(Arc::new(map));
        let resolved =
            self.proposal.is_none() && self.unclear_base.is_none_or(|base| read.revision > base);
        if resolved {
            self.unclear_base = None;
        }
        resolved
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
                self.leaving_processes.remove(instance);
                self.lost.remove(instance);
            }
            ProcessStatus::Leaving => {
                self.alive.insert(instance.clone());
                self.lost.remove(instance);
                self.leaving_processes.insert(instance.clone());
            }
            ProcessStatus::Lost => {
                self.alive.remove(instance);
                self.leaving_processes.remove(instance);
                self.lost.insert(instance.clone());
            }
        }
    }

    pub(crate) fn is_lost(&self, instance: &Instance, now: MonoMs) -> bool {
        if *instance == self.me {
            return false;
        }
        let membership_settled = now.since_ms(self.started_at) >= MEMBERSHIP_SETTLE_MS;
        self.lost.contains(instance)
            || self.votes.has_later_incarnation(instance)
            || (membership_settled && !self.alive.contains(instance))
    }

    /// Returns the rank of this host among the live hosts that it knows, in rendezvous order from 0.
    pub(crate) fn rank(&self) -> usize {
        let others = self.alive.iter().filter(|host| **host != self.me);
        let names: Vec<&[u8]> = std::iter::once(&self.me)
            .chain(others)
            .map(|host| host.host.as_bytes())
            .collect();
        let order = ranked(PROPOSAL_RANK_KEY, &names);
        order.iter().position(|index| *index == 0).unwrap_or(0)
    }

    pub(crate) fn is_leaving(&self, instance: &Instance) -> bool {
        self.leaving_processes.contains(instance)
    }

    pub(crate) fn on_takeover_query(
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

    /// Returns the members of a view, except this host, that must be voted silent before this host may take over.
    ///
    /// Returns `None` when this host owns the shard or the owner is not lost, when this host is the complete backup and
    /// needs no votes, and when the backup is another host that is not lost.
    pub(crate) fn silent_members(&self, view: &ShardView, now: MonoMs) -> Option<Vec<Instance>> {
        if view.owner == self.me || !self.is_lost(&view.owner, now) {
            return None;
        }
        let backup = view.backup.as_ref();
        let is_backup = backup == Some(&self.me);
        if is_backup && view.backup_complete {
            return None;
        }
        if !is_backup && backup.is_some_and(|backup| !self.is_lost(backup, now)) {
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

    pub(crate) fn peer_evidence_times(&self, map: &ShardMap) -> FastMap<u32, Option<MonoMs>> {
        map.electorates
            .iter()
            .map(|(id, names)| (*id, self.peer_evidence.majority_time(names, &self.me.host)))
            .collect()
    }
}
