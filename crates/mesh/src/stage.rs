//! The stages of a host's process.

use serde::{Deserialize, Serialize};

/// Where the process of a host stands between its start and its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// It has no configuration yet.
    #[default]
    Starting,
    /// It takes requests.
    Ready,
    /// It finishes its requests and takes no new ones.
    Leaving,
}
