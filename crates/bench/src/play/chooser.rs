//! The choice of a target by each policy.

use lw_base::prelude::*;
use lw_doc::Fleet;
use lw_route::{LocalDecision, Now, PrefixOwnerTable, Query, RouteView};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::play::policy::Policy;

/// The state of a baseline on one host.
#[derive(Debug)]
pub(crate) struct Chooser {
    policy: Policy,
    rng: ChaCha8Rng,
    /// The last position by service.
    turns: Vec<usize>,
    /// Last reported requests by target.
    reported: Vec<u32>,
    /// Homes by service.
    homes: Vec<PrefixOwnerTable>,
    region: RegionKey,
}

impl Chooser {
    pub(crate) fn new(policy: Policy, fleet: &Fleet, region: RegionKey, rng: ChaCha8Rng) -> Self {
        let homes = fleet.services.iter().map(|(_, _, service)| {
            let targets = &service.targets_by_region[region.index()];
            let names: Vec<_> = targets.iter().map(|key| fleet.targets.name(*key)).collect();
            PrefixOwnerTable::new(&names)
        });
        Self {
            policy,
            rng,
            turns: vec![0; fleet.services.len()],
            reported: vec![0; fleet.targets.len()],
            homes: homes.collect(),
            region,
        }
    }

    pub(crate) fn report(&mut self, target: TargetKey, requests: u32) {
        self.reported[target.index()] = requests;
    }

    /// Chooses among the targets of the region that were not tried.
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
        let is_free = |target: &TargetKey| !query.tried.contains(target);
        let free = targets.iter().filter(|target| is_free(target)).count();
        if free == 0 {
            return None;
        }
        let position = match self.policy {
            Policy::Lacewingstile | Policy::Random => self.rng.random_range(0..targets.len()),
            Policy::RoundRobin => self.next_turn(query.service),
            Policy::LeastLoaded => self.least_loaded(targets, query),
            Policy::PrefixAffinity => self.home(query),
        };
        // Skips to the next target that was not tried.
        (0..targets.len())
            .map(|step| targets[position.wrapping_add(step) % targets.len()])
            .find(is_free)
    }

    fn next_turn(&mut self, service: ServiceKey) -> usize {
        let turn = &mut self.turns[service.index()];
        *turn = turn.wrapping_add(1);
        *turn
    }

    /// Requests without a prefix take turns.
    fn home(&mut self, query: &Query<'_>) -> usize {
        let homes = query
            .prefix
            .and_then(|prefix| self.homes[query.service.index()].homes(prefix));
        match homes {
            Some((first, _)) => first,
            None => self.next_turn(query.service),
        }
    }

    /// Ties go to a random target, so that hosts do not agree on one by its position.
    fn least_loaded(&mut self, targets: &[TargetKey], query: &Query<'_>) -> usize {
        let start = self.rng.random_range(0..targets.len());
        (0..targets.len())
            .map(|step| (start + step) % targets.len())
            .filter(|index| !query.tried.contains(&targets[*index]))
            .min_by_key(|index| self.reported[targets[*index].index()])
            .unwrap_or(start)
    }
}
