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

/// The wanted number of replicas of a model, with hysteresis.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaCount {
    wanted: u32,
    high_since: Option<MonoMs>,
    low_since: Option<MonoMs>,
}

impl ReplicaCount {
    /// Builds a count that starts at the number of replicas that serve now, at least one.
    #[must_use]
    pub fn new(serving: u32) -> Self {
        Self {
            wanted: serving.max(1),
            high_since: None,
            low_since: None,
        }
    }

    /// Returns the wanted number.
    #[must_use]
    pub fn wanted(self) -> u32 {
        self.wanted
    }

    /// Updates the count by one at most.
    ///
    /// The use is `busy_slots` over the slots of the wanted replicas, so replicas that are still loading count and
    /// are not added twice.
    pub fn update(&mut self, now: MonoMs, busy_slots: f64, slots_per_replica: f64, most: u32) {
        let share = busy_slots / (f64::from(self.wanted) * slots_per_replica.max(1.0));
        self.high_since = since(self.high_since, share > ADD_ABOVE, now);
        self.low_since = since(self.low_since, share < REMOVE_BELOW, now);
        if lasted(self.high_since, ADD_AFTER_MS, now) && self.wanted < most {
            self.change(self.wanted + 1);
        }
        if lasted(self.low_since, REMOVE_AFTER_MS, now) && self.wanted > 1 {
            self.change(self.wanted - 1);
        }
    }

    /// Each change starts the observation over.
    fn change(&mut self, wanted: u32) {
        *self = Self::new(wanted);
    }
}

fn since(before: Option<MonoMs>, holds: bool, now: MonoMs) -> Option<MonoMs> {
    holds.then(|| before.unwrap_or(now))
}

fn lasted(since: Option<MonoMs>, span_ms: u64, now: MonoMs) -> bool {
    since.is_some_and(|since| now.since_ms(since) >= span_ms)
}
