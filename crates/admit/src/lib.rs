//! Admission control: priority classes, bounded queues, customer rate limits and retry budgets.

mod admission_ticket;
mod class_queue;
mod customer_limits;
mod deadline_queue;
mod decaying_rate;
mod hold_time_estimate;
mod lending;
mod memory_budget;
mod offer;
mod offer_counts;
mod quantized_rate;
mod queue_config;
mod remote_usage;
mod retry_budget;
mod route_shares;
mod schedule;
mod service_queue;
mod shared_limit;
mod shared_limiter;
mod ticket_table;
mod window_counter;
mod windowed_retry_budget;

pub use admission_ticket::AdmissionTicket;
pub use customer_limits::{
    CustomerId, CustomerLimits, MAX_REPORTED_CUSTOMERS, MAX_TRACKED_CUSTOMERS,
};
pub use decaying_rate::DecayingRate;
pub use lending::{ASKED_DECAY_MS, LimitDemand, lending_per_s};
pub use memory_budget::{MemoryBudget, Room, RoomDecision, RoomRank, RoomRequest, RoomTicket};
pub use offer::{Offer, Verdict};
pub use offer_counts::OfferCounts;
pub use quantized_rate::QuantizedRate;
pub use queue_config::QueueConfig;
pub use retry_budget::RetryBudget;
pub use route_shares::RouteShares;
pub use service_queue::ServiceQueue;
pub use shared_limit::{LimitPart, LimitSpan, SharedLimit};
pub use shared_limiter::{LENDING_INTERVAL_MS, Permit, SharedLimiter};
pub use windowed_retry_budget::{RetryBudgetPolicy, WindowedRetryBudget};
