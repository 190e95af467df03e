//! Types that every crate shares: keys, time, outcomes, error kinds and invariants.

mod answer;
mod arena;
mod attempt;
mod class;
mod error_kind;
mod hop;
mod invariant;
mod key;
mod map;
mod outcome;
pub mod prelude;
mod rendezvous;
mod stable_hash;
mod time;

pub use answer::{Answer, RetryAdvice, answer_for};
pub use arena::{Arena, ArenaKey, NamedArena};
pub use attempt::{AttemptId, RequestId};
pub use class::PriorityClass;
pub use error_kind::ErrorKind;
pub use hop::Hop;
pub use invariant::{Invariant, invariant_count, violate};
pub use key::{CustomerKey, HostKey, RegionKey, ServiceKey, TargetKey, ZoneKey};
pub use map::{FastMap, FastSet};
pub use outcome::Outcome;
pub use rendezvous::{ranked, ranked_by_weight, top_ranked};
pub use stable_hash::{stable_hash, stable_hash_pair};
pub use time::{MonoMs, WallMs};
