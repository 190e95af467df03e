//! Remembers which prompt parts targets have answered.

use lw_base::prelude::*;

use crate::part_key::PartKey;

/// The maximum number of remembered parts; the older half is dropped beyond it.
const MAX_PARTS: usize = 4_096;

/// When targets last answered a request with a part.
#[derive(Clone, Debug, Default)]
pub(crate) struct SurvivalLog {
    survived_at: FastMap<PartKey, MonoMs>,
}

impl SurvivalLog {
    /// Records that a target has answered a request with the part.
    pub(crate) fn record(&mut self, at: MonoMs, part: PartKey) {
        let latest = self.survived_at.entry(part).or_insert(at);
        *latest = at.max(*latest);
        if self.survived_at.len() > MAX_PARTS {
            let mut times: Vec<MonoMs> = self.survived_at.values().copied().collect();
            let (_, median, _) = times.select_nth_unstable(MAX_PARTS / 2);
            let median = *median;
            self.survived_at.retain(|_, at| *at > median);
        }
    }

    /// Returns when a target last answered a request with the part.
    pub(crate) fn latest(&self, part: PartKey) -> Option<MonoMs> {
        self.survived_at.get(&part).copied()
    }
}
