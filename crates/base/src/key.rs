//! Small `Copy` keys into arenas.
//!
//! A key is valid only for the configuration revision or membership view that it came from; messages between hosts
//! carry names instead.

use crate::arena::ArenaKey;

macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl ArenaKey for $name {
            fn from_index(index: usize) -> Self {
                Self(u32::try_from(index).expect("an arena holds fewer than 2^32 entries"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

arena_key!(
    /// Identifies a region in one configuration revision.
    RegionKey
);
arena_key!(
    /// Identifies an availability zone in one configuration revision.
    ZoneKey
);
arena_key!(
    /// Identifies a service in one configuration revision.
    ServiceKey
);
arena_key!(
    /// Identifies a target in one configuration revision.
    TargetKey
);
arena_key!(
    /// Identifies a customer in one configuration revision.
    CustomerKey
);
arena_key!(
    /// Identifies a host in one membership view.
    HostKey
);
