//! Requests to the protocol, and the actions that it returns to its host.

use std::sync::Arc;

use lw_base::{ErrorKind, MonoMs, Outcome, WallMs};

use crate::instance::Instance;
use crate::message::IdemMessage;
use crate::record::{BodyDigest, ClaimId, Ending, RecordKey};
use crate::shard_map::ShardMap;

/// Identifies a pending request on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A non-idempotent request that reached the owner of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdemRequest {
    /// Identifies the request in actions.
    pub ticket: Ticket,
    /// The key.
    pub key: RecordKey,
    /// The issue time of the key.
    pub issued: WallMs,
    /// The digest of the request's method, path and body.
    pub digest: BodyDigest,
    /// True when the caller marked it as its first attempt with this key.
    pub first_attempt: bool,
    /// When the caller stops waiting.
    pub deadline: MonoMs,
}

/// Which host handles a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdemRoute {
    /// This host owns the shard of the key.
    Here,
    /// Another process owns the shard of the key.
    Forward(Instance),
    /// This host has no shard map yet.
    NoMap,
}

/// An action that the host performs for the protocol.
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
    /// Answer with the recorded response of an earlier attempt.
    Replay {
        /// The request.
        ticket: Ticket,
        /// The recorded ending.
        ending: Ending,
    },
    /// Answer with an error.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The error kind.
        kind: ErrorKind,
        /// The outcome to report; it may be more definite than the default of the error kind.
        outcome: Outcome,
    },
    /// Write the shard map by compare-and-swap, then report with [`crate::Idem::on_proposed`].
    Propose {
        /// The new map.
        map: Arc<ShardMap>,
        /// The version that the write replaces; 0 requires that no map is stored.
        if_version: u64,
    },
    /// Read the shard map, then report with [`crate::Idem::on_map`].
    ReadMap,
}

/// The result of writing a proposed map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// The map is stored with this version.
    Written {
        /// The version.
        version: u64,
    },
    /// The map was certainly not stored.
    NotWritten,
    /// The reply was lost; the map may be stored, now or later.
    Unclear,
}
