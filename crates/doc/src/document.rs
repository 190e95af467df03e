//! The configuration document that operators write.
//!
//! Maps are ordered by name, so the same content always serialises to the same bytes.

use std::collections::BTreeMap;

use lw_base::PriorityClass;
use serde::{Deserialize, Serialize};

use crate::audit_keep_days::AuditKeepDays;
use crate::digest::Digest;
use crate::digest_tree::DigestTree;
use crate::service_kind::ServiceKind;

/// The whole configuration document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The version of the document format; only 1 is supported.
    pub format: u32,
    /// The weights of the routing policy.
    #[serde(default)]
    pub weights: Weights,
    /// Regions by name.
    #[serde(default)]
    pub regions: BTreeMap<String, RegionEntry>,
    /// Services by name; a chat request selects a model service by its `model` field.
    #[serde(default)]
    pub services: BTreeMap<String, ServiceEntry>,
    /// Targets by name.
    #[serde(default)]
    pub targets: BTreeMap<String, TargetEntry>,
    /// Customers by name.
    #[serde(default)]
    pub customers: BTreeMap<String, CustomerEntry>,
    /// Planned stops by name.
    #[serde(default)]
    pub planned_stops: BTreeMap<String, PlannedStopEntry>,
    /// The models that engines should load.
    #[serde(default)]
    pub engine: EngineEntry,
    /// The retention time of the audit log. The default is not serialised, so that documents written before this field
    /// existed keep their digest.
    #[serde(default, skip_serializing_if = "AuditKeepDays::is_default")]
    pub audit_keep_days: AuditKeepDays,
}

impl Document {
    /// Returns the document as compact JSON with its members in a fixed order.
    ///
    /// # Panics
    ///
    /// Never panics: every field serialises to JSON, and the maps have string keys.
    #[must_use]
    pub fn canonical_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("every document serialises to JSON")
    }

    /// Returns the digest of the document, which is the root of its [`DigestTree`].
    #[must_use]
    pub fn digest(&self) -> Digest {
        DigestTree::of(self).root()
    }
}

/// The weights of the routing policy, each between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of the engine time that a prefix cache miss costs.
    pub cost: f64,
    /// Weight of the expected waiting time.
    pub latency: f64,
    /// Weight of the penalty for sending a request to another region.
    pub cross_region: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            cost: 0.4,
            latency: 0.4,
            cross_region: 0.2,
        }
    }
}

/// A region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionEntry {
    /// The availability zones of the region.
    pub zones: Vec<String>,
    /// One-way delay to other regions by name, in milliseconds.
    #[serde(default)]
    pub delay_ms: BTreeMap<String, f64>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Whether model engines or plain HTTP servers serve the service.
    pub kind: ServiceKind,
    /// The priority class of requests to the service.
    pub priority: PriorityClass,
    /// The regions that have targets for the service.
    pub regions: Vec<String>,
    /// The regions that may process requests to the service; empty means every region.
    #[serde(default)]
    pub allowed_regions: Vec<String>,
    /// The deadline of requests that state none, in milliseconds.
    pub deadline_ms: u64,
    /// The maximum number of in-flight requests per target of a plain service.
    #[serde(default = "default_in_flight")]
    pub max_in_flight_per_target: u32,
    /// The maximum number of queued requests per host.
    #[serde(default = "default_queue_entries")]
    pub queue_entries: u32,
    /// The maximum size of all queued requests per host, in bytes.
    #[serde(default = "default_queue_bytes")]
    pub queue_bytes: u64,
    /// The HTTP methods whose requests must run at most once.
    #[serde(default = "default_non_idempotent")]
    pub non_idempotent_methods: Vec<String>,
}

fn default_in_flight() -> u32 {
    16
}

fn default_queue_entries() -> u32 {
    1024
}

fn default_queue_bytes() -> u64 {
    16 * 1024 * 1024
}

fn default_non_idempotent() -> Vec<String> {
    vec!["POST".into(), "PATCH".into()]
}

/// A target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetEntry {
    /// The service whose requests the target processes.
    pub service: String,
    /// The availability zone of the target.
    pub zone: String,
    /// The IP address and port of the target.
    pub address: String,
    /// Whether the target rejects commands with an outdated fencing number.
    #[serde(default)]
    pub fencing: bool,
    /// Whether the target can resume a stream at a given token.
    #[serde(default)]
    pub resume: bool,
    /// The number of requests that the target processes concurrently.
    #[serde(default = "default_in_flight")]
    pub slots: u32,
}

/// A customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerEntry {
    /// The region that the customer's requests are bound to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home_region: Option<String>,
    /// The rate limit across all hosts, in requests per second; `None` means no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// The SHA-256 digest of the customer's bearer key in hex; empty means that no key is required.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub key_digest: String,
}

/// A planned stop of availability zones, hosts or targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedStopEntry {
    /// The availability zones that stop.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The hosts that stop.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// The targets that stop.
    #[serde(default)]
    pub targets: Vec<String>,
    /// The start, as an RFC 3339 time in UTC.
    pub start: String,
    /// The end, as an RFC 3339 time in UTC; without an end the stop lasts until the entry is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<String>,
}

/// The models that engines should load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineEntry {
    /// Models by service name.
    #[serde(default)]
    pub models: BTreeMap<String, ModelEntry>,
}

/// A model that engines should load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// The version to load.
    pub version: String,
}
