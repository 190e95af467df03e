//! Gossip of region summaries between regions and inside a region.

use std::sync::Arc;

use lw_base::{MonoMs, WallMs};
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::action::MemberAction;
use crate::membership::Membership;
use crate::message::MemberMessage;
use crate::region_entry::RegionEntry;
use crate::region_summary::RegionSummary;

/// How often a relay exchanges digests. At 45 regions a period of 2 s makes summaries up to 14.4 s old, close to the
/// bound of 15 s; this period makes them up to 11.9 s old.
const GOSSIP_INTERVAL_MS: u64 = 1_500;

/// The number of other regions with which a relay exchanges digests in one round. With 45 regions of 8 hosts, all
/// membership messages of a relay take 8.6 KB/s; with two regions every 2 s they take 10.8 KB/s.
const REGIONS_PER_ROUND: usize = 1;

/// On average, one in this many rounds also goes to a region seed. Otherwise, regions that know only each other would
/// never learn of the other regions.
const REGION_SEED_ONE_IN: u32 = 10;

/// How often a region renews its summary. With gossip between regions and dissemination inside them, the age of a
/// summary stays under 15 s.
const SUMMARY_INTERVAL_MS: u64 = 5_000;

/// How often new summaries are sent on inside a region.
const FLUSH_INTERVAL_MS: u64 = 500;

/// The fan-out of the tree inside a region: a relay that sent to every member would exceed its byte budget.
const TREE_FAN_OUT: usize = 4;

impl Membership {
    pub(crate) fn tick_regions(&mut self, now: MonoMs, wall: WallMs, out: &mut Vec<MemberAction>) {
        if now < self.next_flush_at {
            return;
        }
        self.next_flush_at = now.plus_ms(FLUSH_INTERVAL_MS);
        let ordered = self.ranked_live_hosts();
        let Some(rank) = ordered.iter().position(|host| *host == self.me.host) else {
            return;
        };
        if rank == 0 && now >= self.next_summary_at {
            self.next_summary_at = now.plus_ms(SUMMARY_INTERVAL_MS);
            self.renew_summary(&ordered, wall);
        }
        if rank < 2 && now >= self.next_gossip_at {
            self.next_gossip_at = now.plus_ms(GOSSIP_INTERVAL_MS);
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
        self.regions.insert(summary, &self.me.host);
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
        let regions = others.choose_multiple(&mut self.rng, REGIONS_PER_ROUND);
        let regions: Vec<Vec<Arc<str>>> = regions.cloned().collect();
        let chosen = regions
            .iter()
            .filter_map(|relays| relays.choose(&mut self.rng));
        let mut addresses: Vec<Arc<str>> = chosen.cloned().collect();
        if addresses.is_empty() || self.rng.random_ratio(1, REGION_SEED_ONE_IN) {
            addresses.extend(self.region_seeds.choose(&mut self.rng).cloned());
        }
        for address in addresses {
            let message = MemberMessage::RegionDigest {
                versions: self.regions.digest(),
                address: self.me.address.clone(),
                reply: true,
            };
            send_to_address(address, message, out);
        }
    }

    /// Sends new summaries to the children of this host in the region's tree, and from the second relay to the first.
    fn flush(&mut self, ordered: &[Arc<str>], rank: usize, out: &mut Vec<MemberAction>) {
        let changed = self.regions.take_changed();
        if changed.is_empty() {
            return;
        }
        let children = TREE_FAN_OUT * rank + 1..=TREE_FAN_OUT * rank + TREE_FAN_OUT;
        let other_relay = (rank == 1).then_some(0);
        for index in children.chain(other_relay) {
            let Some(host) = ordered.get(index) else {
                continue;
            };
            let others = changed.iter().filter(|(from, _)| from != host);
            let entries: Vec<RegionEntry> = others.map(|(_, entry)| entry.clone()).collect();
            if !entries.is_empty() {
                self.send_to(host, MemberMessage::RegionEntries(entries), out);
            }
        }
    }

    /// Merges summaries. Missing full summaries are requested at once from a sender in this region, and with the next
    /// digest from a relay of another region.
    pub(crate) fn on_entries(
        &mut self,
        from: &Arc<str>,
        entries: Vec<RegionEntry>,
        out: &mut Vec<MemberAction>,
    ) {
        let entries = entries.into_iter();
        let missing: Vec<u32> = entries
            .filter_map(|entry| self.regions.insert_entry(entry, from))
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
            send_to_address(address.clone(), MemberMessage::RegionEntries(entries), out);
        }
        let versions = self.regions.versions_behind(versions);
        if reply && !versions.is_empty() {
            let message = MemberMessage::RegionDigest {
                versions,
                address: self.me.address.clone(),
                reply: false,
            };
            send_to_address(address.clone(), message, out);
        }
    }
}

/// Sends to an address in another region, where the name of the host is not known.
fn send_to_address(address: Arc<str>, message: MemberMessage, out: &mut Vec<MemberAction>) {
    out.push(MemberAction::Send {
        host: "".into(),
        address,
        message,
    });
}
