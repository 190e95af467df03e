//! Member updates that travel with probes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The state of a member as others see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It answers and will stop soon.
    Leaving,
    /// It does not answer, and has some seconds to refute.
    Suspect,
    /// It is lost.
    Dead,
}

/// A statement about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The name of the member.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its peer address.
    pub address: Arc<str>,
    /// Rises with every start of the process.
    pub incarnation: u64,
    /// Rises when the member refutes a suspicion.
    pub refutation: u32,
    /// Its state.
    pub state: MemberState,
}

impl Update {
    /// Returns true when this statement replaces `other` about the same host.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        let rank = |update: &Self| (update.incarnation, update.refutation, update.state);
        rank(self) > rank(other)
    }
}
