//! The time in which one host decides for a region.

use lw_base::MonoMs;

/// The authority under which commands are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerm {
    /// The fencing number.
    pub epoch: u64,
    /// When this host acquired_at the lease.
    pub acquired_at: MonoMs,
}
