//! How many replicas a model should have.

use lw_base::MonoMs;

/// A replica is added when the use stays above this share.
const ADD_ABOVE: f64 = 0.8;
/// A replica is removed when the use stays below this share.
const REMOVE_BELOW: f64 = 0.3;
/// How long the use stays high before a replica is added, in milliseconds.
const ADD_AFTER_MS: u64 = 30_000;
/// How long the use stays low before a replica is removed, in milliseconds; loading weights again is expensive.
const REMOVE_AFTER_MS: u64 = 600_000;

/// The desired number of replicas of a model, with hysteresis.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaCount {
    desired: u32,
    high_since: Option<MonoMs>,
    low_since: Option<MonoMs>,
}

impl ReplicaCount {
    /// Builds a count that starts at the number of replicas that serve now, at least one.
    #[must_use]
    pub fn new(serving: u32) -> Self {
        Self {
            desired: serving.max(1),
            high_since: None,
            low_since: None,
        }
    }

    /// Returns the desired number.
    #[must_use]
    pub fn desired(self) -> u32 {
        self.desired
    }

    /// Updates the count by one at most.
    ///
    /// The use is `busy_slots` over the slots of the desired replicas, so replicas that are still loading count and
    /// are not added twice.
    pub fn update(&mut self, now: MonoMs, busy_slots: f64, slots_per_replica: f64, most: u32) {
        let share = busy_slots / (f64::from(self.desired) * slots_per_replica.max(1.0));
        self.high_since = since(self.high_since, share > ADD_ABOVE, now);
        self.low_since = since(self.low_since, share < REMOVE_BELOW, now);
        if lasted(self.high_since, ADD_AFTER_MS, now) && self.desired < most {
            self.change(self.desired + 1);
        }
        if lasted(self.low_since, REMOVE_AFTER_MS, now) && self.desired > 1 {
            self.change(self.desired - 1);
        }
    }

    /// Each change starts the observation over.
    fn change(&mut self, desired: u32) {
        *self = Self::new(desired);
    }
}

fn since(before: Option<MonoMs>, holds: bool, now: MonoMs) -> Option<MonoMs> {
    holds.then(|| before.unwrap_or(now))
}

fn lasted(since: Option<MonoMs>, span_ms: u64, now: MonoMs) -> bool {
    since.is_some_and(|since| now.since_ms(since) >= span_ms)
}
