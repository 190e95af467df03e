//! Proposals of the next shard map.

use std::sync::Arc;

use lw_base::{MonoMs, WallMs, top_ranked};

use crate::action::IdemAction;
use crate::authority::{Authority, Proposal};
use crate::idem::Idem;
use crate::instance::Instance;
use crate::map_change::{CUTOFF_AHEAD_MS, MapContext, next_map};
use crate::message::IdemMessage;
use crate::shard_map::ShardMap;

/// The greatest age of the last read of the map at which a proposal is sent.
///
/// A proposal without a reply suspends the shards that it changes, so none is sent during an outage of the key-value
/// service.
const MAX_READ_AGE_MS: u64 = 5_000;

/// How often a host checks whether it has a change to propose.
const PROPOSE_INTERVAL_MS: u64 = 1_000;

/// The delay per rank before a host sends a proposal that is not urgent.
///
/// Without it, all hosts of a region write the map in the same second when they start together or take over without
/// consent, and only one of these writes succeeds. The delay is longer than the least time between two reads of the
/// map, so that a host has read what the host before it wrote. The last of 22 hosts waits 12.6 s.
const RANK_DELAY_MS: u64 = 600;

impl Idem {
    /// Proposes the next map, or requests votes, when the map must change.
    pub(crate) fn propose(&self, now: MonoMs, wall: WallMs, out: &mut Vec<IdemAction>) {
        let mut authority = self.authority.lock();
        let Some(version) = authority.version else {
            return;
        };
        let read_recently = authority
            .read_at
            .is_some_and(|at| now.since_ms(at) <= MAX_READ_AGE_MS);
        if authority.proposal.is_some() || now < authority.next_propose_at || !read_recently {
            return;
        }
        authority.next_propose_at = now.plus_ms(PROPOSE_INTERVAL_MS);
        let Some(current) = authority.current_map.clone() else {
            if !authority.leaving {
                let cutoff = wall.plus_ms(CUTOFF_AHEAD_MS);
                let first = ShardMap::first(self.me.clone(), cutoff);
                self.send_proposal(&mut authority, first, version, now, out);
            }
            return;
        };
        let may_take_over = self.request_votes(&mut authority, &current, now, out);
        let next = self.next_map(&authority, &current, &may_take_over, now, wall);
        let next = next.or_else(|| {
            authority.write_back.then(|| ShardMap {
                revision: current.revision + 1,
                ..ShardMap::clone(&current)
            })
        });
        let Some(map) = next else {
            authority.deferred_since = None;
            return;
        };
        if is_urgent(&authority, &current, &map, now) || rank_delay_passed(&mut authority, now) {
            self.send_proposal(&mut authority, map, version, now, out);
        }
    }

    fn next_map(
        &self,
        authority: &Authority,
        current: &ShardMap,
        may_take_over: &[bool],
        now: MonoMs,
        wall: WallMs,
    ) -> Option<ShardMap> {
        // For each shard: whether its transfer is complete, and whether its cutoff was written too late.
        let states: Vec<(bool, bool)> = self
            .shards
            .iter()
            .map(|shard| shard.lock())
            .map(|shard| (shard.transferred(), shard.cutoff_is_late))
            .collect();
        let context = MapContext {
            me: &self.me,
            leaving: authority.leaving,
            is_lost: &|instance| authority.is_lost(instance, now),
            is_leaving: &|instance| authority.is_leaving(instance),
            is_transferred: &|shard| states[shard].0,
            cutoff_is_late: &|shard| states[shard].1,
            may_take_over: &|shard| may_take_over[shard],
            wall,
        };
        next_map(current, &context)
    }

    fn send_proposal(
        &self,
        authority: &mut Authority,
        map: ShardMap,
        version: u64,
        now: MonoMs,
        out: &mut Vec<IdemAction>,
    ) {
        for (number, shard) in self.shards.iter().enumerate() {
            let changed = authority
                .current_map
                .as_ref()
                .is_none_or(|current| current.shards[number].epoch != map.shards[number].epoch);
            shard.lock().proposal_unresolved |= changed;
        }
        let map = Arc::new(map);
        authority.deferred_since = None;
        authority.proposal = Some(Proposal {
            map: map.clone(),
            sent_at: now,
        });
        out.push(IdemAction::Propose {
            map,
            if_version: version,
        });
    }

    /// Requests missing votes, and returns for each shard whether this host may take it over without consent.
    fn request_votes(
        &self,
        authority: &mut Authority,
        current: &ShardMap,
        now: MonoMs,
        out: &mut Vec<IdemAction>,
    ) -> Vec<bool> {
        let mut may_take_over = vec![false; current.shards.len()];
        let mut silent: Vec<Instance> = Vec::new();
        for (number, view) in current.shards.iter().enumerate() {
            let Some(members) = authority.silent_members(view, now) else {
                continue;
            };
            if view.backup.as_ref() != Some(&self.me.instance)
                && !self.is_successor(authority, current, number, now)
            {
                continue;
            }
            let names = current.electorate(view);
            may_take_over[number] = members
                .iter()
                .all(|member| authority.votes.granted(current.revision, member, names));
            if !may_take_over[number] {
                silent.extend(members);
            }
        }
        silent.sort();
        silent.dedup();
        if !silent.is_empty() {
            self.send_takeover_query(authority, current, &silent, now, out);
        }
        may_take_over
    }

    /// Returns true when this host is the first live host in rendezvous order, which takes over a shard whose owner and
    /// backup are lost.
    fn is_successor(
        &self,
        authority: &Authority,
        current: &ShardMap,
        shard: usize,
        now: MonoMs,
    ) -> bool {
        let live: Vec<&[u8]> = current
            .hosts
            .iter()
            .filter(|host| !authority.is_lost(&host.instance, now))
            .map(|host| host.instance.host.as_bytes())
            .collect();
        top_ranked(shard as u64, &live)
            .is_some_and(|best| live[best] == self.me.instance.host.as_bytes())
    }

    fn send_takeover_query(
        &self,
        authority: &mut Authority,
        current: &ShardMap,
        silent: &[Instance],
        now: MonoMs,
        out: &mut Vec<IdemAction>,
    ) {
        let me = &self.me.instance;
        let own = authority.votes.vote(current.revision, silent, me, now);
        authority
            .votes
            .record_votes(current.revision, current.revision, &me.host, own);
        for host in current.hosts.iter().filter(|host| host.instance != *me) {
            out.push(IdemAction::Send {
                to: host.instance.clone(),
                message: IdemMessage::TakeoverQuery {
                    revision: current.revision,
                    silent: silent.to_vec(),
                },
            });
        }
    }
}

/// Returns true when the change replaces a lost owner or backup of a shard of this host without votes, when it restores
/// a lost map, or when this host is leaving.
fn is_urgent(authority: &Authority, current: &ShardMap, next: &ShardMap, now: MonoMs) -> bool {
    let me = &authority.me;
    let views = current.shards.iter().zip(&next.shards);
    let mut changed = views
        .filter(|(view, next)| view != next)
        .map(|(view, _)| view);
    let replaces_lost_member = changed.any(|view| {
        let mut members = std::iter::once(&view.owner).chain(&view.backup);
        let needs_no_votes = view.owner == *me || view.backup_complete;
        needs_no_votes && view.has(me) && members.any(|member| authority.is_lost(member, now))
    });
    authority.leaving || authority.write_back || replaces_lost_member
}

/// Returns true when the hosts before this one in rank had time to propose; otherwise schedules the next check.
fn rank_delay_passed(authority: &mut Authority, now: MonoMs) -> bool {
    let since = *authority.deferred_since.get_or_insert(now);
    let propose_at = since.plus_ms(authority.rank() as u64 * RANK_DELAY_MS);
    if now >= propose_at {
        return true;
    }
    authority.next_propose_at = propose_at;
    false
}
