//! The lifecycle of a request and its attempts.
