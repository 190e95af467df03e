//! What hosts tell one another of the limits that targets have named.

use serde::{Deserialize, Serialize};

/// Identifies a statement of a target, so that it does not become younger as hosts pass it on to one another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementId {
    /// The process that got the answer with the statement, by a hash.
    pub origin: u32,
    /// The number of the statement among those of the target that this process got.
    pub number: u32,
}

/// What the sender knows of the limit of one target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The low half of the stable hash of the target's incarnation.
    pub target: u32,
    /// The requests per second that the target takes from all hosts together; `None` if its limit has ended.
    pub per_s: Option<f64>,
    /// The time since the target's statement, in milliseconds.
    pub age_ms: u32,
    /// Which statement it is.
    pub statement: StatementId,
    /// The rate of the sender's requests that the target could serve, in requests per second.
    pub asked_per_s: f32,
}

/// Requests of the sender's part of a limit that another host may send in its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitLoan {
    /// The low half of the stable hash of the target's incarnation.
    pub target: u32,
    /// The low half of the stable hash of the borrower's name.
    pub host: u32,
    /// The number of requests.
    pub requests: u16,
}
