//! A known member.

use lw_base::MonoMs;

use crate::update::MemberUpdate;

/// One known member.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) update: MemberUpdate,
    /// When the state was taken.
    pub(crate) since: MonoMs,
    /// The send time of the last probe that was acknowledged.
    pub(crate) acknowledged: Option<MonoMs>,
    /// How often the update is still sent on.
    pub(crate) sends_left: u32,
    pub(crate) conf_revision: u64,
}
