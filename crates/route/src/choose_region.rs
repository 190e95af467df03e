//! The choice of other regions for a request, and the inputs of the spill controller.

use lw_base::prelude::*;

use crate::decide::serves;
use crate::query::Query;
use crate::region_set::RegionSet;
use crate::region_summary::{MAX_SPILL_USE, RegionSummary};
use crate::spill::SpillInput;
use crate::view::RouteView;
use crate::wait::queue_wait;

impl RouteView {
    /// Returns the regions that requests may spill into: allowed, with targets, not paused, and with enough free
    /// capacity.
    pub(crate) fn spill_regions(&self, now: MonoMs, query: &Query<'_>) -> RegionSet {
        self.other_regions(now, query)
            .iter()
            .filter(|region| {
                self.regions
                    .fresh(now, *region, query.service)
                    .is_some_and(|summary| summary.use_ratio() <= MAX_SPILL_USE)
            })
            .collect()
    }

    /// Returns the region for a request whose service has no targets in the local region: the least used eligible
    /// region. A region without a recent summary counts as full.
    pub(crate) fn least_used_region(&self, now: MonoMs, query: &Query<'_>) -> Option<RegionKey> {
        /// A region without a recent summary is chosen only when all other regions are at least full.
        const UNKNOWN_USE: f64 = 1.0;
        let use_ratio = |region: RegionKey| {
            let summary = self.regions.fresh(now, region, query.service);
            summary.map_or(UNKNOWN_USE, |summary| summary.use_ratio())
        };
        self.other_regions(now, query)
            .iter()
            .min_by(|a, b| use_ratio(*a).total_cmp(&use_ratio(*b)))
    }

    /// Updates the spill share of the service when an update is due, and returns it.
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

    /// Returns true when the expected local wait of this request is at least the cost of the best other region. A
    /// lookup that can start immediately stays local, even while batch requests of its service spill.
    pub(crate) fn benefits_from_spill(&self, now: MonoMs, query: &Query<'_>) -> bool {
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
            let cost_ms = self.remote_cost_ms(region, &summary, query, service_ms);
            let best_ms = input
                .remote_cost_ms
                .map_or(cost_ms, |best| best.min(cost_ms));
            input.remote_cost_ms = Some(best_ms);
            input.remote_headroom += summary.headroom_slots() / load.slots.max(1.0);
            input.summary_at = input.summary_at.max(summary.read_at);
        }
        input
    }

    /// Returns the cost of another region in milliseconds: expected wait + round-trip delay + prefill with a cold
    /// cache, the latter two increased by their weights.
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
        let prefill_ms = query.prefix_prefill_ms;
        wait_ms + delay_ms * (1.0 + weights.cross_region) + prefill_ms * (1.0 + weights.cost)
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
        let paused = shared.paused_regions(now);
        self.fleet
            .regions
            .keys()
            .filter(|region| serves(service, *region))
            .collect::<RegionSet>()
            .intersect(query.allowed)
            .without(own)
            .without(query.tried_regions)
            .without(paused)
    }
}
