//! Leases with epochs and fencing numbers on the monotonic clock.
