//! Which other regions take a request, and how much spills into them.

use lw_base::prelude::*;

use crate::choose::serves;
use crate::query::Query;
use crate::region_set::RegionSet;
use crate::region_summary::{RegionSummary, SHORT_USE};
use crate::spill::SpillInput;
use crate::view::RouteView;
use crate::wait::queue_wait;

impl RouteView {
    /// Returns the regions that requests may spill into: allowed, serving, reachable and not short of capacity.
    pub(crate) fn spill_regions(&self, now: MonoMs, query: &Query<'_>) -> RegionSet {
        self.other_regions(now, query)
            .iter()
            .filter(|region| {
                self.regions
                    .fresh(now, *region, query.service)
                    .is_some_and(|summary| summary.use_ratio() <= SHORT_USE)
            })
            .collect()
    }

    /// Returns the region for a request whose service has no targets here: the least used one that is reachable, or
    /// one that nothing is known about.
    pub(crate) fn required_region(&self, now: MonoMs, query: &Query<'_>) -> Option<RegionKey> {
        /// A region without a recent summary is used when every known one is full.
        const UNKNOWN_USE: f64 = 1.0;
        let use_ratio = |region: RegionKey| {
            let summary = self.regions.fresh(now, region, query.service);
            summary.map_or(UNKNOWN_USE, |summary| summary.use_ratio())
        };
        self.other_regions(now, query)
            .iter()
            .min_by(|a, b| use_ratio(*a).total_cmp(&use_ratio(*b)))
    }

    /// Adjusts the spilled share of the service when it is due, and returns it.
    pub(crate) fn adjust_spill(&self, now: MonoMs, query: &Query<'_>) -> f64 {
        let shared = &self.services[query.service.index()].shared;
        let mut spill = shared.spill.lock();
        spill.observe(query.local_wait_ms);
        if spill.is_due(now) {
            let queue_wait_ms = spill.take_highest_wait_ms();
            spill.update(now, &self.spill_input(now, query, queue_wait_ms));
        }
        spill.share()
    }

    /// Returns true when the request itself gains from another region. A lookup that starts at once stays, even
    /// while batch requests of its service spill.
    pub(crate) fn gains_elsewhere(&self, now: MonoMs, query: &Query<'_>) -> bool {
        let input = self.spill_input(now, query, query.local_wait_ms);
        input
            .remote_cost_ms
            .is_some_and(|remote_cost_ms| input.local_wait_ms >= remote_cost_ms)
    }

    fn spill_input(&self, now: MonoMs, query: &Query<'_>, queue_wait_ms: f64) -> SpillInput {
        let load = self.service_load(query.service);
        let service_ms = load.service_ms.max(1.0);
        let use_ratio = load.requests / load.slots.max(1.0);
        let backlog = (use_ratio - 1.0).max(0.0);
        let target_wait = queue_wait(load.slots, use_ratio).min(1.0) + backlog;
        let mut input = SpillInput {
            local_wait_ms: queue_wait_ms + target_wait * service_ms,
            local_use: use_ratio + queue_wait_ms / service_ms,
            ..SpillInput::default()
        };
        for region in self.spill_regions(now, query).iter() {
            let Some(summary) = self.regions.fresh(now, region, query.service) else {
                continue;
            };
            let sum_ms = self.remote_cost_ms(region, &summary, query, service_ms);
            let best_ms = input.remote_cost_ms.map_or(sum_ms, |best| best.min(sum_ms));
            input.remote_cost_ms = Some(best_ms);
            input.remote_headroom += summary.headroom_slots() / load.slots.max(1.0);
            input.summary_at = input.summary_at.max(summary.read_at);
        }
        input
    }

    /// Returns remote wait + wide-area delay both ways + cold-cache cost, the latter two raised by their weights.
    fn remote_cost_ms(
        &self,
        region: RegionKey,
        summary: &RegionSummary,
        query: &Query<'_>,
        service_ms: f64,
    ) -> f64 {
        let weights = &self.fleet.weights;
        let wait_ms = queue_wait(summary.capacity_slots, summary.use_ratio()) * service_ms;
        let delay_ms = 2.0 * self.delay_ms(region);
        let cold_ms = query.prefix_prefill_ms;
        wait_ms + delay_ms * (1.0 + weights.cross_region) + cold_ms * (1.0 + weights.cost)
    }

    fn delay_ms(&self, region: RegionKey) -> f64 {
        let Some(local) = self.local else {
            return 0.0;
        };
        let delays = &self.fleet.regions[local].delay_ms;
        delays.get(region.index()).copied().unwrap_or(0.0)
    }

    fn other_regions(&self, now: MonoMs, query: &Query<'_>) -> RegionSet {
        let service = &self.fleet.services[query.service];
        let shared = &self.services[query.service.index()].shared;
        let own = self.local.map_or(RegionSet::EMPTY, RegionSet::single);
        let excluded = shared.paused_regions(now);
        self.fleet
            .regions
            .keys()
            .filter(|region| serves(service, *region))
            .collect::<RegionSet>()
            .intersect(query.allowed)
            .without(own)
            .without(query.tried_regions)
            .without(excluded)
    }
}
