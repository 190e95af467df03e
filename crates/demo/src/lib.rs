//! A whole system in one process.
