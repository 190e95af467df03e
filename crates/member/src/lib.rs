//! Membership inside a region and summaries of other regions.
