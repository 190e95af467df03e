//! The lifecycle stages of a host process.

use serde::{Deserialize, Serialize};

/// The lifecycle stage of a host process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// The host has no configuration yet.
    #[default]
    Starting,
    /// The host accepts requests.
    Ready,
    /// The host drains: it finishes in-flight requests and accepts no new ones.
    Leaving,
}
