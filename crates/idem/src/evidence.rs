//! Authority evidence: why an owner may believe that nobody has taken over without its consent.

use lw_base::{FastMap, MonoMs};

use crate::instance::HostName;

/// How old evidence may be when an owner accepts a key.
///
/// A cutoff lies 30 s after its takeover. Evidence of 11 s, keys issued 2 s ahead and wall clocks that differ by 3 s
/// leave 14 s for a slow write of the takeover.
pub const EVIDENCE_MAX_AGE_MS: u64 = 11_000;

/// When the probes of this host were last acknowledged, by send time.
#[derive(Debug, Default)]
pub(crate) struct PeerEvidence {
    acknowledged: FastMap<HostName, MonoMs>,
}

impl PeerEvidence {
    pub(crate) fn acknowledged(&mut self, host: &HostName, sent_at: MonoMs) {
        let entry = self.acknowledged.entry(host.clone()).or_default();
        *entry = (*entry).max(sent_at);
    }

    /// Returns the latest moment since which more than half of `electorate` acknowledged, `me` included.
    pub(crate) fn moment(&self, electorate: &[HostName], me: &HostName) -> Option<MonoMs> {
        if electorate.len() < 2 {
            return None;
        }
        let own_vote = usize::from(electorate.contains(me));
        let needed = (electorate.len() / 2 + 1) - own_vote;
        let mut sent: Vec<MonoMs> = electorate
            .iter()
            .filter(|host| *host != me)
            .filter_map(|host| self.acknowledged.get(host).copied())
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        sent.get(needed.checked_sub(1)?).copied()
    }
}

/// Returns true when `moment` is recent enough.
pub(crate) fn is_fresh(moment: Option<MonoMs>, now: MonoMs) -> bool {
    moment.is_some_and(|moment| now.since_ms(moment) <= EVIDENCE_MAX_AGE_MS)
}
