//! The membership of one host.

use std::collections::BTreeMap;
use std::sync::Arc;

use lw_base::{MonoMs, WallMs};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::action::MemberAction;
use crate::clock_offsets::ClockOffsets;
use crate::member::Member;
use crate::member_update::{MemberState, MemberUpdate};
use crate::message::MemberMessage;
use crate::probing::Probing;
use crate::region_load::RegionLoad;
use crate::regions::Regions;

/// How long a suspected member may refute the suspicion before it is declared dead.
pub const SUSPICION_TIMEOUT_MS: u64 = 8_000;

/// How long dead members are kept, so that the end of a network partition is detected.
const DEAD_RETENTION_MS: u64 = 600_000;

/// After a longer gap between two ticks, this host concludes that it was paused itself, not that the others are lost.
const MAX_TICK_GAP_MS: u64 = 2_000;

/// The membership protocol of one host, as a state machine without I/O.
///
/// Its methods append the messages to send and the observed events to a list of [`MemberAction`]s.
#[derive(Debug)]
pub struct Membership {
    pub(crate) region: Arc<str>,
    pub(crate) me: MemberUpdate,
    pub(crate) me_sends_left: u32,
    pub(crate) members: BTreeMap<Arc<str>, Member>,
    pub(crate) seeds: Vec<Arc<str>>,
    pub(crate) region_seeds: Vec<Arc<str>>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) probing: Probing,
    pub(crate) clock_offsets: ClockOffsets,
    pub(crate) regions: Regions,
    pub(crate) conf_revision: u64,
    pub(crate) map_revision: u64,
    pub(crate) load: RegionLoad,
    pub(crate) next_gossip_at: MonoMs,
    pub(crate) next_summary_at: MonoMs,
    pub(crate) next_flush_at: MonoMs,
    pub(crate) started_at: MonoMs,
    last_tick_at: MonoMs,
}

impl Membership {
    /// Builds the membership of the process `me` in `region`; `seed` seeds its random choices.
    #[must_use]
    pub fn new(region: &str, me: MemberUpdate, seed: u64, now: MonoMs) -> Self {
        Self {
            region: region.into(),
            me,
            me_sends_left: 0,
            members: BTreeMap::new(),
            seeds: Vec::new(),
            region_seeds: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            probing: Probing::new(now),
            clock_offsets: ClockOffsets::default(),
            regions: Regions::default(),
            conf_revision: 0,
            map_revision: 0,
            load: RegionLoad::default(),
            next_gossip_at: now,
            next_summary_at: now,
            next_flush_at: now,
            started_at: now,
            last_tick_at: now,
        }
    }

    /// Sets the addresses, from the settings and the host list, that are probed while no member is known and at random
    /// after that.
    pub fn set_seeds(&mut self, addresses: Vec<Arc<str>>) {
        self.seeds = addresses;
        self.seeds.retain(|address| *address != self.me.address);
    }

    /// Sets addresses in other regions, which are used while no other region is known, and at random after that.
    pub fn set_region_seeds(&mut self, addresses: Vec<Arc<str>>) {
        self.region_seeds = addresses;
    }

    /// Applies the platform's host list of this region, which holds names and addresses.
    ///
    /// Unknown hosts are probed, and dead members that are not on the list are removed. The list may be out of date, so
    /// it never declares a host alive or dead.
    pub fn on_host_list(&mut self, hosts: &[(Arc<str>, Arc<str>)]) {
        self.members.retain(|name, member| {
            member.update.state != MemberState::Dead || hosts.iter().any(|(host, _)| host == name)
        });
        let unknown = hosts
            .iter()
            .filter(|(host, _)| *host != self.me.host && !self.members.contains_key(host));
        let addresses: Vec<Arc<str>> = unknown.map(|(_, address)| address.clone()).collect();
        for address in addresses {
            if !self.seeds.contains(&address) {
                self.seeds.push(address);
            }
        }
    }

    /// Sets the revisions that probes carry.
    pub fn set_revisions(&mut self, conf_revision: u64, map_revision: u64) {
        self.conf_revision = conf_revision;
        self.map_revision = map_revision;
    }

    /// Sets the capacity and the load of the region for its summary, which the first relay builds.
    pub fn set_load(&mut self, load: RegionLoad) {
        self.load = load.bounded();
    }

    /// Marks this host as leaving and notifies all members.
    pub fn leave(&mut self, out: &mut Vec<MemberAction>) {
        self.me.state = MemberState::Leaving;
        self.me.refutation += 1;
        self.announce_self();
        for name in self.names() {
            self.send_to(&name, MemberMessage::Leaving, out);
        }
    }

    /// Handles a message from the process `from`, a host name and an incarnation.
    ///
    /// `evidence` returns true when an acknowledgement of a probe with the given map revision counts towards the
    /// majority that confirms the sender as the owner of its shards.
    pub fn on_message(
        &mut self,
        from: (&Arc<str>, u64),
        message: MemberMessage,
        evidence: impl Fn(u64) -> bool,
        now: MonoMs,
        wall: WallMs,
        out: &mut Vec<MemberAction>,
    ) {
        match message {
            MemberMessage::Probe(payload) => {
                let evidence = evidence(payload.map_revision);
                self.on_probe(from, payload, evidence, now, wall, out);
            }
            MemberMessage::ProbeAck { payload, evidence } => {
                self.on_probe_ack(from, payload, evidence, now, wall, out);
            }
            MemberMessage::IndirectProbe { nonce, target } => {
                self.on_indirect_probe(from.0, nonce, &target, now, wall, out);
            }
            MemberMessage::IndirectAck { nonce, target } => {
                self.probing.end_indirectly_acked(nonce, &target);
            }
            MemberMessage::RegionDigest {
                versions,
                address,
                reply,
            } => self.on_digest(&versions, &address, reply, out),
            MemberMessage::RegionEntries(entries) => self.on_entries(from.0, entries, out),
            MemberMessage::Leaving => self.on_leaving(from, now, out),
        }
    }

    /// Performs all work that is due. The host calls it about every 100 ms.
    pub fn tick(&mut self, now: MonoMs, wall: WallMs, out: &mut Vec<MemberAction>) {
        let gap_ms = now.since_ms(self.last_tick_at);
        self.last_tick_at = now;
        if gap_ms > MAX_TICK_GAP_MS {
            self.extend_timeouts(gap_ms, now);
        }
        self.tick_probes(now, wall, out);
        self.expire(now, out);
        self.tick_regions(now, wall, out);
    }

    /// Extends all timeouts by the time in which this host was paused.
    fn extend_timeouts(&mut self, gap_ms: u64, now: MonoMs) {
        self.probing.clear(now);
        for member in self.members.values_mut() {
            member.since = member.since.plus_ms(gap_ms);
        }
    }

    fn expire(&mut self, now: MonoMs, out: &mut Vec<MemberAction>) {
        let suspects = self.members.values().filter(|member| {
            member.update.state == MemberState::Suspect
                && now.since_ms(member.since) >= SUSPICION_TIMEOUT_MS
        });
        let dead: Vec<MemberUpdate> = suspects
            .map(|member| MemberUpdate {
                state: MemberState::Dead,
                ..member.update.clone()
            })
            .collect();
        for update in dead {
            self.apply(update, now, out);
        }
        self.members.retain(|_, member| {
            member.update.state != MemberState::Dead
                || now.since_ms(member.since) < DEAD_RETENTION_MS
        });
    }

    pub(crate) fn names(&self) -> Vec<Arc<str>> {
        self.members.keys().cloned().collect()
    }

    pub(crate) fn send_to(
        &self,
        host: &Arc<str>,
        message: MemberMessage,
        out: &mut Vec<MemberAction>,
    ) {
        if let Some(member) = self.members.get(host) {
            out.push(MemberAction::Send {
                host: host.clone(),
                address: member.update.address.clone(),
                message,
            });
        }
    }
}
