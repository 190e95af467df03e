//! Reports of hosts on prompt parts.

use serde::{Deserialize, Serialize};

use crate::part_key::PartKey;

/// How far the answer was when a target crashed that was working on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStage {
    /// It had not begun, or only just. An answer that has begun without a crash speaks against such a cause.
    Starting,
    /// It had begun some time ago, so only a complete answer speaks against the cause.
    Streaming,
}

/// A crash of a target that was working on a request with the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The low half of the stable hash of the target's incarnation.
    pub target: u32,
    /// The time since the crash, in milliseconds.
    pub age_ms: u32,
}

/// What a host knows of a prompt part or request that may crash targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// The part.
    pub part: PartKey,
    /// The position of the part in prompts, counted from zero, or [`crate::WHOLE_REQUEST`].
    pub position: u8,
    /// The latest crashes of targets that had not begun their answer to a request with the part, or only just.
    pub crashes: Vec<CrashReport>,
    /// The time since a target last answered a request with the part, in milliseconds.
    pub survived_age_ms: Option<u32>,
    /// For how long the part stays in quarantine, in milliseconds; zero if it is not in quarantine.
    pub quarantine_left_ms: u32,
}

/// What a host knows of a prompt part or request that may crash targets in the middle of their answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamReport {
    /// The part.
    pub part: PartKey,
    /// The position of the part in prompts, counted from zero, or [`crate::WHOLE_REQUEST`].
    pub position: u8,
    /// The latest crashes of targets in the middle of their answer to a request with the part.
    pub crashes: Vec<CrashReport>,
    /// The time since a target last completed an answer to a request with the part, in milliseconds.
    pub completed_age_ms: Option<u32>,
}
