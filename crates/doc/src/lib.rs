//! The configuration document, its validation, and its compiled form that request handling reads.

mod apply;
mod apply_error;
mod audit_keep_days;
mod change;
mod check_customers;
mod check_regions;
mod check_services;
mod check_stops;
mod check_targets;
mod checker;
mod compile;
mod difference;
mod digest;
mod digest_tree;
mod digested_document;
mod document;
mod fault;
mod fault_kind;
mod fleet;
mod parse;
mod parse_error;
mod recompile;
mod rfc3339;
mod section;
mod service_kind;
mod source_map;
mod state_warnings;
mod stop_window;
mod validate;
mod warning;
mod warnings;

pub use apply::{apply, apply_changes};
pub use apply_error::ApplyError;
pub use audit_keep_days::AuditKeepDays;
pub use change::Change;
pub use compile::{DEFAULT_REGION_DELAY_MS, compile};
pub use difference::{Difference, changes_between, diff};
pub use digest::Digest;
pub use digest_tree::DigestTree;
pub use digested_document::DigestedDocument;
pub use document::{
    CustomerEntry, Document, EngineEntry, ModelEntry, PlannedStopEntry, RegionEntry, ServiceEntry,
    TargetEntry, Weights,
};
pub use fault::Fault;
pub use fault_kind::FaultKind;
pub use fleet::{Customer, Fleet, Region, Service, Target, Zone};
pub use parse::{ParsedDocument, parse_document, parse_json};
pub use parse_error::ParseError;
pub use recompile::recompile;
pub use rfc3339::{format_rfc3339, parse_rfc3339};
pub use service_kind::ServiceKind;
pub use source_map::SourceMap;
pub use stop_window::StopWindow;
pub use validate::validate;
pub use warning::{Warning, WarningKind};
pub use warnings::warnings;
