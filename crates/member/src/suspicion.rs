//! Probes without an acknowledgement: indirect probes and suspicion.

use std::sync::Arc;

use lw_base::{MonoMs, WallMs};
use rand::seq::IndexedRandom;

use crate::action::MemberAction;
use crate::member_update::{MemberState, MemberUpdate};
use crate::membership::Membership;
use crate::message::MemberMessage;
use crate::probing::OutstandingProbe;

/// How long a host waits for the acknowledgement of a direct or an indirect probe.
const PROBE_TIMEOUT_MS: u64 = 500;

/// The number of members that probe an unresponsive member on behalf of this host.
const INDIRECT_PROBES: usize = 2;

impl Membership {
    pub(crate) fn on_indirect_probe(
        &mut self,
        requester: &Arc<str>,
        nonce: u64,
        target: &Arc<str>,
        now: MonoMs,
        wall: WallMs,
        out: &mut Vec<MemberAction>,
    ) {
        if self.members.contains_key(target) {
            self.probe(target, Some((requester.clone(), nonce)), now, wall, out);
        }
    }

    pub(crate) fn time_out_probes(&mut self, now: MonoMs, out: &mut Vec<MemberAction>) {
        let due = self.probing.outstanding.iter().filter(|(_, probe)| {
            let limit_ms = if probe.indirect {
                2 * PROBE_TIMEOUT_MS
            } else {
                PROBE_TIMEOUT_MS
            };
            now.since_ms(probe.sent_at) >= limit_ms
        });
        let due: Vec<(u64, OutstandingProbe)> =
            due.map(|(nonce, probe)| (*nonce, probe.clone())).collect();
        for (nonce, probe) in due {
            let intermediaries = self.intermediaries(&probe);
            if intermediaries.is_empty() {
                self.probing.outstanding.remove(&nonce);
                self.suspect(&probe, now, out);
                continue;
            }
            for intermediary in intermediaries {
                let target = probe.target.clone();
                self.send_to(
                    &intermediary,
                    MemberMessage::IndirectProbe { nonce, target },
                    out,
                );
            }
            if let Some(probe) = self.probing.outstanding.get_mut(&nonce) {
                probe.indirect = true;
            }
        }
    }

    /// Selects members for indirect probes of the target of `probe`.
    ///
    /// Selects none when the target is a seed, when the probe is on behalf of another host, and after indirect probes
    /// were sent.
    fn intermediaries(&mut self, probe: &OutstandingProbe) -> Vec<Arc<str>> {
        if probe.indirect || probe.target.is_empty() || probe.on_behalf_of.is_some() {
            return Vec::new();
        }
        let alive: Vec<Arc<str>> = self
            .members()
            .filter(|update| update.state <= MemberState::Leaving && update.host != probe.target)
            .map(|update| update.host.clone())
            .collect();
        let chosen = alive.choose_multiple(&mut self.rng, INDIRECT_PROBES);
        chosen.cloned().collect()
    }

    fn suspect(&mut self, probe: &OutstandingProbe, now: MonoMs, out: &mut Vec<MemberAction>) {
        if probe.on_behalf_of.is_some() {
            return;
        }
        let Some(member) = self.members.get(&probe.target) else {
            return;
        };
        if member.update.state <= MemberState::Leaving {
            let update = MemberUpdate {
                state: MemberState::Suspect,
                ..member.update.clone()
            };
            self.apply(update, now, out);
        }
    }
}
