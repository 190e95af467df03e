//! The desired number of replicas of a model.

use lw_base::MonoMs;

/// The utilization above which a replica is added.
const ADD_ABOVE_UTILIZATION: f64 = 0.8;
/// The utilization below which a replica is removed.
const REMOVE_BELOW_UTILIZATION: f64 = 0.3;
/// How long the utilization stays high before a replica is added, in milliseconds.
const ADD_AFTER_MS: u64 = 30_000;
/// How long the utilization stays low before a replica is removed, in milliseconds; reloading weights is expensive.
const REMOVE_AFTER_MS: u64 = 600_000;

/// The desired number of replicas of a model, with hysteresis.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaCount {
    desired: u32,
    high_since: Option<MonoMs>,
    low_since: Option<MonoMs>,
}

impl ReplicaCount {
    /// Creates a count that starts at the number of serving replicas, but at least at one.
    #[must_use]
    pub fn new(serving: u32) -> Self {
        Self {
            desired: serving.max(1),
            high_since: None,
            low_since: None,
        }
    }

    /// Returns the desired number of replicas.
    #[must_use]
    pub fn desired(self) -> u32 {
        self.desired
    }

    /// Changes the count by at most one, up to `max_replicas`.
    ///
    /// The utilization is `busy_slots` divided by the slots of the desired replicas. The desired replicas include those
    /// that still load their weights, so that no replica is added twice.
    pub fn update(
        &mut self,
        now: MonoMs,
        busy_slots: f64,
        slots_per_replica: f64,
        max_replicas: u32,
    ) {
        let utilization = busy_slots / (f64::from(self.desired) * slots_per_replica.max(1.0));
        self.high_since = since(self.high_since, utilization > ADD_ABOVE_UTILIZATION, now);
        self.low_since = since(self.low_since, utilization < REMOVE_BELOW_UTILIZATION, now);
        if lasted(self.high_since, ADD_AFTER_MS, now) && self.desired < max_replicas {
            self.change(self.desired + 1);
        }
        if lasted(self.low_since, REMOVE_AFTER_MS, now) && self.desired > 1 {
            self.change(self.desired - 1);
        }
    }

    /// Sets the count and restarts both observation periods.
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
