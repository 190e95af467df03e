//! Comparison of the wall clocks of a region.

use std::collections::BTreeMap;
use std::sync::Arc;

use lw_base::{MonoMs, WallMs};

/// The maximum allowed difference between the wall clock of a host and the median of its region.
pub const MAX_CLOCK_OFFSET_MS: u64 = 1_000;

/// How long an offset counts after it was measured.
const OFFSET_MAX_AGE_MS: u64 = 60_000;

/// The offsets of the wall clocks of other members from the clock of this host, in milliseconds.
#[derive(Debug, Default)]
pub(crate) struct ClockOffsets {
    offsets: BTreeMap<Arc<str>, (i64, MonoMs)>,
}

impl ClockOffsets {
    /// Records the clock offset of a member. Half of the round trip is added to `theirs`, the wall clock in its
    /// acknowledgement.
    pub(crate) fn record(
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

    /// Returns how far the median clock of the region, this host included, is ahead of the clock of this host.
    pub(crate) fn median_ms(&self, now: MonoMs) -> i64 {
        let recent = self.offsets.values();
        let recent = recent.filter(|(_, at)| now.since_ms(*at) <= OFFSET_MAX_AGE_MS);
        let mut offsets: Vec<i64> = recent.map(|(offset, _)| *offset).collect();
        offsets.push(0);
        offsets.sort_unstable();
        let upper = offsets.len() / 2;
        let lower = (offsets.len() - 1) / 2;
        i64::midpoint(offsets[lower], offsets[upper])
    }
}
