//! The membership of one host.

use std::collections::BTreeMap;
use std::sync::Arc;

use lw_base::{MonoMs, WallMs};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::action::MemberAction;
use crate::clock::Clocks;
use crate::member::Member;
use crate::message::MemberMessage;
use crate::probing::Probing;
use crate::region_load::RegionLoad;
use crate::regions::Regions;
use crate::update::{MemberState, Update};

/// How long a suspect has to refute.
pub const SUSPICION_TIMEOUT_MS: u64 = 8_000;

/// How long dead members are remembered, so that a healed split is noticed.
const DEAD_MS: u64 = 600_000;

/// A gap between two ticks after which this host takes itself, not the others, for paused.
const PAUSE_MS: u64 = 2_000;

/// The membership of one host.
#[derive(Debug)]
pub struct Membership {
    pub(crate) region: Arc<str>,
    pub(crate) me: Update,
    pub(crate) me_sends_left: u32,
    pub(crate) members: BTreeMap<Arc<str>, Member>,
    pub(crate) seeds: Vec<Arc<str>>,
    pub(crate) region_seeds: Vec<Arc<str>>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) probing: Probing,
    pub(crate) clocks: Clocks,
    pub(crate) regions: Regions,
    pub(crate) conf_revision: u64,
    pub(crate) map_revision: u64,
    pub(crate) load: RegionLoad,
    pub(crate) gossip_at: MonoMs,
    pub(crate) summary_at: MonoMs,
    pub(crate) flush_at: MonoMs,
    pub(crate) started: MonoMs,
    last_tick: MonoMs,
}

impl Membership {
    /// Builds the membership of the process `me` in `region`; `seed` is for its random choices.
    #[must_use]
    pub fn new(region: &str, me: Update, seed: u64, now: MonoMs) -> Self {
        Self {
            region: region.into(),
            me,
            me_sends_left: 0,
            members: BTreeMap::new(),
            seeds: Vec::new(),
            region_seeds: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            probing: Probing::new(now),
            clocks: Clocks::default(),
            regions: Regions::default(),
            conf_revision: 0,
            map_revision: 0,
            load: RegionLoad::default(),
            gossip_at: now,
            summary_at: now,
            flush_at: now,
            started: now,
            last_tick: now,
        }
    }

    /// Sets the addresses that are probed while no member is known: the seeds of the settings and the host list.
    pub fn set_seeds(&mut self, addresses: Vec<Arc<str>>) {
        self.seeds = addresses;
        self.seeds.retain(|address| *address != self.me.address);
    }

    /// Sets addresses in other regions, for the time in which no summary is known.
    pub fn set_region_seeds(&mut self, addresses: Vec<Arc<str>>) {
        self.region_seeds = addresses;
    }

    /// Takes the platform's host list of this region: unknown hosts are probed, and lost hosts that the list does not
    /// name any more are forgotten. The list lags and never declares a host alive or lost.
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

    /// Sets the revisions that probes show.
    pub fn set_revisions(&mut self, conf_revision: u64, map_revision: u64) {
        self.conf_revision = conf_revision;
        self.map_revision = map_revision;
    }

    /// Sets the capacity and the use of the region for its summary; relays send it.
    pub fn set_load(&mut self, load: RegionLoad) {
        self.load = load.bounded();
    }

    /// Marks this host as leaving and tells the members.
    pub fn leave(&mut self, out: &mut Vec<MemberAction>) {
        self.me.state = MemberState::Leaving;
        self.me.refutation += 1;
        self.announce_me();
        for name in self.names() {
            self.send_to(&name, MemberMessage::Leaving, out);
        }
    }

    /// Takes a message from the process `from`; `evidence` tells whether an acknowledgement to it with the shown map
    /// revision counts as authority evidence.
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
            MemberMessage::Probe(beat) => {
                let evidence = evidence(beat.map_revision);
                self.on_probe(from, beat, evidence, now, wall, out);
            }
            MemberMessage::ProbeAck { beat, evidence } => {
                self.on_ack(from, beat, evidence, now, wall, out);
            }
            MemberMessage::IndirectProbe { nonce, target } => {
                self.on_indirect_probe(from.0, nonce, &target, now, wall, out);
            }
            MemberMessage::IndirectAck { nonce, target } => {
                self.probing.settle(nonce, &target);
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

    /// Does what is due; to be called about every 100 ms.
    pub fn tick(&mut self, now: MonoMs, wall: WallMs, out: &mut Vec<MemberAction>) {
        let gap_ms = now.since_ms(self.last_tick);
        self.last_tick = now;
        if gap_ms > PAUSE_MS {
            self.forgive(gap_ms, now);
        }
        self.tick_probes(now, wall, out);
        self.expire(now, out);
        self.tick_regions(now, wall, out);
    }

    /// Gives everyone the time back in which this host was paused.
    fn forgive(&mut self, gap_ms: u64, now: MonoMs) {
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
        let dead: Vec<Update> = suspects
            .map(|member| Update {
                state: MemberState::Dead,
                ..member.update.clone()
            })
            .collect();
        for update in dead {
            self.apply(update, now, out);
        }
        self.members.retain(|_, member| {
            member.update.state != MemberState::Dead || now.since_ms(member.since) < DEAD_MS
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
