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

/// How recently the map must have been read before a proposal.
///
/// A proposal without a reply suspends the shards that it changes, so none is sent into an outage.
const READ_BEFORE_MS: u64 = 5_000;

/// How long a host waits between two looks at the map.
const PROPOSE_MS: u64 = 1_000;

/// How much later than the host before it in rank a host makes a proposal that can wait.
///
/// All hosts of a region want to write the map in the same second when they start together or take over without
/// consent, and only one of these writes succeeds. A turn is longer than the least time between two reads of the map,
/// so that a host knows what the one before it wrote. The last of 22 hosts waits 12.6 s.
const TURN_MS: u64 = 600;

impl Idem {
    /// Proposes the next map, or asks for votes, when something is to change.
    pub(crate) fn propose(&self, now: MonoMs, wall: WallMs, out: &mut Vec<IdemAction>) {
        let mut authority = self.authority.lock();
        let Some(version) = authority.version else {
            return;
        };
        let read = authority
            .read_at
            .is_some_and(|at| now.since_ms(at) <= READ_BEFORE_MS);
        if authority.proposal.is_some() || now < authority.next_propose || !read {
            return;
        }
        authority.next_propose = now.plus_ms(PROPOSE_MS);
        let Some(held) = authority.held.clone() else {
            if !authority.leaving {
                let cutoff = wall.plus_ms(CUTOFF_AHEAD_MS);
                let first = ShardMap::first(self.me.clone(), cutoff);
                self.send_proposal(&mut authority, first, version, now, out);
            }
            return;
        };
        let voted = self.ask_votes(&mut authority, &held, now, out);
        let next = self.next_map(&authority, &held, &voted, now, wall);
        let next = next.or_else(|| {
            authority.write_back.then(|| ShardMap {
                revision: held.revision + 1,
                ..ShardMap::clone(&held)
            })
        });
        let Some(map) = next else {
            authority.waits_since = None;
            return;
        };
        if is_urgent(&authority, &held, &map, now) || has_turn(&mut authority, now) {
            self.send_proposal(&mut authority, map, version, now, out);
        }
    }

    fn next_map(
        &self,
        authority: &Authority,
        held: &ShardMap,
        voted: &[bool],
        now: MonoMs,
        wall: WallMs,
    ) -> Option<ShardMap> {
        let states: Vec<(bool, bool)> = self
            .shards
            .iter()
            .map(|shard| shard.lock())
            .map(|shard| (shard.transferred(), shard.late_cutoff))
            .collect();
        let situation = MapContext {
            me: &self.me,
            leaving: authority.leaving,
            lost: &|instance| authority.is_lost(instance, now),
            is_leaving: &|instance| authority.is_leaving(instance),
            transferred: &|shard| states[shard].0,
            late_cutoff: &|shard| states[shard].1,
            voted: &|shard| voted[shard],
            wall,
        };
        next_map(held, &situation)
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
            shard.lock().uncertain |= changed;
        }
        let map = Arc::new(map);
        authority.waits_since = None;
        authority.proposal = Some(Proposal {
            map: map.clone(),
            sent_at: now,
        });
        out.push(IdemAction::Propose {
            map,
            if_version: version,
        });
    }

    /// Asks for the votes that are missing; returns for each shard whether it may be taken over without consent.
    fn ask_votes(
        &self,
        authority: &mut Authority,
        held: &ShardMap,
        now: MonoMs,
        out: &mut Vec<IdemAction>,
    ) -> Vec<bool> {
        let mut voted = vec![false; held.shards.len()];
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
            voted[number] = members
                .iter()
                .all(|member| authority.votes.granted(held.revision, member, names));
            if !voted[number] {
                silent.extend(members);
            }
        }
        silent.sort();
        silent.dedup();
        if !silent.is_empty() {
            self.query(authority, held, &silent, now, out);
        }
        voted
    }

    /// Returns true when this host is the best live host for a shard that nobody holds.
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

    fn query(
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
            .receive(held.revision, held.revision, &me.host, own);
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

/// Returns true when the change restores a pair of this host or a lost map, or this host leaves.
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

/// Returns true when the hosts before this one in rank had time to propose; otherwise the next look is at its turn.
fn has_turn(authority: &mut Authority, now: MonoMs) -> bool {
    let since = *authority.waits_since.get_or_insert(now);
    let turn = since.plus_ms(authority.rank() as u64 * TURN_MS);
    if now >= turn {
        return true;
    }
    authority.next_propose = turn;
    false
}
