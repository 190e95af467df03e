//! Fair shares of a full service between its routes.

use lw_base::prelude::*;

use crate::decaying_rate::DecayingRate;

/// The time constant with which rates decay, in milliseconds: several requests of a rarely used route per host.
const DECAY_MS: u64 = 5_000;
/// A route with a lower rate than this is forgotten, in requests per second.
const MIN_RATE_PER_S: f64 = 0.01;
/// The rate that is always shared out, in requests per second, so that a host which has served nothing lately still
/// lets a request through now and then.
const MIN_CAPACITY_PER_S: f64 = 1_000.0 / DECAY_MS as f64;

#[derive(Clone, Copy, Debug, Default)]
struct RouteRates {
    asked: DecayingRate<DECAY_MS>,
    served: DecayingRate<DECAY_MS>,
}

/// The recent rates of the routes of one service on one host.
///
/// Load: a service has lost most of its targets, and routes with hundreds of requests a second fill the rest. A refusal
/// at random hits a route with a few requests a second as hard as those, although all of its requests would fit. With
/// max-min fairness, a route that asks for less than an equal share gets all of it.
#[derive(Clone, Debug, Default)]
pub struct RouteShares {
    routes: FastMap<u64, RouteRates>,
}

impl RouteShares {
    /// Records a request of a route, given as the hash of its name.
    pub fn record_asked(&mut self, now: MonoMs, route: u64) {
        self.routes
            .retain(|_, rates| rates.asked.per_s(now) >= MIN_RATE_PER_S);
        self.routes.entry(route).or_default().asked.record(now);
    }

    /// Records an answer of a target to a request of the route.
    pub fn record_served(&mut self, now: MonoMs, route: u64) {
        self.routes.entry(route).or_default().served.record(now);
    }

    /// Returns whether the route asks for no more than an equal share of what the service serves.
    #[must_use]
    pub fn is_within_share(&self, now: MonoMs, route: u64) -> bool {
        let rates = self.routes.values();
        let served: f64 = rates.map(|rates| rates.served.per_s(now)).sum();
        let rates = self.routes.values();
        let mut asked: Vec<f64> = rates.map(|rates| rates.asked.per_s(now)).collect();
        let share = equal_share(&mut asked, served.max(MIN_CAPACITY_PER_S));
        let own = self.routes.get(&route);
        own.is_none_or(|rates| rates.asked.per_s(now) <= share)
    }
}

/// Returns the largest rate that each route gets when `capacity` is shared out with max-min fairness; infinite if all
/// rates fit.
fn equal_share(asked: &mut [f64], capacity: f64) -> f64 {
    asked.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, rate) in asked.iter().enumerate() {
        let share = left / (asked.len() - index) as f64;
        if *rate > share {
            return share;
        }
        left -= rate;
    }
    f64::INFINITY
}
