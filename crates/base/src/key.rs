//! Small `Copy` keys into the arenas of a compiled configuration.
//!
//! A key is valid only with the snapshot it came from; names are what travels between hosts.

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
    /// Names a region of one snapshot.
    RegionKey
);
arena_key!(
    /// Names an availability zone of one snapshot.
    ZoneKey
);
arena_key!(
    /// Names a service of one snapshot.
    ServiceKey
);
arena_key!(
    /// Names a target of one snapshot.
    TargetKey
);
arena_key!(
    /// Names a customer of one snapshot.
    CustomerKey
);
arena_key!(
    /// Names a host of one membership view.
    HostKey
);
