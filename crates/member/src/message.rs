//! Membership messages.

use std::sync::Arc;

use lw_base::WallMs;
use serde::{Deserialize, Serialize};

use crate::member_update::MemberUpdate;
use crate::region_entry::RegionEntry;

/// The payload of probes and acknowledgements.
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
    /// Requests an acknowledgement from the receiver.
    Probe(ProbePayload),
    /// Answers a probe.
    ProbeAck {
        /// The payload, with the nonce of the probe.
        payload: ProbePayload,
        /// True when the acknowledgement counts for the receiver as the owner of its shards. False after the sender
        /// voted that the receiver is silent, until the receiver sends a newer map revision than that of the vote.
        evidence: bool,
    },
    /// Requests that the receiver probes a third host.
    IndirectProbe {
        /// The nonce of the probe of the requesting host.
        nonce: u64,
        /// The host to probe.
        target: Arc<str>,
    },
    /// Reports to the requesting host that the third host acknowledged a probe.
    IndirectAck {
        /// The nonce of the probe of the requesting host.
        nonce: u64,
        /// The host that acknowledged.
        target: Arc<str>,
    },
    /// Lists the versions of the known region summaries.
    RegionDigest {
        /// The stable hash of each region's name, and the version of its summary.
        versions: Vec<(u32, u64)>,
        /// The peer address of the sender, which the receiver may not know yet.
        address: Arc<str>,
        /// True when the receiver must also request the summaries that are newer at the sender.
        reply: bool,
    },
    /// Carries newer region summaries.
    RegionEntries(Vec<RegionEntry>),
    /// Announces that the sender is leaving.
    Leaving,
}
