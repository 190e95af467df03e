//! What a model needs in a region.

use std::sync::Arc;

/// The wanted version and number of replicas of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// The model, which is the name of its service.
    pub model: Arc<str>,
    /// The version.
    pub version: Arc<str>,
    /// How many engines should serve it.
    pub replicas: u32,
}
