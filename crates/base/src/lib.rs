//! Types that all crates share: arena keys, times, outcomes, error kinds and invariants.

mod arena;
mod attempt_id;
mod error_kind;
mod error_response;
mod fast_map;
mod hop;
mod invariant;
mod key;
mod outcome;
pub mod prelude;
mod priority_class;
mod rendezvous;
mod stable_hash;
mod time;

pub use arena::{Arena, ArenaKey, NamedArena};
pub use attempt_id::{AttemptId, RequestId};
pub use error_kind::ErrorKind;
pub use error_response::{ErrorResponse, RetryAdvice, error_response};
pub use fast_map::{FastMap, FastSet};
pub use hop::Hop;
pub use invariant::{Invariant, report_violation, violation_count};
pub use key::{CustomerKey, HostKey, RegionKey, ServiceKey, TargetKey, ZoneKey};
pub use outcome::Outcome;
pub use priority_class::PriorityClass;
pub use rendezvous::{ranked, ranked_by_weight, top_ranked};
pub use stable_hash::{stable_hash, stable_hash_pair};
pub use time::{MonoMs, WallMs};
