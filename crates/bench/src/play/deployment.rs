//! The two deployments of the design page, reduced to what the simulation needs.

use lw_base::prelude::*;
use lw_doc::{Fleet, Region, Service, ServiceKind, Target, Weights, Zone};

use crate::play::arrival::TrafficSource;

/// The model service in the fleet of a deployment.
pub const MODEL: ServiceKey = ServiceKey(0);
/// The plain service in the fleet of a deployment.
pub const PLAIN: ServiceKey = ServiceKey(1);
const MODEL_SLOTS: u32 = 8;
const PLAIN_SLOTS: u32 = 16;

/// Regions, hosts, targets and the normal traffic of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The name in tables.
    pub name: &'static str,
    /// Number of entry hosts by region.
    pub hosts: Vec<u32>,
    /// Number of model workers by region.
    pub workers: Vec<u32>,
    /// Number of instances of the plain service by region.
    pub instances: Vec<u32>,
    /// The routing weights of the document.
    pub weights: Weights,
    /// One-way delay between regions.
    pub delay_ms: f64,
    /// The sources of requests.
    pub traffic_sources: Vec<TrafficSource>,
}

impl Deployment {
    /// Sahyog Dhatu Churna Sangh: two regions, 18 workers, 3 portal instances, 8 hosts; cost has the highest weight.
    #[must_use]
    pub fn sahyog() -> Self {
        Self {
            name: "sahyog",
            hosts: vec![5, 3],
            workers: vec![12, 6],
            instances: vec![2, 1],
            weights: Weights {
                cost: 0.6,
                latency: 0.2,
                cross_region: 0.2,
            },
            delay_ms: 25.0,
            traffic_sources: vec![
                // Requests about the spec sheet of one foundry grade share the text of that grade as a prefix.
                traffic_source(MODEL, PriorityClass::Batch, 0.42, [300, 4_000, 800, 150]),
                traffic_source(MODEL, PriorityClass::Interactive, 0.18, [400, 800, 100, 60]),
                traffic_source(PLAIN, PriorityClass::Lookup, 0.04, [0, 0, 0, 200]),
                traffic_source(PLAIN, PriorityClass::Batch, 0.30, [0, 0, 0, 4_000]),
            ],
        }
    }

    /// Riad Robotique: three regions, 12 workers, 3 status instances, 8 hosts; latency has the
    /// highest weight.
    #[must_use]
    pub fn riad() -> Self {
        Self {
            name: "riad",
            hosts: vec![3, 3, 2],
            workers: vec![5, 4, 3],
            instances: vec![1, 1, 1],
            weights: Weights {
                cost: 0.15,
                latency: 0.7,
                cross_region: 0.15,
            },
            delay_ms: 30.0,
            traffic_sources: vec![
                traffic_source(
                    MODEL,
                    PriorityClass::Interactive,
                    0.40,
                    [240, 1_500, 100, 80],
                ),
                // Shift digests of one hotel share the beginning of its logbook as a prefix.
                traffic_source(MODEL, PriorityClass::Batch, 0.20, [60, 6_000, 1_000, 200]),
                traffic_source(PLAIN, PriorityClass::Lookup, 0.04, [0, 0, 0, 100]),
                traffic_source(PLAIN, PriorityClass::Batch, 0.30, [0, 0, 0, 3_000]),
            ],
        }
    }

    /// Returns the deployment with two regions whose worker capacity differs by a factor of ten.
    #[must_use]
    pub fn tenfold(&self) -> Self {
        Self {
            hosts: vec![6, 2],
            workers: vec![20, 2],
            instances: vec![2, 1],
            ..self.clone()
        }
    }

    /// Builds the compiled document of the deployment.
    #[must_use]
    pub fn fleet(&self) -> Fleet {
        let mut fleet = Fleet {
            weights: self.weights,
            ..Fleet::default()
        };
        for (index, _) in self.hosts.iter().enumerate() {
            let mut delay_ms = vec![self.delay_ms; self.hosts.len()];
            delay_ms[index] = 0.0;
            let region = Region {
                delay_ms,
                ..Region::default()
            };
            let region = fleet.regions.push(format!("region-{index}"), region);
            let zone = Zone {
                region,
                stops: Vec::new(),
            };
            fleet.zones.push(format!("zone-{index}"), zone);
        }
        let model = self.add_targets(&mut fleet, MODEL, &self.workers, MODEL_SLOTS);
        let plain = self.add_targets(&mut fleet, PLAIN, &self.instances, PLAIN_SLOTS);
        let regions: Vec<RegionKey> = fleet.regions.keys().collect();
        fleet.services.push(
            "model",
            service(
                ServiceKind::Model,
                PriorityClass::Interactive,
                &regions,
                model,
            ),
        );
        fleet.services.push(
            "plain",
            service(ServiceKind::Plain, PriorityClass::Lookup, &regions, plain),
        );
        fleet
    }

    fn add_targets(
        &self,
        fleet: &mut Fleet,
        service: ServiceKey,
        counts: &[u32],
        slots: u32,
    ) -> Vec<Vec<TargetKey>> {
        let mut by_region = Vec::new();
        for (region, count) in counts.iter().enumerate() {
            let keys = (0..*count).map(|number| {
                let target = Target {
                    service,
                    zone: ZoneKey::from_index(region),
                    region: RegionKey::from_index(region),
                    address: "127.0.0.1:1".into(),
                    fencing: true,
                    resume: true,
                    slots,
                    stops: Vec::new(),
                };
                let name = format!("s{}-r{region}-{number}", service.0);
                fleet.targets.push(name, target)
            });
            by_region.push(keys.collect());
        }
        by_region
    }
}

fn traffic_source(
    service: ServiceKey,
    class: PriorityClass,
    use_ratio: f64,
    sizes: [u32; 4],
) -> TrafficSource {
    let [prefixes, prefix_tokens, prompt_tokens, output_tokens] = sizes;
    TrafficSource {
        service,
        class,
        use_ratio,
        prefixes,
        prefix_tokens,
        prompt_tokens,
        output_tokens,
    }
}

fn service(
    kind: ServiceKind,
    priority: PriorityClass,
    regions: &[RegionKey],
    targets_by_region: Vec<Vec<TargetKey>>,
) -> Service {
    Service {
        kind,
        priority,
        regions: regions.to_vec(),
        allowed_regions: None,
        deadline_ms: 30_000,
        max_in_flight_per_target: PLAIN_SLOTS,
        queue_entries: 1_024,
        queue_bytes: 16 * 1024 * 1024,
        non_idempotent_methods: Vec::new(),
        targets_by_region,
    }
}
