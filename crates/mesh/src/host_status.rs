//! The status that a host reports about itself.

use serde::{Deserialize, Serialize};

use crate::heartbeat::ServiceUsage;
use crate::stage::Stage;
use crate::state_version::StateVersion;

/// The status that a host reports in each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The lifecycle stage of the host.
    pub stage: Stage,
    /// The version up to which its mirror contains every change. The first part of a heartbeat contains only the
    /// revision.
    #[serde(with = "revision_only")]
    pub as_of: StateVersion,
    /// The time since the platform last answered this host, in milliseconds; [`u16::MAX`] when unknown or longer.
    pub platform_age_ms: u16,
    /// The time since the platform last answered any call of this host or of one that it has heard from, in milliseconds;
    /// [`u16::MAX`] when it is unknown, or when this host is isolated.
    #[serde(skip, default = "unknown_age_ms")]
    pub platform_contact_age_ms: u16,
    /// The time since the platform last answered a watch of a host of the region, as far as the sender knows, in
    /// milliseconds; [`u16::MAX`] when unknown or longer.
    #[serde(skip, default = "unknown_age_ms")]
    pub region_watch_age_ms: u16,
    /// The platform refuses or does not answer the watches of this host.
    #[serde(skip)]
    pub is_watch_failing: bool,
    /// The platform has answered again after a silence, and its state may lack what happened meanwhile.
    #[serde(skip)]
    pub has_platform_returned: bool,
    /// The share of a processor core that the host may use, in thousandths.
    pub capacity_permille: u16,
    /// The usage of the services in its region.
    pub services: Vec<ServiceUsage>,
    /// The number of keys whose state from before a restore of the store holds instead of the store's.
    #[serde(skip)]
    pub earlier_states: u16,
}

fn unknown_age_ms() -> u16 {
    u16::MAX
}

/// Serializes the revision of a state version without its era.
mod revision_only {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use crate::state_version::StateVersion;

    pub(super) fn serialize<S: Serializer>(
        version: &StateVersion,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        version.revision.serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<StateVersion, D::Error> {
        let revision = u64::deserialize(deserializer)?;
        Ok(StateVersion { era: 0, revision })
    }
}

impl Default for HostStatus {
    /// Returns the status assumed for a host that has not sent a heartbeat yet.
    fn default() -> Self {
        Self {
            stage: Stage::Starting,
            as_of: StateVersion::default(),
            platform_age_ms: u16::MAX,
            platform_contact_age_ms: unknown_age_ms(),
            region_watch_age_ms: unknown_age_ms(),
            is_watch_failing: false,
            has_platform_returned: false,
            capacity_permille: 0,
            services: Vec::new(),
            earlier_states: 0,
        }
    }
}
