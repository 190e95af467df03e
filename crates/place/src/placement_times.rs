//! Timeouts and intervals of placement.

/// The timeouts and intervals of placement, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementTimes {
    /// The time to live of the controller's lease.
    pub lease_ms: u64,
    /// The time after which the connection of a command is closed, so that the command has no effect later.
    pub command_timeout_ms: u64,
    /// The margin for clock rate differences between hosts.
    pub margin_ms: u64,
    /// The first retry delay of a failed command; it doubles up to [`Self::retry_cap_ms`].
    pub retry_ms: u64,
    /// The maximum retry delay of a failed command.
    pub retry_cap_ms: u64,
    /// How long an engine stays in the drain role without requests; longer than the delay of load reports.
    pub drain_idle_ms: u64,
    /// The age at which an observation is ignored; six intervals of 5 s between observations.
    pub max_observation_age_ms: u64,
    /// How long a new controller waits for a first observation of every engine.
    pub initial_observation_ms: u64,
    /// The half-life of the moving average of the demand.
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
    /// Returns how long a new controller waits before its first command to an engine that ignores fencing numbers.
    ///
    /// After this time the lease of the previous controller has expired and its last command has completed.
    #[must_use]
    pub fn unfenced_wait_ms(&self) -> u64 {
        self.lease_ms + self.command_timeout_ms + self.margin_ms
    }
}
