//! The configuration document and the compiled form that the request path reads.

mod document;
mod fleet;
mod service_kind;
mod stop_window;

pub use document::{
    CustomerEntry, Document, EngineEntry, ModelEntry, PlannedStopEntry, RegionEntry, ServiceEntry,
    TargetEntry, Weights,
};
pub use fleet::{Customer, Fleet, Region, Service, Target, Zone};
pub use service_kind::ServiceKind;
pub use stop_window::StopWindow;
