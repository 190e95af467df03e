//! Membership messages.

use std::sync::Arc;

use lw_base::WallMs;
use serde::{Deserialize, Serialize};

use crate::region_entry::RegionEntry;
use crate::update::MemberUpdate;

/// The common content of probes and acknowledgements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbePayload {
    /// Matches an acknowledgement to its probe.
    pub nonce: u64,
    /// The sender's wall clock when it sent the message.
    pub wall: WallMs,
    /// The configuration revision of the sender.
    pub conf_revision: u64,
    /// The shard map revision of the sender.
    pub map_revision: u64,
    /// Member updates, at most [`crate::UPDATES_PER_MESSAGE`].
    pub updates: Vec<MemberUpdate>,
}

/// A message of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Asks whether the receiver is alive.
    Probe(ProbePayload),
    /// Answers a probe.
    ProbeAck {
        /// The common content, with the nonce of the probe.
        payload: ProbePayload,
        /// False when the sender voted that the receiver is silent, and the receiver has not shown a newer map.
        evidence: bool,
    },
    /// Asks the receiver to probe a third host.
    IndirectProbe {
        /// The nonce of the asking host.
        nonce: u64,
        /// The host to probe.
        target: Arc<str>,
    },
    /// Tells the asking host that the third host answered.
    IndirectAck {
        /// The nonce of the asking host.
        nonce: u64,
        /// The host that answered.
        target: Arc<str>,
    },
    /// Lists the versions of the known region summaries.
    RegionDigest {
        /// Stable hash of the region's name, and version of its summary.
        versions: Vec<(u32, u64)>,
        /// The peer address of the sender, which the receiver need not know otherwise.
        address: Arc<str>,
        /// True when the receiver shall ask for summaries that are newer here.
        reply: bool,
    },
    /// Carries newer region summaries.
    RegionEntries(Vec<RegionEntry>),
    /// Tells that the sender is leaving.
    Leaving,
}
