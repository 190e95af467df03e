//! The lease term of a placement controller.

use lw_base::MonoMs;

/// The period in which one host holds the lease and may send commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerm {
    /// The fencing number of the commands.
    pub epoch: u64,
    /// The time at which this host acquired the lease.
    pub acquired_at: MonoMs,
}
