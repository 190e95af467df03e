//! The gateway for routes: a single-threaded reverse proxy that forwards requests to targets by host name and path.
//!
//! The decisions (routes, choice of a target, limits, classification of answers) are functions without input or output;
//! the modules around them do the input and output. The binary that uses this crate supplies the names of headers, see
//! [`HeaderNames`].

mod answer;
mod answer_buffer;
mod attempt;
mod broken_attempts;
mod budgets;
mod choose;
mod choose_host;
mod clock;
mod closed_peers;
mod configuration;
mod connection;
mod crash_watch;
mod decide;
mod decimal;
mod directory;
mod event_relay;
mod exchange;
mod forward;
mod head_timer;
mod head_verdict;
mod headers;
mod health_check;
mod host;
mod in_flight;
mod incoming;
mod limit_share;
mod linear_fit;
mod local_reply;
mod metrics;
mod named_limit;
mod names;
mod own_pages;
mod paced_stream;
mod peer_heartbeats;
mod peer_mirror;
mod placed_part_queue;
mod plan;
mod pool;
mod prefix_cache_estimate;
mod prefix_owners;
mod prompt;
mod reply;
mod restore;
mod retry_after;
mod route;
mod route_measurements;
mod server;
mod service_timings;
mod settings;
mod shared_limits;
mod spill;
mod stop;
mod suspension;
mod target;
mod target_health;
mod target_load;
mod target_notices;
mod target_pause;
mod target_registry;

pub use answer_buffer::{BufferError, check_buffered};
pub use broken_attempts::{BrokenAttempts, BrokenPrompt};
pub use budgets::retry_share;
pub use choose::{
    ChoiceQuery, ChosenTarget, Closure, NoTarget, TargetEligibility, choose, plain_cost_ms,
};
pub use clock::HostClock;
pub use configuration::{Configuration, ListedTarget, PlatformSnapshot};
pub use decimal::{DecimalError, parse_decimal};
pub use directory::entry_hosts;
pub use head_verdict::{
    HeadFacts, HeadVerdict, classify_head, holds_status_line, promises_not_run,
};
pub use health_check::{CheckResult, Warmth};
pub use host::{HoldsEarlierState, Host, HostParts, OnChanged, short_hash};
pub use limit_share::{LimitShare, Loan};
pub use linear_fit::LinearFit;
pub use metrics::HostMetrics;
pub use named_limit::{LimitNews, NamedLimit};
pub use names::{HeaderNames, PathSet};
pub use paced_stream::{PacedStream, ReadProgress};
pub use peer_heartbeats::run_heartbeats;
pub use placed_part_queue::PlacedPartQueue;
pub use plan::{CallerLimits, EngineCapacity, Plan, Service};
pub use prefix_cache_estimate::PrefixCacheEstimate;
pub use prefix_owners::{PrefixOwners, prefix_owners_of};
pub use prompt::{Prompt, PromptPart};
pub use restore::{EarlierKind, EntryOrder, RestoreLimits, is_earlier_state_valid};
pub use retry_after::parse_retry_after_ms;
pub use route::{AnswerForm, Route, RouteTable, RunPolicy, WeightedService};
pub use server::{ListenerKind, serve};
pub use service_timings::ServiceTimings;
pub use settings::{Bounds, HostSettings, capacity_permille};
pub use shared_limits::{cold_limit, limit_part, limit_sharing_hosts};
pub use spill::{RegionCandidate, SpillQuery, choose_region};
pub use stop::{StopStep, stop_step, takes_request};
pub use suspension::{must_wait_for_state, stood_still};
pub use target::Target;
pub use target_health::{AttemptEnd, TargetHealth};
pub use target_load::{HostTargetUsage, TargetLoad};
pub use target_pause::TargetPause;
pub use target_registry::TargetRegistry;
