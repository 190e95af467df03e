//! A known member.

use lw_base::MonoMs;

use crate::member_update::MemberUpdate;

/// One known member.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) update: MemberUpdate,
    /// When the state last changed.
    pub(crate) since: MonoMs,
    /// The send time of the latest acknowledged probe.
    pub(crate) last_acked_at: Option<MonoMs>,
    /// The number of further messages in which the update is sent.
    pub(crate) sends_left: u32,
    /// The highest configuration revision that the member sent.
    pub(crate) conf_revision: u64,
}
