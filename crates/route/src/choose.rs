//! Decisions about single requests.

use lw_base::prelude::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::decision::{Decision, LocalDecision, Refusal};
use crate::explain::{CandidateRegion, CandidateTarget, Explanation};
use crate::query::{Now, Query};
use crate::region_set::RegionSet;
use crate::view::RouteView;

impl RouteView {
    /// Decides where a request from a caller goes.
    #[must_use]
    pub fn decide(&self, now: Now, query: &Query<'_>) -> Decision {
        self.decide_traced(now, query, &mut |_| {})
    }

    /// Decides where a request that another region forwarded goes; it cannot leave the region again.
    #[must_use]
    pub fn decide_forwarded(&self, now: Now, query: &Query<'_>) -> LocalDecision {
        if !self.is_local_allowed(query) {
            return LocalDecision::Refuse(Refusal {
                kind: ErrorKind::ResidencyRefused,
                regions: RegionSet::EMPTY,
            });
        }
        let mut rng = self.services[query.service.index()].shared.rng.lock();
        match self.choose_target(now, query, &mut rng, &mut |_| {}) {
            Some(target) => LocalDecision::Target(target),
            None => LocalDecision::Refuse(no_target()),
        }
    }

    /// Decides like [`Self::decide`] and returns what was considered and why candidates were ruled out.
    #[must_use]
    pub fn explain(&self, now: Now, query: &Query<'_>) -> Explanation {
        let mut targets = Vec::new();
        let decision = self.decide_traced(now, query, &mut |considered| targets.push(*considered));
        Explanation {
            decision,
            spill_share: self.spill_share(query.service),
            regions: self.explain_regions(now, query),
            targets,
        }
    }

    fn decide_traced(
        &self,
        now: Now,
        query: &Query<'_>,
        trace: &mut impl FnMut(&CandidateTarget),
    ) -> Decision {
        if query.allowed.is_empty() {
            return Decision::Refuse(Refusal {
                kind: ErrorKind::ResidencyRefused,
                regions: RegionSet::EMPTY,
            });
        }
        if !self.is_local_allowed(query) {
            return Decision::Refuse(Refusal {
                kind: ErrorKind::Misdirected,
                regions: query.allowed,
            });
        }
        let service = &self.services[query.service.index()];
        let mut rng = service.shared.rng.lock();
        if service.targets.len() == 0 {
            return match self.required_region(now.mono, query) {
                Some(region) => Decision::Region(region),
                None => Decision::Refuse(no_target()),
            };
        }
        let share = self.adjust_spill(now.mono, query);
        if share > 0.0
            && rng.random::<f64>() < share
            && self.gains_elsewhere(now.mono, query)
            && let Some(region) = self.spill_region(now.mono, query, &mut rng)
        {
            return Decision::Region(region);
        }
        if let Some(target) = self.choose_target(now, query, &mut rng, trace) {
            return Decision::Target(target);
        }
        match self.spill_region(now.mono, query, &mut rng) {
            Some(region) => Decision::Region(region),
            None => Decision::Refuse(no_target()),
        }
    }

    fn is_local_allowed(&self, query: &Query<'_>) -> bool {
        self.local
            .is_some_and(|local| query.allowed.contains(local))
    }

    /// Draws a region that takes spilled requests, in proportion to its free capacity.
    fn spill_region(
        &self,
        now: MonoMs,
        query: &Query<'_>,
        rng: &mut ChaCha8Rng,
    ) -> Option<RegionKey> {
        let eligible = self.spill_regions(now, query);
        let headroom = |region| {
            let summary = self.regions.fresh(now, region, query.service);
            summary.map_or(0.0, |summary| summary.headroom_slots())
        };
        let total: f64 = eligible.iter().map(headroom).sum();
        let mut draw = rng.random::<f64>() * total;
        let mut last = None;
        for region in eligible.iter() {
            last = Some(region);
            draw -= headroom(region);
            if draw < 0.0 {
                break;
            }
        }
        last
    }

    fn explain_regions(&self, now: Now, query: &Query<'_>) -> Vec<CandidateRegion> {
        let spill = self.spill_regions(now.mono, query);
        let entry = &self.fleet.services[query.service];
        self.fleet
            .regions
            .keys()
            .map(|region| CandidateRegion {
                region,
                allowed: query.allowed.contains(region),
                serves: serves(entry, region),
                use_ratio: self
                    .regions
                    .fresh(now.mono, region, query.service)
                    .map(|summary| summary.use_ratio()),
                takes_spill: spill.contains(region),
            })
            .collect()
    }
}

/// Returns true when the service has targets in the region.
pub(crate) fn serves(service: &lw_doc::Service, region: RegionKey) -> bool {
    service
        .targets_by_region
        .get(region.index())
        .is_some_and(|targets| !targets.is_empty())
}

fn no_target() -> Refusal {
    Refusal {
        kind: ErrorKind::NoTarget,
        regions: RegionSet::EMPTY,
    }
}
