//! Actions that the membership returns to its host.

use std::sync::Arc;

use lw_base::MonoMs;

use crate::member_update::MemberUpdate;
use crate::message::MemberMessage;

/// An action that the host performs for the membership, or an event that the membership reports to the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a message; it may be lost.
    Send {
        /// The name of the receiver, empty when only its address is known.
        host: Arc<str>,
        /// The peer address.
        address: Arc<str>,
        /// The message.
        message: MemberMessage,
    },
    /// The state of a member changed.
    Changed(MemberUpdate),
    /// A member acknowledged a direct probe.
    Acknowledged {
        /// The member.
        host: Arc<str>,
        /// Its incarnation.
        incarnation: u64,
        /// When the probe was sent.
        sent_at: MonoMs,
        /// True when the acknowledgement counts towards the majority that confirms this host as the owner of its
        /// shards.
        evidence: bool,
    },
}
