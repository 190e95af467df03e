//! Exchange of region summaries.

use std::sync::Arc;

use lw_base::{MonoMs, WallMs};
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::action::MemberAction;
use crate::membership::Membership;
use crate::message::MemberMessage;
use crate::region_entry::RegionEntry;
use crate::region_summary::RegionSummary;

/// How often a relay exchanges digests. At 45 regions a period of 2 s left summaries 14.4 s old, close to the bound of
/// 15 s; this one leaves them 11.9 s old.
const GOSSIP_MS: u64 = 1_500;

/// With how many other regions a relay exchanges digests at a time; with two every 2 s, all membership messages of a
/// relay of 45 regions of 8 hosts were 10.8 KB/s, with one they are 8.6 KB/s.
const GOSSIP_REGIONS: usize = 1;

/// One in so many rounds also goes to a seed: regions that know only each other would stay apart from the others.
const SEED_ONE_IN: u32 = 10;

/// How often a region renews its summary; with the exchange and the way to members its age stays under 15 s.
const SUMMARY_MS: u64 = 5_000;

/// How often new summaries are passed on inside a region.
const FLUSH_MS: u64 = 500;

/// The fan-out of the tree inside a region: a relay that sent to every member would pass the byte budget.
const FAN_OUT: usize = 4;

impl Membership {
    pub(crate) fn tick_regions(&mut self, now: MonoMs, wall: WallMs, out: &mut Vec<MemberAction>) {
        if now < self.flush_at {
            return;
        }
        self.flush_at = now.plus_ms(FLUSH_MS);
        let ordered = self.ranked_live_hosts();
        let Some(rank) = ordered.iter().position(|host| *host == self.me.host) else {
            return;
        };
        if rank == 0 && now >= self.summary_at {
            self.summary_at = now.plus_ms(SUMMARY_MS);
            self.renew_summary(&ordered, wall);
        }
        if rank < 2 && now >= self.gossip_at {
            self.gossip_at = now.plus_ms(GOSSIP_MS);
            self.gossip(out);
        }
        self.flush(&ordered, rank, out);
    }

    fn renew_summary(&mut self, ordered: &[Arc<str>], wall: WallMs) {
        let own = self.regions.get(&self.region);
        let version = own.map_or(0, |summary| summary.version + 1).max(wall.0);
        let relays = ordered.iter().take(2).map(|host| self.address_of(host));
        let summary = RegionSummary {
            region: self.region.clone(),
            version,
            load: self.load.clone(),
            conf_revision: self.conf_revision,
            relays: relays.collect(),
        };
        self.regions.take(summary, &self.me.host);
    }

    fn address_of(&self, host: &Arc<str>) -> Arc<str> {
        let member = self.members.get(host);
        member.map_or(self.me.address.clone(), |member| {
            member.update.address.clone()
        })
    }

    fn gossip(&mut self, out: &mut Vec<MemberAction>) {
        let others = self.regions.all();
        let others: Vec<Vec<Arc<str>>> = others
            .filter(|summary| summary.region != self.region)
            .map(|summary| summary.relays.clone())
            .collect();
        let regions = others.choose_multiple(&mut self.rng, GOSSIP_REGIONS);
        let regions: Vec<Vec<Arc<str>>> = regions.cloned().collect();
        let chosen = regions
            .iter()
            .filter_map(|relays| relays.choose(&mut self.rng));
        let mut addresses: Vec<Arc<str>> = chosen.cloned().collect();
        if addresses.is_empty() || self.rng.random_ratio(1, SEED_ONE_IN) {
            addresses.extend(self.region_seeds.choose(&mut self.rng).cloned());
        }
        for address in addresses {
            let message = MemberMessage::RegionDigest {
                versions: self.regions.digest(),
                address: self.me.address.clone(),
                reply: true,
            };
            send_open(address, message, out);
        }
    }

    /// Passes new summaries to the children in the region's tree, and between the two relays.
    fn flush(&mut self, ordered: &[Arc<str>], rank: usize, out: &mut Vec<MemberAction>) {
        let fresh = self.regions.take_fresh();
        if fresh.is_empty() {
            return;
        }
        let children = FAN_OUT * rank + 1..=FAN_OUT * rank + FAN_OUT;
        let other_relay = (rank == 1).then_some(0);
        for index in children.chain(other_relay) {
            let Some(host) = ordered.get(index) else {
                continue;
            };
            let others = fresh.iter().filter(|(from, _)| from != host);
            let entries: Vec<RegionEntry> = others.map(|(_, entry)| entry.clone()).collect();
            if !entries.is_empty() {
                self.send_to(host, MemberMessage::RegionEntries(entries), out);
            }
        }
    }

    /// Takes summaries; a member is asked for the whole ones that are missing, a relay of another region with the next
    /// digest.
    pub(crate) fn on_entries(
        &mut self,
        from: &Arc<str>,
        entries: Vec<RegionEntry>,
        out: &mut Vec<MemberAction>,
    ) {
        let entries = entries.into_iter();
        let missing: Vec<u32> = entries
            .filter_map(|entry| self.regions.take_entry(entry, from))
            .collect();
        if missing.is_empty() {
            return;
        }
        let message = MemberMessage::RegionDigest {
            versions: missing.into_iter().map(|region| (region, 0)).collect(),
            address: self.me.address.clone(),
            reply: false,
        };
        self.send_to(from, message, out);
    }

    pub(crate) fn on_digest(
        &mut self,
        versions: &[(u32, u64)],
        address: &Arc<str>,
        reply: bool,
        out: &mut Vec<MemberAction>,
    ) {
        let entries = self.regions.newer_than(versions, !reply);
        if !entries.is_empty() {
            send_open(address.clone(), MemberMessage::RegionEntries(entries), out);
        }
        let versions = self.regions.behind(versions);
        if reply && !versions.is_empty() {
            let message = MemberMessage::RegionDigest {
                versions,
                address: self.me.address.clone(),
                reply: false,
            };
            send_open(address.clone(), message, out);
        }
    }
}

/// Sends to an address in another region, whose host name is not known.
fn send_open(address: Arc<str>, message: MemberMessage, out: &mut Vec<MemberAction>) {
    out.push(MemberAction::Send {
        host: "".into(),
        address,
        message,
    });
}
