//! What the host shall do, and what it is asked to do.

use std::sync::Arc;

use lw_base::{ErrorKind, MonoMs, Outcome, WallMs};

use crate::instance::Instance;
use crate::message::IdemMessage;
use crate::record::{BodyDigest, ClaimId, Ending, RecordKey};
use crate::shard_map::ShardMap;

/// Names a waiting request on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A non-idempotent request that reached the owner of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdemRequest {
    /// Names the request in actions.
    pub ticket: Ticket,
    /// The key.
    pub key: RecordKey,
    /// The issue time of the key.
    pub issued: WallMs,
    /// What the request contains.
    pub digest: BodyDigest,
    /// True when the caller marked it as its first attempt with this key.
    pub first_attempt: bool,
    /// When the caller stops to wait.
    pub deadline: MonoMs,
}

/// Where a request is decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdemRoute {
    /// On this host.
    Here,
    /// On the owner of the shard.
    Forward(Instance),
    /// There is no shard map yet.
    NoMap,
}

/// An order of the protocol to its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdemAction {
    /// Send a message; it may be lost.
    Send {
        /// The receiving process.
        to: Instance,
        /// The message.
        message: IdemMessage,
    },
    /// Send the request to a target once, then report with [`crate::Idem::on_ended`].
    Run {
        /// The request.
        ticket: Ticket,
        /// The key, to be reported back.
        key: RecordKey,
        /// The claim, to be reported back.
        claim: ClaimId,
    },
    /// Answer with the kept response of an earlier attempt.
    Replay {
        /// The request.
        ticket: Ticket,
        /// The kept ending.
        ending: Ending,
    },
    /// Answer with an error.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The error kind.
        kind: ErrorKind,
        /// The outcome to tell; it may be more certain than the table of error kinds says.
        outcome: Outcome,
    },
    /// Write the shard map by compare-and-swap, then report with [`crate::Idem::on_proposed`].
    Propose {
        /// The new map.
        map: Arc<ShardMap>,
        /// The version that must be stored, 0 for an absent map.
        if_version: u64,
    },
    /// Read the shard map, then report with [`crate::Idem::on_map`].
    ReadMap,
}

/// What became of a proposed map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// It is stored under this version.
    Written {
        /// The version.
        version: u64,
    },
    /// It was certainly not stored.
    NotWritten,
    /// The reply was lost; it may be stored, now or later.
    Unclear,
}
