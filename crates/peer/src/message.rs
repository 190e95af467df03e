//! The messages between hosts.

use bytes::Bytes;
use lw_idem::IdemMessage;
use lw_member::MemberMessage;
use serde::{Deserialize, Serialize};

/// The names of the message kinds, indexed by the kind byte of the frame.
pub const MESSAGE_KINDS: [&str; 18] = [
    "probe",
    "probe-ack",
    "indirect-probe",
    "indirect-ack",
    "claim",
    "claim-ack",
    "done-copy",
    "shard-transfer",
    "shard-transfer-ack",
    "takeover-query",
    "takeover-vote",
    "config-push",
    "config-pull",
    "config-reply",
    "region-digest",
    "region-entries",
    "load-board",
    "leaving",
];

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A message of the membership protocol.
    Member(MemberMessage),
    /// A message of the protocol that runs each request with an idempotency key at most once.
    Idem(IdemMessage),
    /// A pushed configuration change; its content is encoded by the sender.
    ConfigPush(Bytes),
    /// A request for configuration changes; its content is encoded by the sender.
    ConfigPull(Bytes),
    /// The reply to a pull; its content is encoded by the sender.
    ConfigReply(Bytes),
    /// The loads of targets and the active customers; its content is encoded by the sender.
    LoadBoard(Bytes),
}

impl Message {
    /// Returns the kind byte of the message.
    #[must_use]
    pub fn kind(&self) -> u8 {
        match self {
            Self::Member(message) => member_kind(message),
            Self::Idem(message) => idem_kind(message),
            Self::ConfigPush(_) => 11,
            Self::ConfigPull(_) => 12,
            Self::ConfigReply(_) => 13,
            Self::LoadBoard(_) => 16,
        }
    }

    /// Returns the name of the message kind.
    #[must_use]
    pub fn kind_name(&self) -> &'static str {
        MESSAGE_KINDS[usize::from(self.kind())]
    }
}

fn member_kind(message: &MemberMessage) -> u8 {
    match message {
        MemberMessage::Probe(_) => 0,
        MemberMessage::ProbeAck { .. } => 1,
        MemberMessage::IndirectProbe { .. } => 2,
        MemberMessage::IndirectAck { .. } => 3,
        MemberMessage::RegionDigest { .. } => 14,
        MemberMessage::RegionEntries(_) => 15,
        MemberMessage::Leaving => 17,
    }
}

fn idem_kind(message: &IdemMessage) -> u8 {
    match message {
        IdemMessage::Claim { .. } => 4,
        IdemMessage::ClaimAck { .. } => 5,
        IdemMessage::DoneCopy { .. } => 6,
        IdemMessage::TransferPart { .. } => 7,
        IdemMessage::TransferAck { .. } => 8,
        IdemMessage::TakeoverQuery { .. } => 9,
        IdemMessage::TakeoverVote { .. } => 10,
    }
}
