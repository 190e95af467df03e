//! A retry budget that all hosts share without a common counter.

use lw_base::prelude::*;

const SLOT_MS: u64 = 500;
/// Slots of the longest window that is counted: 30 s.
const SLOTS: usize = 60;
/// The part of the common limit that hosts give out. Hosts see different windows, and the limit counts every span.
const USED_PART: f64 = 0.7;

/// This host's part of the limit of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetShare {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats that are always allowed in a window, over all hosts.
    pub extra: f64,
    /// The window, in milliseconds.
    pub window_ms: u64,
    /// The hosts that share `extra`.
    pub sharers: usize,
}

/// Counts the requests and repeats of one service on this host.
///
/// The ratio applies to this host's own requests, and the fixed part is divided by the number of hosts. The sum over
/// all hosts then stays below the limit, whatever the others do.
#[derive(Clone, Debug)]
pub struct SharedBudget {
    requests: [u32; SLOTS],
    repeats: [u32; SLOTS],
    slot: u64,
}

impl Default for SharedBudget {
    fn default() -> Self {
        Self {
            requests: [0; SLOTS],
            repeats: [0; SLOTS],
            slot: 0,
        }
    }
}

impl SharedBudget {
    /// Notes the first send of a request.
    pub fn request(&mut self, now: MonoMs) {
        self.advance(now);
        self.requests[self.position(0)] += 1;
    }

    /// Takes a repeat out of this host's share; returns false when it is used up.
    pub fn try_repeat(&mut self, now: MonoMs, share: BudgetShare) -> bool {
        self.advance(now);
        let slots = (share.window_ms / SLOT_MS + 1).clamp(1, SLOTS as u64) as usize;
        let sum = |counts: &[u32; SLOTS]| -> f64 {
            (0..slots)
                .map(|back| f64::from(counts[self.position(back)]))
                .sum()
        };
        let own = share.ratio * sum(&self.requests) + share.extra / share.sharers.max(1) as f64;
        if sum(&self.repeats) + 1.0 > own * USED_PART {
            return false;
        }
        let position = self.position(0);
        self.repeats[position] += 1;
        true
    }

    fn position(&self, back: usize) -> usize {
        ((self.slot + SLOTS as u64 - back as u64) % SLOTS as u64) as usize
    }

    fn advance(&mut self, now: MonoMs) {
        let slot = now.0 / SLOT_MS;
        let steps = slot.saturating_sub(self.slot).min(SLOTS as u64);
        for step in 0..steps {
            let position = ((slot - step) % SLOTS as u64) as usize;
            self.requests[position] = 0;
            self.repeats[position] = 0;
        }
        self.slot = self.slot.max(slot);
    }
}
