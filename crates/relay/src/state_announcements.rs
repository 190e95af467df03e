//! Hosts that have forwarded a request by an older configuration, and are informed of this host's state.

use std::net::Ipv4Addr;

use lw_base::prelude::*;

/// The least time between two announcements to a host, in milliseconds.
const ANNOUNCEMENT_INTERVAL_MS: u64 = 100;

/// The announcements of this host's state that are due.
///
/// Load: a host forwards hundreds of requests per second by an older configuration. In a large region the next regular
/// heartbeat to this host may be seconds away.
#[derive(Debug, Default)]
pub struct StateAnnouncements {
    requested_at: FastMap<Ipv4Addr, MonoMs>,
    due: Vec<Ipv4Addr>,
}

impl StateAnnouncements {
    /// Requests an announcement to a host. Returns false if it had one a short time ago.
    pub fn request(&mut self, now: MonoMs, host: Ipv4Addr) -> bool {
        self.requested_at
            .retain(|_, at| now.since_ms(*at) < ANNOUNCEMENT_INTERVAL_MS);
        let is_due = !self.requested_at.contains_key(&host);
        if is_due {
            self.requested_at.insert(host, now);
            self.due.push(host);
        }
        is_due
    }

    /// Returns the hosts whose announcements are due, each once.
    pub fn take(&mut self) -> Vec<Ipv4Addr> {
        std::mem::take(&mut self.due)
    }
}
