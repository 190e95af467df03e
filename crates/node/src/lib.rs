//! The runtime of a host among its peers.
