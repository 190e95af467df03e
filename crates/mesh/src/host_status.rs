//! What a host says of itself.

use serde::{Deserialize, Serialize};

use crate::heartbeat::ServiceUsage;
use crate::stage::Stage;

/// What a host says of itself in each beat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Its stage.
    pub stage: Stage,
    /// The revision of its mirror.
    pub as_of: u64,
    /// The time since the platform last answered it, in milliseconds.
    pub platform_age_ms: u16,
    /// Thousandths of a processor core that it may use.
    pub capacity_permille: u16,
    /// The use of the services in its region.
    pub services: Vec<ServiceUsage>,
}

impl Default for HostStatus {
    /// Returns what is assumed of a host that was not heard yet.
    fn default() -> Self {
        Self {
            stage: Stage::Starting,
            as_of: 0,
            platform_age_ms: u16::MAX,
            capacity_permille: 0,
            services: Vec::new(),
        }
    }
}
