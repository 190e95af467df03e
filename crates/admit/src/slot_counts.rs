//! Requests and their repeats in the slots of a sliding window.

use lw_base::prelude::*;

/// Counts in a ring of `SLOTS` slots of `SLOT_MS` milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct SlotCounts<const SLOTS: usize, const SLOT_MS: u64> {
    /// Requests and repeats of each slot.
    counts: [(u32, u32); SLOTS],
    slot: u64,
}

impl<const SLOTS: usize, const SLOT_MS: u64> Default for SlotCounts<SLOTS, SLOT_MS> {
    fn default() -> Self {
        Self {
            counts: [(0, 0); SLOTS],
            slot: 0,
        }
    }
}

impl<const SLOTS: usize, const SLOT_MS: u64> SlotCounts<SLOTS, SLOT_MS> {
    /// Moves on to the slot of `now` and clears the slots in between.
    pub(crate) fn advance(&mut self, now: MonoMs) {
        let slot = now.0 / SLOT_MS;
        let steps = slot.saturating_sub(self.slot).min(SLOTS as u64);
        for step in 0..steps {
            self.counts[((slot - step) % SLOTS as u64) as usize] = (0, 0);
        }
        self.slot = self.slot.max(slot);
    }

    /// Notes a request in the present slot.
    pub(crate) fn note_request(&mut self) {
        self.counts[self.position(0)].0 += 1;
    }

    /// Notes a repeat in the present slot.
    pub(crate) fn note_repeat(&mut self) {
        self.counts[self.position(0)].1 += 1;
    }

    /// Returns the repeats of the present slot.
    pub(crate) fn repeats_now(&self) -> u32 {
        self.counts[self.position(0)].1
    }

    /// Returns the requests and repeats of the newest `slots` slots.
    pub(crate) fn sums(&self, slots: usize) -> (f64, f64) {
        let newest = (0..slots.min(SLOTS)).map(|back| self.counts[self.position(back)]);
        let (requests, repeats) = newest.fold((0, 0), |sum, slot| (sum.0 + slot.0, sum.1 + slot.1));
        (f64::from(requests), f64::from(repeats))
    }

    fn position(&self, back: usize) -> usize {
        ((self.slot + SLOTS as u64 - back as u64) % SLOTS as u64) as usize
    }
}
