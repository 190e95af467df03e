//! Chooses the region and the target of each request, with load estimates, outlier ejection and slow start.

mod choose_region;
mod choose_target;
mod decide;
mod decision;
mod ejection;
mod explain;
mod in_flight_attempt;
mod load_encoding;
mod load_estimate;
mod load_report;
mod prefix_owner_table;
mod query;
mod region_set;
mod region_summaries;
mod region_summary;
mod residency;
mod router;
mod service_state;
mod share_history;
mod spill;
mod stop_state;
mod target_cell;
mod target_set;
mod view;
mod wait;

pub use decision::{Decision, LocalDecision, Refusal};
pub use explain::{
    CandidateRegion, CandidateSource, CandidateTarget, ExclusionReason, Explanation,
};
pub use in_flight_attempt::{AttemptEnd, InFlightAttempt};
pub use load_encoding::{decode_load, encode_load};
pub use load_report::LoadReport;
pub use prefix_owner_table::PrefixOwnerTable;
pub use query::{Now, Query};
pub use region_set::RegionSet;
pub use region_summary::RegionSummary;
pub use residency::allowed_regions;
pub use router::Router;
pub use spill::{SpillController, SpillInput};
pub use view::{RouteView, ServiceLoad};
