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
    /// Proposes the next map, or asks for votes, when the map must change.
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
        let Some(held) = authority.held.clone() else {
            if !authority.leaving {
                let cutoff = wall.plus_ms(CUTOFF_AHEAD_MS);
                let first = ShardMap::first(self.me.clone(), cutoff);
                self.send_proposal(&mut authority, first, version, now, out);
            }
            return;
        };
        let may_take_over = self.request_votes(&mut authority, &held, now, out);
        let next = self.next_map(&authority, &held, &may_take_over, now, wall);
        let next = next.or_else(|| {
            authority.write_back.then(|| ShardMap {
                revision: held.revision + 1,
                ..ShardMap::clone(&held)
            })
        });
        let Some(map) = next else {
            authority.deferred_since = None;
            return;
        };
        if is_urgent(&authority, &held, &map, now) || rank_delay_passed(&mut authority, now) {
            self.send_proposal(&mut authority, map, version, now, out);
        }
    }

    fn next_map(
        &self,
        authority: &Authority,
        held: &ShardMap,
        may_take_over: &[bool],
        now: MonoMs,
        wall: WallMs,
    ) -> Option<ShardMap> {
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
        next_map(held, &context)
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
                .held
                .as_ref()
                .is_none_or(|held| held.shards[number].epoch != map.shards[number].epoch);
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

    /// Asks for missing votes; returns for each shard whether this host may take it over without consent.
    fn request_votes(
        &self,
        authority: &mut Authority,
        held: &ShardMap,
        now: MonoMs,
        out: &mut Vec<IdemAction>,
    ) -> Vec<bool> {
        let mut may_take_over = vec![false; held.shards.len()];
        let mut silent: Vec<Instance> = Vec::new();
        for (number, view) in held.shards.iter().enumerate() {
            let Some(members) = authority.silent_members(view, now) else {
                continue;
            };
            if view.backup.as_ref() != Some(&self.me.instance)
                && !self.is_successor(authority, held, number, now)
            {
                continue;
            }
            let names = held.electorate(view);
            may_take_over[number] = members
                .iter()
                .all(|member| authority.votes.granted(held.revision, member, names));
            if !may_take_over[number] {
                silent.extend(members);
            }
        }
        silent.sort();
        silent.dedup();
        if !silent.is_empty() {
            self.send_takeover_query(authority, held, &silent, now, out);
        }
        may_take_over
    }

    /// Returns true when this host is the first live host in rendezvous order, which takes over a shard whose owner and
    /// backup are lost.
    fn is_successor(
        &self,
        authority: &Authority,
        held: &ShardMap,
        shard: usize,
        now: MonoMs,
    ) -> bool {
        let live: Vec<&[u8]> = held
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
        held: &ShardMap,
        silent: &[Instance],
        now: MonoMs,
        out: &mut Vec<IdemAction>,
    ) {
        let me = &self.me.instance;
        let own = authority.votes.vote(held.revision, silent, me, now);
        authority
            .votes
            .record_votes(held.revision, held.revision, &me.host, own);
        for host in held.hosts.iter().filter(|host| host.instance != *me) {
            out.push(IdemAction::Send {
                to: host.instance.clone(),
                message: IdemMessage::TakeoverQuery {
                    revision: held.revision,
                    silent: silent.to_vec(),
                },
            });
        }
    }
}

/// Returns true when the change replaces a lost member of a pair of this host or restores a lost map, or when this host
/// is leaving.
fn is_urgent(authority: &Authority, held: &ShardMap, next: &ShardMap, now: MonoMs) -> bool {
    let me = &authority.me;
    let views = held.shards.iter().zip(&next.shards);
    let mut changed = views
        .filter(|(view, next)| view != next)
        .map(|(view, _)| view);
    let restores = changed.any(|view| {
        let mut members = std::iter::once(&view.owner).chain(&view.backup);
        let consents = view.owner == *me || view.backup_complete;
        consents && view.has(me) && members.any(|member| authority.is_lost(member, now))
    });
    authority.leaving || authority.write_back || restores
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
