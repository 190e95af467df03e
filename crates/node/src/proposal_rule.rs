//! Which hosts may change the shard map.
//!
//! A host that hears nobody takes everybody for lost. If it reaches the key-value service it would drop the others from
//! the map, take over their shards, and undo what they write about it. Such a host therefore leaves changes to the
//! others for as long as they make any.

use lw_base::prelude::*;
use lw_idem::{HostName, Instance, ShardMap};
use lw_member::{MemberState, Membership};

/// How old the acknowledgement of a probe may be.
const SEEN_MS: u64 = 11_000;

/// Others would have replaced the views of a host that they do not hear within 15 s: 8 s of suspicion, one round of
/// probes, one read of the map and one write.
const QUIET_MS: u64 = 30_000;

/// How long a host waits that others dropped from the map: they were there, and lost sight of it.
const DROPPED_QUIET_MS: u64 = 300_000;

/// What a host remembers about the maps that it held.
#[derive(Debug, Default)]
pub(crate) struct ProposalRule {
    revision: u64,
    changed_at: MonoMs,
    was_listed: bool,
}

impl ProposalRule {
    /// Takes the held map; to be called in every tick.
    pub(crate) fn hold(&mut self, map: &ShardMap, me: &Instance, now: MonoMs) {
        if map.revision != self.revision {
            self.revision = map.revision;
            self.changed_at = now;
        }
        self.was_listed |= map.lists(me);
    }

    /// Returns whether this host may propose a change of `map`.
    pub(crate) fn allows(
        &self,
        map: &ShardMap,
        me: &Instance,
        members: &Membership,
        now: MonoMs,
    ) -> bool {
        if sees_half(map, me, members, now) {
            return true;
        }
        let dropped = self.was_listed && !map.lists(me);
        let quiet_ms = if dropped { DROPPED_QUIET_MS } else { QUIET_MS };
        map.revision == self.revision && now.since_ms(self.changed_at) >= quiet_ms
    }
}

/// Returns whether at least half of the hosts of the map answer, this one included.
///
/// Suspects do not count: a host that hears nobody suspects half of the others before it takes the first one for lost,
/// while acknowledgements of the last 11 s are still there.
fn sees_half(map: &ShardMap, me: &Instance, members: &Membership, now: MonoMs) -> bool {
    let answer: FastSet<&HostName> = members
        .members()
        .filter(|update| update.state <= MemberState::Leaving)
        .map(|update| &update.host)
        .filter(|host| is_recent(members.acknowledged(host), now))
        .collect();
    let others = || {
        let names = map.hosts.iter().map(|host| &host.instance.host);
        names.filter(|host| **host != me.host)
    };
    let seen = others().filter(|host| answer.contains(host)).count();
    (seen + 1) * 2 > others().count()
}

fn is_recent(at: Option<MonoMs>, now: MonoMs) -> bool {
    at.is_some_and(|at| now.since_ms(at) <= SEEN_MS)
}
