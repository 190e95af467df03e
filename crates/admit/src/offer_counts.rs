//! Counts of offers and of how they ended.

/// Counts since the queue was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OfferCounts {
    /// Offers, whatever the verdict.
    pub offered: u64,
    /// Offers rejected at once.
    pub refused_at_once: u64,
    /// Tickets that started, at once or after waiting.
    pub started: u64,
    /// Waiting tickets that were refused later.
    pub refused: u64,
    /// Waiting tickets whose deadline passed.
    pub expired: u64,
    /// Waiting tickets whose caller went away.
    pub cancelled: u64,
}

impl OfferCounts {
    /// Returns the number of offers that have ended in one of the four ways or were rejected at once.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.refused_at_once + self.started + self.refused + self.expired + self.cancelled
    }
}
