//! The desired placement of a model in a region.

use std::sync::Arc;

/// The desired version and number of replicas of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// The name of the model, which is also the name of its service.
    pub model: Arc<str>,
    /// The version.
    pub version: Arc<str>,
    /// The number of engines that should serve the model.
    pub replicas: u32,
}
