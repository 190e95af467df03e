//! The gateway for routes: requests are passed on to targets by host name and path, on one thread.
//!
//! The decisions (routes, choice of a target, limits, verdicts) are plain functions; the modules around them do the
//! input and output. The names on the wire come from the caller of this crate, see [`HeaderSet`].

mod answer;
mod attempt;
mod budgets;
mod choose;
mod choose_host;
mod clock;
mod configuration;
mod connection;
mod decide;
mod directory;
mod end;
mod event_relay;
mod exchange;
mod forward;
mod head_timer;
mod headers;
mod host;
mod in_flight;
mod incoming;
mod metrics;
mod names;
mod own_pages;
mod part_cache;
mod peer_beats;
mod peer_mirror;
mod placed_news;
mod plan;
mod pool;
mod prompt;
mod reply;
mod route;
mod server;
mod service_pace;
mod settings;
mod spill;
mod stop;
mod target;
mod target_book;
mod target_health;
mod target_load;
mod verdict;

pub use budgets::cold_sharers;
pub use choose::{
    ChoiceQuery, Chosen, Homes, NoTarget, UseRules, choose, home_of, homes_of, plain_cost_ms,
};
pub use clock::HostClock;
pub use configuration::{Configuration, ListedTarget, PlatformWord};
pub use directory::entry_hosts;
pub use host::{Host, HostParts, OnChanged, short_hash};
pub use metrics::HostMetrics;
pub use names::{HeaderSet, PathSet};
pub use part_cache::PartCache;
pub use peer_beats::run_beats;
pub use placed_news::PlacedNews;
pub use plan::{CallerLimits, EngineFacts, Plan, Service};
pub use prompt::{Prompt, PromptPart};
pub use route::{AnswerForm, Route, RouteTable, RunPolicy, WeightedService};
pub use server::{Door, serve};
pub use service_pace::ServicePace;
pub use settings::{Bounds, HostSettings, capacity_permille};
pub use spill::{RegionOffer, SpillQuery, choose_region};
pub use stop::{StopStep, stop_step};
pub use target::Target;
pub use target_book::TargetBook;
pub use target_health::{AttemptEnd, TargetHealth};
pub use target_load::{TargetLoad, UseByHost};
pub use verdict::{HeadFacts, Verdict, judge_head};
