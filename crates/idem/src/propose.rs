//! Proposals of the next shard map.

use std::sync::Arc;

use lw_base::{MonoMs, WallMs, top_ranked};

use crate::action::IdemAction;
use crate::authority::{Authority, Proposal};
use crate::idem::Idem;
use crate::instance::Instance;
use crate::map_change::{CUTOFF_AHEAD_MS, Situation, next_map};
use crate::message::IdemMessage;
use crate::shard_map::ShardMap;

/// How recently the map must have been read before a proposal.
///
/// A proposal without a reply suspends the shards that it changes, so none is sent into an outage.
const READ_BEFORE_MS: u64 = 5_000;

/// How long a host waits between two looks at the map.
const PROPOSE_MS: u64 = 1_000;

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
        if let Some(map) = next {
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
        let situation = Situation {
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
