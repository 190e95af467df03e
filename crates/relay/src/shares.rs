//! Shares of the routes of a service at full load.

use lw_base::prelude::*;
use lw_base::stable_hash;

use crate::host::Host;
use crate::incoming::Incoming;

impl Host {
    /// Records a request of a route.
    pub(crate) fn record_asked(&self, incoming: &Incoming) {
        let now = self.clock.now();
        let mut all_shares = self.route_shares.borrow_mut();
        let shares = all_shares.entry(incoming.service.clone()).or_default();
        shares.record_asked(now, route_hash(incoming));
    }

    /// Records that a target answered a request of a route.
    pub(crate) fn record_served(&self, incoming: &Incoming) {
        let now = self.clock.now();
        let mut all_shares = self.route_shares.borrow_mut();
        let shares = all_shares.entry(incoming.service.clone()).or_default();
        shares.record_served(now, route_hash(incoming));
    }

    /// Returns whether the route of a request asks for no more than its share of the service.
    pub(crate) fn is_within_share(&self, now: MonoMs, incoming: &Incoming) -> bool {
        let all_shares = self.route_shares.borrow();
        let shares = all_shares.get(&incoming.service);
        shares.is_some_and(|shares| shares.is_within_share(now, route_hash(incoming)))
    }
}

fn route_hash(incoming: &Incoming) -> u64 {
    stable_hash(incoming.route.name.as_bytes())
}
