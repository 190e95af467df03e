//! What a membership tells about the region.

use std::sync::Arc;

use lw_base::{MonoMs, ranked, stable_hash};

use crate::clock::MAX_CLOCK_OFFSET_MS;
use crate::membership::Membership;
use crate::region_summary::RegionSummary;
use crate::update::{MemberState, Update};

/// How long an acknowledgement counts for [`Membership::sees_half`].
const SEEN_MS: u64 = 11_000;

impl Membership {
    /// Returns the known members except this host.
    pub fn members(&self) -> impl Iterator<Item = &Update> {
        self.members.values().map(|member| &member.update)
    }

    /// Returns the known members except this host, each with the configuration revision that it last showed.
    pub fn revisions(&self) -> impl Iterator<Item = (&Update, u64)> {
        let members = self.members.values();
        members.map(|member| (&member.update, member.conf_revision))
    }

    /// Returns when a probe to `host` that was acknowledged was last sent.
    #[must_use]
    pub fn acknowledged(&self, host: &str) -> Option<MonoMs> {
        self.members.get(host)?.acknowledged
    }

    /// Returns the member with the highest configuration revision above `revision`.
    #[must_use]
    pub fn ahead_of(&self, revision: u64) -> Option<&Update> {
        let ahead = self.members.values();
        ahead
            .filter(|member| member.conf_revision > revision)
            .max_by_key(|member| member.conf_revision)
            .map(|member| &member.update)
    }

    /// Returns the live hosts in rendezvous order; the first two are the relays of the region.
    #[must_use]
    pub fn ordered(&self) -> Vec<Arc<str>> {
        let live = self.members.values().map(|member| &member.update);
        let live = live.chain([&self.me]);
        let mut names: Vec<Arc<str>> = live
            .filter(|update| update.state == MemberState::Alive)
            .map(|update| update.host.clone())
            .collect();
        names.sort();
        let keys: Vec<&[u8]> = names.iter().map(|name| name.as_bytes()).collect();
        let order = ranked(stable_hash(self.region.as_bytes()), &keys);
        order
            .into_iter()
            .map(|index| names[index].clone())
            .collect()
    }

    /// Returns the relays of the region, at most two.
    #[must_use]
    pub fn relays(&self) -> Vec<Arc<str>> {
        self.ordered().into_iter().take(2).collect()
    }

    /// Returns the known region summaries, the own one included.
    pub fn region_summaries(&self) -> impl Iterator<Item = &RegionSummary> {
        self.regions.all()
    }

    /// Returns false when this host was acknowledged by fewer than half of the last known members, itself included.
    ///
    /// Lost members count until the host list drops them, or for 10 minutes: a cut-off host must not forget them.
    #[must_use]
    pub fn sees_half(&self, now: MonoMs) -> bool {
        if now.since_ms(self.started) < SEEN_MS {
            return true;
        }
        let seen = self.members.values().filter(|member| {
            let at = member.acknowledged;
            at.is_some_and(|at| now.since_ms(at) <= SEEN_MS)
        });
        (seen.count() + 1) * 2 > self.members.len()
    }

    /// Returns false when the own wall clock is more than [`MAX_CLOCK_OFFSET_MS`] from the median of the region.
    #[must_use]
    pub fn clock_ok(&self, now: MonoMs) -> bool {
        self.clocks.median_ms(now).unsigned_abs() <= MAX_CLOCK_OFFSET_MS
    }
}
