//! Hosts that are no longer known, but may still use what was theirs.

use std::sync::Arc;

use lw_base::prelude::*;

/// A host that is removed from the table keeps its part of shared limits for this long, in milliseconds: it may be cut off
/// from everything but its targets. A host gives up its parts when it has been cut off for
/// [`HELD_WITHOUT_CONTACT_MS`].
const RETENTION_MS: u64 = 120_000;
/// How long a host that hears no other host of its region keeps its parts of shared limits, in milliseconds. Others forget it
/// later than this.
pub const HELD_WITHOUT_CONTACT_MS: u64 = 100_000;

/// The hosts of the region that were forgotten lately, with the weights that they had.
#[derive(Debug, Default)]
pub(crate) struct ForgottenHosts {
    hosts: FastMap<Arc<str>, (MonoMs, f64)>,
}

impl ForgottenHosts {
    pub(crate) fn add(&mut self, now: MonoMs, host: Arc<str>, weight: f64) {
        self.hosts.insert(host, (now, weight));
    }

    /// Removes a host that is known again.
    pub(crate) fn remove(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    pub(crate) fn expire(&mut self, now: MonoMs) {
        self.hosts
            .retain(|_, (at, _)| now.since_ms(*at) < RETENTION_MS);
    }

    pub(crate) fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the names and weights of the hosts.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.hosts.iter().map(|(host, (_, weight))| (host, *weight))
    }
}
