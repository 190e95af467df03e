//! What a host measures of its routes: their shares of a service, and the length and pace of their streams.

use std::cell::RefCell;

use lw_base::prelude::*;
use lw_base::stable_hash;

use crate::host::Host;
use crate::incoming::{Hop, Incoming};
use crate::target_load::TargetLoad;

impl Host {
    /// Records a request of a route.
    pub(crate) fn record_asked(&self, incoming: &Incoming) {
        let now = self.clock.now();
        let mut asked_rates = self.asked_rates.borrow_mut();
        let rates = asked_rates.entry(incoming.service.clone()).or_default();
        rates.all.record(now);
        if incoming.hop == Hop::Caller {
            rates.from_callers.record(now);
        }
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

/// The weight of the latest stream in the usual number of events of a route.
const EVENTS_WEIGHT: f64 = 0.05;

/// A stream that was complete.
pub(crate) struct CompletedStream<'a> {
    pub(crate) events: u64,
    /// The time from the first event to the end, in milliseconds.
    pub(crate) took_ms: u64,
    /// The number of requests on the engine when the stream began.
    pub(crate) running_at_start: u32,
    /// The load of the engine; `None` if another host sent the request to it.
    pub(crate) load: Option<&'a RefCell<TargetLoad>>,
}

impl Host {
    /// Returns the usual number of events in an answer to a request; zero if it is not known yet.
    pub(crate) fn answer_events(&self, incoming: &Incoming) -> f64 {
        let answer_events = self.answer_events.borrow();
        let known = answer_events.get(&route_hash(incoming));
        known.copied().unwrap_or_default()
    }

    /// Adds a complete stream to the measurements of its route and service.
    pub(crate) fn record_stream(&self, incoming: &Incoming, stream: &CompletedStream<'_>) {
        let events = stream.events as f64;
        let mut answer_events = self.answer_events.borrow_mut();
        let usual = answer_events.entry(route_hash(incoming)).or_insert(events);
        *usual += EVENTS_WEIGHT * (events - *usual);
        let Some(load) = stream.load else {
            return;
        };
        let took_ms = stream.took_ms as f64;
        let mut all_timings = self.service_timings.borrow_mut();
        let timings = all_timings.entry(incoming.service.clone()).or_default();
        timings.record_stream(took_ms);
        if stream.events < 2 {
            return;
        }
        let usage = load.borrow().total_usage(self.clock.now());
        // The prefill of other prompts takes its share of the time; the rest is the pace of the batch.
        let decode_ms = took_ms * (1.0 - usage.prefill_share.clamp(0.0, 1.0));
        let running = f64::from(stream.running_at_start + usage.running) / 2.0;
        timings.pace.record(running, decode_ms / (events - 1.0));
    }
}

fn route_hash(incoming: &Incoming) -> u64 {
    stable_hash(incoming.route.name.as_bytes())
}
