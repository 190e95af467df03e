//! The document as operators write it.
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
    /// The version of the format, now 1.
    pub format: u32,
    /// What the routing policy weighs.
    #[serde(default)]
    pub weights: Weights,
    /// Regions by name.
    #[serde(default)]
    pub regions: BTreeMap<String, RegionEntry>,
    /// Services by name; a model service is named by the `model` field of a request.
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
    /// What the engines should hold.
    #[serde(default)]
    pub engine: EngineEntry,
    /// How long the audit is kept, in days. The default is left out, so that older documents keep their digest.
    #[serde(default, skip_serializing_if = "AuditKeepDays::is_default")]
    pub audit_keep_days: AuditKeepDays,
}

impl Document {
    /// Returns the document as compact JSON with members in a fixed order.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form, and the maps have text keys.
    #[must_use]
    pub fn canonical_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a document has a JSON form")
    }

    /// Returns the digest of the content, see [`DigestTree`].
    #[must_use]
    pub fn digest(&self) -> Digest {
        DigestTree::of(self).root()
    }
}

/// The weights of the routing policy; each lies between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of engine time that a cold prefix cache wastes.
    pub cost: f64,
    /// Weight of the expected wait.
    pub latency: f64,
    /// Weight against sending a request to another region.
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
    /// Model engines or a plain service.
    pub kind: ServiceKind,
    /// The priority class of its requests.
    pub priority: PriorityClass,
    /// The regions that have targets for the service.
    pub regions: Vec<String>,
    /// The regions that its requests may be processed in; empty means every region.
    #[serde(default)]
    pub allowed_regions: Vec<String>,
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// How many requests one target of a plain service takes at once.
    #[serde(default = "default_in_flight")]
    pub max_in_flight_per_target: u32,
    /// How many requests may wait on one host.
    #[serde(default = "default_queue_entries")]
    pub queue_entries: u32,
    /// How many bytes of waiting requests one host holds.
    #[serde(default = "default_queue_bytes")]
    pub queue_bytes: u64,
    /// The methods that must not run twice.
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
    /// The service that it serves.
    pub service: String,
    /// The availability zone that it stands in.
    pub zone: String,
    /// Its IP address and port.
    pub address: String,
    /// Whether it refuses commands with an old fencing number.
    #[serde(default)]
    pub fencing: bool,
    /// Whether it resumes a stream from a given token.
    #[serde(default)]
    pub resume: bool,
    /// How many requests it processes at once.
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
    /// The limit over all hosts, in requests per second; `None` means no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// The SHA-256 digest of the customer's bearer key in hex; empty means that no key is needed.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub key_digest: String,
}

/// A planned stop.
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
    /// The end, as an RFC 3339 time in UTC; without it the stop lasts until it is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<String>,
}

/// What the engines should hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineEntry {
    /// Models by service name.
    #[serde(default)]
    pub models: BTreeMap<String, ModelEntry>,
}

/// A model that engines load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// The wanted version.
    pub version: String,
}
