//! Counters of offered requests and their results.

/// Counters since the queue was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OfferCounts {
    /// All offers, accepted or not.
    pub offered: u64,
    /// Offers rejected without waiting.
    pub rejected_immediately: u64,
    /// Tickets that started, immediately or after waiting.
    pub started: u64,
    /// Tickets refused while they waited.
    pub refused: u64,
    /// Tickets whose deadline passed while they waited.
    pub expired: u64,
    /// Tickets whose caller disconnected while they waited.
    pub cancelled: u64,
}

impl OfferCounts {
    /// Returns the number of offers that are no longer waiting, including those rejected immediately.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.rejected_immediately + self.started + self.refused + self.expired + self.cancelled
    }
}
