//! Target selection of each policy.

use lw_base::prelude::*;
use lw_doc::Fleet;
use lw_route::{LocalDecision, Now, PrefixOwnerTable, Query, RouteView};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::play::policy::Policy;

/// Selects targets on one host and holds the state of the baseline policies.
#[derive(Debug)]
pub(crate) struct TargetSelector {
    policy: Policy,
    rng: ChaCha8Rng,
    /// Last round-robin position by service.
    round_robin_positions: Vec<usize>,
    /// Last reported number of requests by target.
    reported: Vec<u32>,
    /// Prefix owners by service.
    owner_tables: Vec<PrefixOwnerTable>,
    region: RegionKey,
}

impl TargetSelector {
    pub(crate) fn new(policy: Policy, fleet: &Fleet, region: RegionKey, rng: ChaCha8Rng) -> Self {
        let owner_tables = fleet.services.iter().map(|(_, _, service)| {
            let targets = &service.targets_by_region[region.index()];
            let names: Vec<_> = targets.iter().map(|key| fleet.targets.name(*key)).collect();
            PrefixOwnerTable::new(&names)
        });
        Self {
            policy,
            rng,
            round_robin_positions: vec![0; fleet.services.len()],
            reported: vec![0; fleet.targets.len()],
            owner_tables: owner_tables.collect(),
            region,
        }
    }

    pub(crate) fn report(&mut self, target: TargetKey, requests: u32) {
        self.reported[target.index()] = requests;
    }

    /// Returns a target of the region that was not tried yet.
    ///
    /// Returns `None` if there is none or the policy rejects the request.
    pub(crate) fn choose(
        &mut self,
        view: &RouteView,
        now: Now,
        query: &Query<'_>,
    ) -> Option<TargetKey> {
        if self.policy == Policy::Lacewingstile {
            return match view.decide_forwarded(now, query) {
                LocalDecision::Target(target) => Some(target),
                LocalDecision::Refuse(_) => None,
            };
        }
        let service = &view.fleet().services[query.service];
        let targets = &service.targets_by_region[self.region.index()];
        let is_untried = |target: &TargetKey| !query.tried.contains(target);
        let untried = targets.iter().filter(|target| is_untried(target)).count();
        if untried == 0 {
            return None;
        }
        let position = match self.policy {
            Policy::Lacewingstile | Policy::Random => self.rng.random_range(0..targets.len()),
            Policy::RoundRobin => self.next_round_robin(query.service),
            Policy::LeastLoaded => self.least_loaded(targets, query),
            Policy::PrefixAffinity => self.prefix_owner(query),
        };
        // Advances to the next target that was not tried.
        (0..targets.len())
            .map(|step| targets[position.wrapping_add(step) % targets.len()])
            .find(is_untried)
    }

    fn next_round_robin(&mut self, service: ServiceKey) -> usize {
        let position = &mut self.round_robin_positions[service.index()];
        *position = position.wrapping_add(1);
        *position
    }

    /// Returns the position of the first owner of the prefix. Requests without a prefix use round robin.
    fn prefix_owner(&mut self, query: &Query<'_>) -> usize {
        let owners = query
            .prefix
            .and_then(|prefix| self.owner_tables[query.service.index()].owners(prefix));
        match owners {
            Some((first, _)) => first,
            None => self.next_round_robin(query.service),
        }
    }

    /// Returns the position of the least loaded target; ties are broken at random, so that hosts do not all choose the
    /// same one by its position.
    fn least_loaded(&mut self, targets: &[TargetKey], query: &Query<'_>) -> usize {
        let start = self.rng.random_range(0..targets.len());
        (0..targets.len())
            .map(|step| (start + step) % targets.len())
            .filter(|index| !query.tried.contains(&targets[*index]))
            .min_by_key(|index| self.reported[targets[*index].index()])
            .unwrap_or(start)
    }
}
