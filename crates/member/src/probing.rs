//! Probes, acknowledgements and indirect probes.

use std::collections::BTreeMap;
use std::sync::Arc;

use lw_base::{MonoMs, WallMs};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::action::MemberAction;
use crate::member_update::{MemberState, MemberUpdate};
use crate::membership::Membership;
use crate::message::{MemberMessage, ProbePayload};

/// The time between two rounds of probes.
const PROBE_INTERVAL_MS: u64 = 1_000;

/// The number of members for which a host sends one probe per round.
///
/// The owner of a shard needs acknowledgements from more than half of the region within 11 s, so the hosts of larger
/// regions probe more members per second. Half of any region is reached within 8 s.
const MEMBERS_PER_PROBE: usize = 16;

/// On average, one in this many rounds also probes a seed and a dead member, to detect the end of a network partition.
const LOST_PROBE_ONE_IN: u32 = 5;

/// A probe that has not been acknowledged yet.
#[derive(Clone, Debug)]
pub(crate) struct OutstandingProbe {
    /// The name of the probed host; empty for a seed.
    pub(crate) target: Arc<str>,
    pub(crate) sent_at: MonoMs,
    /// True when other members were requested to probe the target, too.
    pub(crate) indirect: bool,
    /// The host that requested this probe and its nonce, for an indirect probe.
    pub(crate) on_behalf_of: Option<(Arc<str>, u64)>,
}

/// The outstanding probes and the schedule of the next ones.
#[derive(Debug)]
pub(crate) struct Probing {
    pub(crate) outstanding: BTreeMap<u64, OutstandingProbe>,
    shuffled_members: Vec<Arc<str>>,
    next_nonce: u64,
    next_round_at: MonoMs,
}

impl Probing {
    pub(crate) fn new(now: MonoMs) -> Self {
        Self {
            outstanding: BTreeMap::new(),
            shuffled_members: Vec::new(),
            next_nonce: 1,
            next_round_at: now,
        }
    }

    pub(crate) fn clear(&mut self, now: MonoMs) {
        self.outstanding.clear();
        self.next_round_at = now;
    }

    /// Ends a probe after an indirect acknowledgement of its target.
    pub(crate) fn end_indirectly_acked(&mut self, nonce: u64, target: &Arc<str>) {
        let outstanding = self.outstanding.get(&nonce);
        if outstanding.is_some_and(|probe| probe.target == *target) {
            self.outstanding.remove(&nonce);
        }
    }
}

impl Membership {
    pub(crate) fn tick_probes(&mut self, now: MonoMs, wall: WallMs, out: &mut Vec<MemberAction>) {
        self.time_out_probes(now, out);
        if now < self.probing.next_round_at {
            return;
        }
        self.probing.next_round_at = now.plus_ms(PROBE_INTERVAL_MS);
        let count = (self.members.len() + 1).div_ceil(MEMBERS_PER_PROBE);
        for _ in 0..count {
            if let Some(target) = self.next_target() {
                self.probe(&target, None, now, wall, out);
            }
        }
        self.probe_seed_and_dead_member(now, wall, out);
    }

    /// Returns the next member of a shuffled list of all members, so that each one is probed once per list.
    fn next_target(&mut self) -> Option<Arc<str>> {
        for _ in 0..=self.members.len() {
            if self.probing.shuffled_members.is_empty() {
                self.probing.shuffled_members = self.names();
                self.probing.shuffled_members.shuffle(&mut self.rng);
            }
            let name = self.probing.shuffled_members.pop()?;
            let member = self.members.get(&name);
            if member.is_some_and(|member| member.update.state != MemberState::Dead) {
                return Some(name);
            }
        }
        None
    }

    /// Probes a random seed and a random dead member: in every round while no member is known, otherwise in one of
    /// [`LOST_PROBE_ONE_IN`] rounds on average.
    fn probe_seed_and_dead_member(
        &mut self,
        now: MonoMs,
        wall: WallMs,
        out: &mut Vec<MemberAction>,
    ) {
        let alone = self.members.is_empty();
        if !alone && !self.rng.random_ratio(1, LOST_PROBE_ONE_IN) {
            return;
        }
        if let Some(address) = self.seeds.choose(&mut self.rng).cloned() {
            let message = MemberMessage::Probe(self.start_probe("".into(), None, now, wall));
            out.push(MemberAction::Send {
                host: "".into(),
                address,
                message,
            });
        }
        let dead = self.members.values().map(|member| &member.update);
        let dead: Vec<Arc<str>> = dead
            .filter(|update| update.state == MemberState::Dead)
            .map(|update| update.host.clone())
            .collect();
        if let Some(host) = dead.choose(&mut self.rng) {
            self.probe(host, None, now, wall, out);
        }
    }

    pub(crate) fn probe(
        &mut self,
        target: &Arc<str>,
        on_behalf_of: Option<(Arc<str>, u64)>,
        now: MonoMs,
        wall: WallMs,
        out: &mut Vec<MemberAction>,
    ) {
        let payload = self.start_probe(target.clone(), on_behalf_of, now, wall);
        self.send_to(target, MemberMessage::Probe(payload), out);
    }

    fn start_probe(
        &mut self,
        target: Arc<str>,
        on_behalf_of: Option<(Arc<str>, u64)>,
        now: MonoMs,
        wall: WallMs,
    ) -> ProbePayload {
        let nonce = self.probing.next_nonce;
        self.probing.next_nonce += 1;
        let known = self.members.get(&target);
        let introduce = known.is_none_or(|member| member.last_acked_at.is_none());
        let payload = self.probe_payload(nonce, Some(&target), introduce, wall);
        let probe = OutstandingProbe {
            target,
            sent_at: now,
            indirect: false,
            on_behalf_of,
        };
        self.probing.outstanding.insert(nonce, probe);
        payload
    }

    fn probe_payload(
        &mut self,
        nonce: u64,
        to: Option<&Arc<str>>,
        introduce: bool,
        wall: WallMs,
    ) -> ProbePayload {
        ProbePayload {
            nonce,
            wall,
            conf_revision: self.conf_revision,
            map_revision: self.map_revision,
            updates: self.piggyback(to, introduce),
        }
    }

    pub(crate) fn on_probe(
        &mut self,
        from: (&Arc<str>, u64),
        payload: ProbePayload,
        evidence: bool,
        now: MonoMs,
        wall: WallMs,
        out: &mut Vec<MemberAction>,
    ) {
        let introduced = payload.updates.iter().any(|update| update.host == *from.0);
        let nonce = payload.nonce;
        self.apply_payload(from, payload, now, out);
        let known = self.members.get(from.0);
        if known.is_none_or(|member| member.update.incarnation != from.1) {
            return;
        }
        let payload = self.probe_payload(nonce, Some(from.0), introduced, wall);
        self.send_to(from.0, MemberMessage::ProbeAck { payload, evidence }, out);
    }

    pub(crate) fn on_probe_ack(
        &mut self,
        from: (&Arc<str>, u64),
        payload: ProbePayload,
        evidence: bool,
        now: MonoMs,
        wall: WallMs,
        out: &mut Vec<MemberAction>,
    ) {
        let Some(probe) = self.probing.outstanding.remove(&payload.nonce) else {
            return;
        };
        if !probe.target.is_empty() && probe.target != *from.0 {
            return;
        }
        self.clock_offsets
            .record(from.0, payload.wall, probe.sent_at, now, wall);
        self.apply_payload(from, payload, now, out);
        let Some(member) = self.members.get_mut(from.0) else {
            return;
        };
        if member.update.incarnation != from.1 {
            return;
        }
        member.last_acked_at = member.last_acked_at.max(Some(probe.sent_at));
        out.push(MemberAction::Acknowledged {
            host: from.0.clone(),
            incarnation: from.1,
            sent_at: probe.sent_at,
            evidence,
        });
        if let Some((requester, nonce)) = probe.on_behalf_of {
            let target = from.0.clone();
            self.send_to(
                &requester,
                MemberMessage::IndirectAck { nonce, target },
                out,
            );
        }
    }

    fn apply_payload(
        &mut self,
        from: (&Arc<str>, u64),
        payload: ProbePayload,
        now: MonoMs,
        out: &mut Vec<MemberAction>,
    ) {
        for update in payload.updates {
            self.apply(update, now, out);
        }
        if let Some(member) = self.members.get_mut(from.0) {
            member.conf_revision = member.conf_revision.max(payload.conf_revision);
        }
    }

    pub(crate) fn on_leaving(
        &mut self,
        from: (&Arc<str>, u64),
        now: MonoMs,
        out: &mut Vec<MemberAction>,
    ) {
        let Some(member) = self.members.get(from.0) else {
            return;
        };
        if member.update.incarnation == from.1 {
            let update = MemberUpdate {
                state: MemberState::Leaving,
                ..member.update.clone()
            };
            self.apply(update, now, out);
        }
    }
}
