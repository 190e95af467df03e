//! What the decider remembers about one engine.

use lw_base::MonoMs;

use crate::desired_state::DesiredState;
use crate::engine_role::EngineRole;
use crate::observed_state::ObservedState;
use crate::placement_times::PlacementTimes;

/// The last reading of an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineRecord {
    pub(crate) view: ObservedState,
    seen: MonoMs,
    idle_since: Option<MonoMs>,
}

impl EngineRecord {
    /// Records a reading, and for how long the engine has been draining without requests.
    pub(crate) fn update(before: Option<&Self>, now: MonoMs, view: ObservedState) -> Self {
        let is_idle = view.role == Some(EngineRole::Drain) && view.busy == 0;
        let idle_since = before.and_then(|before| before.idle_since);
        Self {
            view,
            seen: now,
            idle_since: is_idle.then(|| idle_since.unwrap_or(now)),
        }
    }

    /// Takes over what an applied command asked for, until the next reading.
    pub(crate) fn apply(&mut self, wanted: &DesiredState) {
        self.view.model = wanted.model.clone();
        self.view.version = wanted.version.clone();
        self.view.role = Some(wanted.role);
    }

    /// Returns true while the reading is recent enough.
    pub(crate) fn is_known(&self, now: MonoMs, times: &PlacementTimes) -> bool {
        now.since_ms(self.seen) < times.max_observation_age_ms
    }

    /// Returns true when the engine drained for long enough.
    pub(crate) fn is_drained(&self, now: MonoMs, times: &PlacementTimes) -> bool {
        let idle_since = self.idle_since;
        idle_since.is_some_and(|since| now.since_ms(since) >= times.drain_idle_ms)
    }
}
