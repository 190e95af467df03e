//! Finds prompt parts and requests that crash the targets that answer them, and keeps such requests away from targets.
//!
//! A target that crashes takes all requests that it was working on with it, so one crash does not tell which request
//! caused it. [`Quarantine`] combines the crashes and the answers that all hosts have seen. This crate performs no I/O.

mod part_key;
mod part_record;
mod part_report;
mod quarantine;
mod survival_log;
mod suspects;

pub use part_key::PartKey;
pub use part_report::{CrashReport, CrashStage, PartReport, StreamReport};
pub use quarantine::{QUARANTINE_MS, Quarantine, QuarantinedPart, Refusal};
pub use suspects::{Suspects, WHOLE_REQUEST};
