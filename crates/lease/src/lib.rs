//! Leases with fencing numbers, whose validity is measured on the monotonic clock.
//!
//! [`LeaseClient`] is a state machine without I/O. [`run_lease()`] performs its calls on the key-value service and
//! publishes the current grant in a [`LeaseHandle`].

mod lease_client;
mod lease_grant;
mod lease_handle;
mod lease_keys;
mod lease_times;
mod phase;
mod run_lease;
mod single_holder_check;
mod stored_value;

pub use lease_client::LeaseClient;
pub use lease_grant::LeaseGrant;
pub use lease_handle::LeaseHandle;
pub use lease_times::LeaseTimes;
pub use run_lease::run_lease;
pub use single_holder_check::SingleHolderCheck;
