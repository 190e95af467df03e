//! Queries of the membership about members, relays and clocks.

use std::sync::Arc;

use lw_base::{MonoMs, ranked, stable_hash};

use crate::clock_offsets::MAX_CLOCK_OFFSET_MS;
use crate::member_update::{MemberState, MemberUpdate};
use crate::membership::Membership;
use crate::region_summary::RegionSummary;

/// The greatest age of an acknowledgement that counts for [`Membership::sees_half`].
const ACK_MAX_AGE_MS: u64 = 11_000;

impl Membership {
    /// Returns the known members except this host.
    pub fn members(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members.values().map(|member| &member.update)
    }

    /// Returns the known members except this host, each with the highest configuration revision that it sent.
    pub fn revisions(&self) -> impl Iterator<Item = (&MemberUpdate, u64)> {
        let members = self.members.values();
        members.map(|member| (&member.update, member.conf_revision))
    }

    /// Returns the send time of the latest acknowledged probe to `host`.
    #[must_use]
    pub fn last_acked_at(&self, host: &str) -> Option<MonoMs> {
        self.members.get(host)?.last_acked_at
    }

    /// Returns the member with the highest configuration revision above `revision`.
    #[must_use]
    pub fn ahead_of(&self, revision: u64) -> Option<&MemberUpdate> {
        let ahead = self.members.values();
        ahead
            .filter(|member| member.conf_revision > revision)
            .max_by_key(|member| member.conf_revision)
            .map(|member| &member.update)
    }

    /// Returns the live hosts in rendezvous order; the first two are the relays of the region.
    #[must_use]
    pub fn ranked_live_hosts(&self) -> Vec<Arc<str>> {
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
        self.ranked_live_hosts().into_iter().take(2).collect()
    }

    /// Returns the known region summaries, including that of the region of this host.
    pub fn region_summaries(&self) -> impl Iterator<Item = &RegionSummary> {
        self.regions.all()
    }

    /// Returns true when at least half of the last known members, this host included, acknowledged it recently.
    ///
    /// Always returns true shortly after the start.
    ///
    /// Dead members count until the host list drops them, or for 10 minutes: otherwise an isolated host would soon see
    /// itself as the whole region.
    #[must_use]
    pub fn sees_half(&self, now: MonoMs) -> bool {
        if now.since_ms(self.started_at) < ACK_MAX_AGE_MS {
            return true;
        }
        let recently_acked = self.members.values().filter(|member| {
            let at = member.last_acked_at;
            at.is_some_and(|at| now.since_ms(at) <= ACK_MAX_AGE_MS)
        });
        (recently_acked.count() + 1) * 2 > self.members.len()
    }

    /// Returns true when the wall clock of this host differs from the median of the region by at most
    /// [`MAX_CLOCK_OFFSET_MS`].
    #[must_use]
    pub fn clock_ok(&self, now: MonoMs) -> bool {
        self.clock_offsets.median_ms(now).unsigned_abs() <= MAX_CLOCK_OFFSET_MS
    }
}
