//! Time spans of placement.

/// The time spans of placement, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementTimes {
    /// The time to live of the lease.
    pub lease_ms: u64,
    /// After this time the connection of a command is closed, so the command takes no effect later.
    pub command_timeout_ms: u64,
    /// Covers clocks that run at different rates.
    pub margin_ms: u64,
    /// The first delay before a failed command is sent again; it doubles up to [`Self::retry_cap_ms`].
    pub retry_ms: u64,
    /// The longest delay before a failed command is sent again.
    pub retry_cap_ms: u64,
    /// How long an engine without requests stays in the drain role; longer than load reports lag.
    pub drain_idle_ms: u64,
    /// An engine that was not seen for this long is not counted; six readings at 5 s.
    pub max_observation_age_ms: u64,
    /// How long a new decider waits for a first reading of every engine.
    pub initial_observation_ms: u64,
    /// The half-life of the average demand.
    pub demand_half_life_ms: u64,
}

impl Default for PlacementTimes {
    fn default() -> Self {
        Self {
            lease_ms: 10_000,
            command_timeout_ms: 5_000,
            margin_ms: 3_000,
            retry_ms: 1_000,
            retry_cap_ms: 30_000,
            drain_idle_ms: 5_000,
            max_observation_age_ms: 30_000,
            initial_observation_ms: 15_000,
            demand_half_life_ms: 10_000,
        }
    }
}

impl PlacementTimes {
    /// Returns how long a new decider waits before its first command to an engine that ignores fencing numbers.
    ///
    /// Within this time an earlier decider, whose lease may not have ended yet, sends its last command and the command
    /// ends.
    #[must_use]
    pub fn unfenced_wait_ms(&self) -> u64 {
        self.lease_ms + self.command_timeout_ms + self.margin_ms
    }
}
