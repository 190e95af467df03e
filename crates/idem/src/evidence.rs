//! Authority evidence: recent probe acknowledgements that rule out a takeover by another host without the owner's
//! consent.

use lw_base::{FastMap, MonoMs};

use crate::instance::HostName;

/// The greatest age of the evidence with which an owner accepts a new key.
///
/// A cutoff lies 30 s after the takeover that sets it. Evidence up to 11 s old, keys issued up to 2 s ahead and wall
/// clocks that differ by up to 3 s leave 14 s for a slow write of the takeover.
pub const EVIDENCE_MAX_AGE_MS: u64 = 11_000;

/// The send time of the latest acknowledged probe to each host.
#[derive(Debug, Default)]
pub(crate) struct PeerEvidence {
    last_acked_at: FastMap<HostName, MonoMs>,
}

impl PeerEvidence {
    pub(crate) fn record_ack(&mut self, host: &HostName, sent_at: MonoMs) {
        let entry = self.last_acked_at.entry(host.clone()).or_default();
        *entry = (*entry).max(sent_at);
    }

    /// Returns the latest time such that more than half of `electorate`, `me` included, acknowledged a probe sent at
    /// that time or later.
    ///
    /// Returns `None` when too few hosts acknowledged one, and for an electorate of fewer than two hosts.
    pub(crate) fn majority_time(&self, electorate: &[HostName], me: &HostName) -> Option<MonoMs> {
        if electorate.len() < 2 {
            return None;
        }
        let own_vote = usize::from(electorate.contains(me));
        let needed = (electorate.len() / 2 + 1) - own_vote;
        let mut sent: Vec<MonoMs> = electorate
            .iter()
            .filter(|host| *host != me)
            .filter_map(|host| self.last_acked_at.get(host).copied())
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        sent.get(needed.checked_sub(1)?).copied()
    }
}

/// Returns true when evidence from the time `evidence_at` is at most [`EVIDENCE_MAX_AGE_MS`] old.
pub(crate) fn is_fresh(evidence_at: Option<MonoMs>, now: MonoMs) -> bool {
    evidence_at.is_some_and(|at| now.since_ms(at) <= EVIDENCE_MAX_AGE_MS)
}
