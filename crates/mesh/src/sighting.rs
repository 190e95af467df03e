//! When hosts were last heard from, as told by other hosts.

use lw_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The unit of the ages in sightings, in milliseconds.
const AGE_UNIT_MS: u64 = 50;
/// The largest age that can be encoded, in units.
const MAX_AGE_UNITS: u64 = 127;
const LEAVING_FLAG: u8 = 0x80;

/// The news that a host was heard from.
///
/// Load: a host sends each heartbeat to a dozen hosts, so in a region of a hundred hosts it reaches each of them once in
/// three seconds. Without this news, hosts that are alive would time out at each other, and hosts would disagree on who
/// covers a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// The low half of the stable hash of the host's name.
    pub host: u32,
    /// The age in its low seven bits, and whether the host is leaving.
    packed: u8,
}

impl Sighting {
    /// Returns the sighting of a host that was heard from at `heard_at`, or `None` if that is too long ago.
    #[must_use]
    pub fn new(now: MonoMs, host: u32, heard_at: MonoMs, is_leaving: bool) -> Option<Self> {
        // Ages are rounded up, so that a host does not become younger as its sighting is passed on.
        let units = now.since_ms(heard_at).div_ceil(AGE_UNIT_MS).max(1);
        if units > MAX_AGE_UNITS {
            return None;
        }
        let flag = if is_leaving { LEAVING_FLAG } else { 0 };
        let packed = units as u8 | flag;
        Some(Self { host, packed })
    }

    /// Returns when the host was heard from.
    #[must_use]
    pub fn heard_at(&self, now: MonoMs) -> MonoMs {
        let age_ms = u64::from(self.packed & !LEAVING_FLAG) * AGE_UNIT_MS;
        MonoMs(now.0.saturating_sub(age_ms))
    }

    /// Returns whether the host is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.packed & LEAVING_FLAG != 0
    }
}
