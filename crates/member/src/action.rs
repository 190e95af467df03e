//! What the host shall do, and what it learns.

use std::sync::Arc;

use lw_base::MonoMs;

use crate::message::MemberMessage;
use crate::update::MemberUpdate;

/// An order of the membership to its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a message; it may be lost.
    Send {
        /// The receiver, empty when only its address is known.
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
        /// Whether the acknowledgement counts as authority evidence.
        evidence: bool,
    },
}
