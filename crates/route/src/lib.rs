//! The choice of region and target.
