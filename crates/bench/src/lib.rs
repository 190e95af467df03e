//! Benchmarks of the decisions.
