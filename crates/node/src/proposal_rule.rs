//! Decides whether this host may propose a change of the shard map.
//!
//! A host that receives no peer messages considers all other hosts dead. If it still reaches the key-value service, it
//! would drop the others from the map, take over their shards, and revert what they write about it. Such a host may
//! therefore propose changes only after the map has not changed for some time.

use lw_base::prelude::*;
use lw_idem::{HostName, Instance, ShardMap};
use lw_member::{MemberState, Membership};

/// The maximum age of the last probe acknowledgement of a host that counts as reachable.
const MAX_ACK_AGE_MS: u64 = 11_000;

/// How long the map must be unchanged before an isolated host may propose.
///
/// Other hosts would replace the views of an unreachable host within 15 s: 8 s of suspicion, one round of probes, one
/// read of the map and one write.
const UNCHANGED_MAP_MS: u64 = 30_000;

/// How long the map must be unchanged before an isolated host that others dropped from the map may propose; the longer
/// time is needed because those others were running and could not reach it.
const DROPPED_UNCHANGED_MAP_MS: u64 = 300_000;

/// The history of the map on this host: when it last changed, and whether it ever contained this host.
#[derive(Debug, Default)]
pub(crate) struct ProposalRule {
    revision: u64,
    changed_at: MonoMs,
    was_on_map: bool,
}

impl ProposalRule {
    /// Observes the current map of this host. Must be called in every tick.
    pub(crate) fn observe_map(&mut self, map: &ShardMap, me: &Instance, now: MonoMs) {
        if map.revision != self.revision {
            self.revision = map.revision;
            self.changed_at = now;
        }
        self.was_on_map |= map.lists(me);
    }

    /// Returns true if this host may propose a change of `map`.
    pub(crate) fn allows(
        &self,
        map: &ShardMap,
        me: &Instance,
        members: &Membership,
        now: MonoMs,
    ) -> bool {
        if sees_half_of_map(map, me, members, now) {
            return true;
        }
        let dropped = self.was_on_map && !map.lists(me);
        let unchanged_ms = if dropped {
            DROPPED_UNCHANGED_MAP_MS
        } else {
            UNCHANGED_MAP_MS
        };
        map.revision == self.revision && now.since_ms(self.changed_at) >= unchanged_ms
    }
}

/// Returns true if at least half of the hosts of the map answer, this one included.
///
/// Suspects do not count: an isolated host suspects half of the others before it declares the first one dead, while
/// acknowledgements from the last 11 s are still valid.
fn sees_half_of_map(map: &ShardMap, me: &Instance, members: &Membership, now: MonoMs) -> bool {
    let answering: FastSet<&HostName> = members
        .members()
        .filter(|update| update.state <= MemberState::Leaving)
        .map(|update| &update.host)
        .filter(|host| is_recent(members.last_acked_at(host), now))
        .collect();
    let others = || {
        let names = map.hosts.iter().map(|host| &host.instance.host);
        names.filter(|host| **host != me.host)
    };
    let seen = others().filter(|host| answering.contains(host)).count();
    (seen + 1) * 2 > others().count()
}

fn is_recent(at: Option<MonoMs>, now: MonoMs) -> bool {
    at.is_some_and(|at| now.since_ms(at) <= MAX_ACK_AGE_MS)
}
