//! Commonly used types, for `use lw_base::prelude::*`.

pub use crate::{
    Arena, ArenaKey, AttemptId, CustomerKey, ErrorKind, ErrorResponse, FastMap, FastSet, Hop,
    HostKey, Invariant, MonoMs, NamedArena, Outcome, PriorityClass, RegionKey, RequestId,
    ServiceKey, TargetKey, WallMs, ZoneKey,
};
