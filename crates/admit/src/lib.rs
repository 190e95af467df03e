//! Priorities, bounded queues, limits per customer and the retry budget.

mod class_queue;
mod cold_pace;
mod counts;
mod customer_limits;
mod deadline_queue;
mod offer;
mod queue_config;
mod retry_budget;
mod schedule;
mod service_queue;
mod shared_budget;
mod slot_counts;
mod ticket;
mod ticket_table;
mod usage_board;
mod usage_rate;
mod wait_estimate;

pub use cold_pace::{ColdStartLimiter, ColdStartQuota};
pub use counts::Counts;
pub use customer_limits::{
    CustomerId, CustomerLimits, MAX_REPORTED_CUSTOMERS, MAX_TRACKED_CUSTOMERS,
};
pub use offer::{Offer, Verdict};
pub use queue_config::QueueConfig;
pub use retry_budget::RetryBudget;
pub use service_queue::ServiceQueue;
pub use shared_budget::{RetryBudgetPolicy, WindowedRetryBudget};
pub use ticket::Ticket;
pub use usage_rate::QuantizedRate;
