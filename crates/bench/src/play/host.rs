//! Simulation model of an entry host: router, queues and retry budgets.

use lw_admit::{AdmissionTicket, QueueConfig, RetryBudget, ServiceQueue};
use lw_base::prelude::*;
use lw_base::stable_hash_pair;
use lw_doc::Fleet;
use lw_route::{RouteView, Router};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

use crate::play::policy::Policy;
use crate::play::target_selector::TargetSelector;

/// The state of one service on a host.
#[derive(Debug)]
pub(crate) struct HostService {
    pub(crate) queue: ServiceQueue,
    pub(crate) budget: RetryBudget,
    /// The numbers of the waiting requests, by ticket.
    pub(crate) waiting: FastMap<AdmissionTicket, u32>,
}

/// A simulated entry host.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) region: RegionKey,
    pub(crate) view: Arc<RouteView>,
    pub(crate) target_selector: TargetSelector,
    pub(crate) services: Vec<HostService>,
    /// The number of entry hosts of the region, which share its targets.
    hosts: u32,
}

impl Host {
    pub(crate) fn new(
        fleet: &Arc<Fleet>,
        region: RegionKey,
        hosts: u32,
        policy: Policy,
        seed: u64,
    ) -> Self {
        let name = fleet.regions.name(region);
        let router = Router::new(MonoMs(0), fleet, name, seed);
        let rng = ChaCha8Rng::seed_from_u64(stable_hash_pair(seed, b"chooser"));
        let services = fleet.services.iter().map(|(_, _, service)| HostService {
            queue: ServiceQueue::new(QueueConfig::of_service(service, 1)),
            budget: RetryBudget::new(hosts),
            waiting: FastMap::default(),
        });
        let mut host = Self {
            region,
            view: router.view(),
            target_selector: TargetSelector::new(policy, fleet, region, rng),
            services: services.collect(),
            hosts,
        };
        host.adjust_concurrency();
        host
    }

    pub(crate) fn adjust_concurrency(&mut self) {
        for (index, service) in self.services.iter_mut().enumerate() {
            let key = ServiceKey::from_index(index);
            let concurrency = self.view.host_concurrency(key, self.hosts);
            service.queue.set_concurrency(concurrency);
        }
    }
}
