//! The last observation of one engine.

use lw_base::MonoMs;

use crate::desired_state::DesiredState;
use crate::engine_role::EngineRole;
use crate::observed_state::ObservedState;
use crate::placement_times::PlacementTimes;

/// The last observed state of an engine, with its time.
#[derive(Clone, Debug)]
pub(crate) struct EngineRecord {
    pub(crate) observed: ObservedState,
    observed_at: MonoMs,
    /// The time of the first observation since which the engine has been in the drain role without requests.
    idle_since: Option<MonoMs>,
}

impl EngineRecord {
    /// Returns the record after an observation. `idle_since` stays the same while the engine remains in the drain role
    /// without requests.
    pub(crate) fn update(previous: Option<&Self>, now: MonoMs, observed: ObservedState) -> Self {
        let is_idle = observed.role == Some(EngineRole::Drain) && observed.busy == 0;
        let idle_since = previous.and_then(|previous| previous.idle_since);
        Self {
            observed,
            observed_at: now,
            idle_since: is_idle.then(|| idle_since.unwrap_or(now)),
        }
    }

    /// Sets the desired state of an applied command as the observed one until the next observation.
    pub(crate) fn apply(&mut self, desired: &DesiredState) {
        self.observed.model = desired.model.clone();
        self.observed.version = desired.version.clone();
        self.observed.role = Some(desired.role);
    }

    /// Returns true if the observation is recent enough to be used.
    pub(crate) fn is_recent(&self, now: MonoMs, times: &PlacementTimes) -> bool {
        now.since_ms(self.observed_at) < times.max_observation_age_ms
    }

    /// Returns true if the engine was in the drain role without requests for long enough.
    pub(crate) fn is_drained(&self, now: MonoMs, times: &PlacementTimes) -> bool {
        let idle_since = self.idle_since;
        idle_since.is_some_and(|since| now.since_ms(since) >= times.drain_idle_ms)
    }
}
