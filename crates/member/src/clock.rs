//! Comparison of wall clocks inside a region.

use std::collections::BTreeMap;
use std::sync::Arc;

use lw_base::{MonoMs, WallMs};

/// How far the own wall clock may be from the median of the region.
pub const MAX_CLOCK_OFFSET_MS: u64 = 1_000;

/// How long a comparison counts.
const SAMPLE_MS: u64 = 60_000;

/// The clocks of other members relative to the own one, in milliseconds.
#[derive(Debug, Default)]
pub(crate) struct Clocks {
    offsets: BTreeMap<Arc<str>, (i64, MonoMs)>,
}

impl Clocks {
    /// Takes the wall clock of a member from an acknowledgement; half of the round trip is added.
    pub(crate) fn sample(
        &mut self,
        host: &Arc<str>,
        theirs: WallMs,
        sent_at: MonoMs,
        now: MonoMs,
        wall: WallMs,
    ) {
        let theirs_now = theirs.plus_ms(now.since_ms(sent_at) / 2);
        let offset = theirs_now.0.cast_signed() - wall.0.cast_signed();
        self.offsets.insert(host.clone(), (offset, now));
    }

    /// Returns how far the median of the region, with the own clock, is ahead of the own clock.
    pub(crate) fn median_ms(&self, now: MonoMs) -> i64 {
        let recent = self.offsets.values();
        let recent = recent.filter(|(_, at)| now.since_ms(*at) <= SAMPLE_MS);
        let mut offsets: Vec<i64> = recent.map(|(offset, _)| *offset).collect();
        offsets.push(0);
        offsets.sort_unstable();
        let upper = offsets.len() / 2;
        let lower = (offsets.len() - 1) / 2;
        i64::midpoint(offsets[lower], offsets[upper])
    }
}
