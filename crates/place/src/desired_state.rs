//! What an engine should hold.

use std::sync::Arc;

use crate::engine_role::EngineRole;
use crate::observed_state::ObservedState;

/// The content of a command: a state and not a step, so repeating it is safe.
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

    /// Returns true when the engine is in this state.
    #[must_use]
    pub fn is_met_by(&self, view: &ObservedState) -> bool {
        view.role == Some(self.role) && !self.changes_model_of(view)
    }

    /// Returns true when the engine has to change its model or version.
    #[must_use]
    pub fn changes_model_of(&self, view: &ObservedState) -> bool {
        view.model != self.model || view.version != self.version
    }

    /// Returns true when the engine has to load weights.
    #[must_use]
    pub fn loads_weights_on(&self, view: &ObservedState) -> bool {
        !self.model.is_empty() && self.changes_model_of(view)
    }
}
