//! The desired state of an engine.

use std::sync::Arc;

use crate::engine_role::EngineRole;
use crate::observed_state::ObservedState;

/// The desired state of an engine; a command carries the whole state, so that it is idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredState {
    /// The model; empty for none.
    pub model: Arc<str>,
    /// The version; empty for none.
    pub version: Arc<str>,
    /// The role.
    pub role: EngineRole,
}

impl DesiredState {
    /// Returns the state without a model.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            model: "".into(),
            version: "".into(),
            role: EngineRole::Standby,
        }
    }

    /// Returns true if the engine is in this state.
    #[must_use]
    pub fn is_met_by(&self, observed: &ObservedState) -> bool {
        observed.role == Some(self.role) && !self.changes_model_of(observed)
    }

    /// Returns true if the engine has to change its model or version.
    #[must_use]
    pub fn changes_model_of(&self, observed: &ObservedState) -> bool {
        observed.model != self.model || observed.version != self.version
    }

    /// Returns true if the engine has to load weights.
    #[must_use]
    pub fn loads_weights_on(&self, observed: &ObservedState) -> bool {
        !self.model.is_empty() && self.changes_model_of(observed)
    }
}
