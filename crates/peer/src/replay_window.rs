//! The window that refuses repeated frames.

/// How many sequence numbers below the highest one are still accepted, for frames that overtake each other.
const WINDOW: u64 = 128;

/// The sequence numbers seen from one sender.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    seen: u128,
}

impl ReplayWindow {
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            highest: 0,
            seen: 0,
        }
    }

    /// Records a frame; returns false for a repeat, a too old number or a former incarnation.
    pub(crate) fn accept(&mut self, incarnation: u64, sequence: u64) -> bool {
        if incarnation < self.incarnation || sequence == 0 {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self::new(incarnation);
        }
        if sequence > self.highest {
            self.advance(sequence);
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }

    fn advance(&mut self, sequence: u64) {
        let step = sequence - self.highest;
        self.seen = if step >= WINDOW { 0 } else { self.seen << step };
        self.seen |= 1;
        self.highest = sequence;
    }
}
