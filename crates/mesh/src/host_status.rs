//! The status that a host reports about itself.

use serde::{Deserialize, Serialize};

use crate::heartbeat::ServiceUsage;
use crate::stage::Stage;

/// The status that a host reports in each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The lifecycle stage of the host.
    pub stage: Stage,
    /// The revision up to which its mirror contains every change.
    pub as_of: u64,
    /// The time since the platform last answered this host, in milliseconds; [`u16::MAX`] when unknown or longer.
    pub platform_age_ms: u16,
    /// The share of a processor core that the host may use, in thousandths.
    pub capacity_permille: u16,
    /// The usage of the services in its region.
    pub services: Vec<ServiceUsage>,
}

impl Default for HostStatus {
    /// Returns the status assumed for a host that has not sent a heartbeat yet.
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
