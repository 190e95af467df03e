//! The configuration document and the compiled form that the request path reads.

mod compile;
mod digest;
mod document;
mod fleet;
mod parse;
mod parse_error;
mod rfc3339;
mod service_kind;
mod source_map;
mod stop_window;

pub use compile::{DEFAULT_REGION_DELAY_MS, compile};
pub use digest::Digest;
pub use document::{
    CustomerEntry, Document, EngineEntry, ModelEntry, PlannedStopEntry, RegionEntry, ServiceEntry,
    TargetEntry, Weights,
};
pub use fleet::{Customer, Fleet, Region, Service, Target, Zone};
pub use parse::{ParsedDocument, parse_document, parse_json};
pub use parse_error::ParseError;
pub use rfc3339::{format_rfc3339, parse_rfc3339};
pub use service_kind::ServiceKind;
pub use source_map::SourceMap;
pub use stop_window::StopWindow;
