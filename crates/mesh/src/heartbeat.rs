//! The datagram that hosts send one another.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::host_entry::HostAddress;
use crate::host_status::HostStatus;

/// The use that the sender makes of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUsage {
    /// The low half of the stable hash of the target's incarnation.
    pub target: u32,
    /// Requests of the sender that run or wait there.
    pub running: u16,
    /// Prefill work that the sender has given it and that is not done yet, in milliseconds.
    pub backlog_ms: u16,
    /// The share of the target's time that this prefill work has taken lately, in thousandths.
    pub prefill_permille: u16,
    /// Thousands of tokens of the sender's requests that its memory holds.
    pub kilotokens: u16,
}

/// A part of a prompt that the sender placed at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedPart {
    /// The low half of the stable hash of the target's incarnation.
    pub target: u32,
    /// The hash of the part and all parts before it.
    pub part: u64,
    /// Its size.
    pub tokens: u32,
}

/// How busy a service is in the sender's region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUsage {
    /// The low half of the stable hash of the service's name.
    pub service: u32,
    /// The time that a new request waits at the best target, in milliseconds.
    pub wait_ms: u16,
    /// The targets that take work.
    pub targets: u16,
    /// Requests that one more target slot could still take.
    pub free_slots: u16,
}

/// What a host tells others about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// How the sender is reached.
    pub address: HostAddress,
    /// What it says of itself.
    #[serde(rename = "word")]
    pub status: HostStatus,
    /// Its use of the targets; only for hosts of its region.
    pub targets: Vec<TargetUsage>,
    /// Parts that it placed lately; only for hosts of its region.
    pub placed: Vec<PlacedPart>,
}

/// Why a datagram is no beat.
#[derive(Debug, Error)]
#[error("the datagram is no beat: {0}")]
pub struct HeartbeatError(#[from] postcard::Error);

impl Heartbeat {
    /// Encodes the beat.
    ///
    /// # Errors
    ///
    /// Returns an error when the serializer fails.
    pub fn encode(&self) -> Result<Vec<u8>, HeartbeatError> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are no beat.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeartbeatError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}
