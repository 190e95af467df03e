//! The HTTP side of an entry host.
