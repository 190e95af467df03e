//! Replay protection for frames.

/// The size of the window: frames may arrive out of order by fewer than this many sequence numbers.
const WINDOW_FRAMES: u64 = 128;

/// The recently received sequence numbers of one sender.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Bit `n` is set when the number `highest - n` was received.
    received_bits: u128,
}

impl ReplayWindow {
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            highest: 0,
            received_bits: 0,
        }
    }

    /// Records a frame; returns false for a sequence number that is zero, repeated or older than the window, and for an
    /// earlier incarnation.
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
        if age >= WINDOW_FRAMES || self.received_bits & (1 << age) != 0 {
            return false;
        }
        self.received_bits |= 1 << age;
        true
    }

    fn advance(&mut self, sequence: u64) {
        let step = sequence - self.highest;
        self.received_bits = if step >= WINDOW_FRAMES {
            0
        } else {
            self.received_bits << step
        };
        self.received_bits |= 1;
        self.highest = sequence;
    }
}
