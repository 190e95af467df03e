//! Leases with a fencing number, held on the monotonic clock.
//!
//! [`Holder`] decides without I/O; [`drive`] performs its calls over the key-value service and publishes the authority
//! in a [`LeaseHandle`].

mod act_check;
mod authority;
mod drive;
mod holder;
mod lease_handle;
mod lease_keys;
mod lease_times;
mod phase;
mod record;

pub use act_check::ActCheck;
pub use authority::Authority;
pub use drive::drive;
pub use holder::Holder;
pub use lease_handle::LeaseHandle;
pub use lease_times::LeaseTimes;
