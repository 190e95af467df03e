//! Scenarios: the traffic and the faults of a simulation.

use lw_base::prelude::*;

use crate::play::deployment::{Deployment, MODEL, PLAIN};

/// A fault of targets, or their recovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The given share of the targets of a service in a region fails, starting with the first.
    Down(ServiceKey, RegionKey, f64),
    /// All targets of a service in a region recover, with cold caches.
    Up(ServiceKey, RegionKey),
    /// The first target of a service in a region becomes slower by a factor.
    Slow(ServiceKey, RegionKey, f64),
}

/// The request rate of a source over time, as a factor of the rate that its
/// [`use_ratio`](crate::play::arrival::TrafficSource::use_ratio) gives.
type Rate = fn(progress: f64, region: usize, class: PriorityClass, service: ServiceKey) -> f64;

/// A named traffic pattern with faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name in tables.
    pub name: &'static str,
    /// The simulated deployment.
    pub deployment: Deployment,
    /// The rate factor; `progress` goes from 0 to 1.
    pub rate: Rate,
    /// Faults with the progress at which they occur, from 0 to 1.
    pub faults: Vec<(f64, Fault)>,
}

impl Scenario {
    /// Returns every scenario of a deployment.
    #[must_use]
    pub fn all(deployment: &Deployment) -> Vec<Self> {
        let first = RegionKey(0);
        let scenario = |name, rate, faults: Vec<(f64, Fault)>| Self {
            name,
            deployment: deployment.clone(),
            rate,
            faults,
        };
        let mut all = vec![
            scenario("calm", calm, vec![]),
            scenario("daily peaks", daily_peaks, vec![]),
            scenario(
                "capacity loss",
                steady,
                vec![
                    (0.25, Fault::Down(MODEL, first, 0.6)),
                    (0.70, Fault::Up(MODEL, first)),
                ],
            ),
            scenario(
                "traffic returns",
                returning,
                vec![
                    (0.05, Fault::Down(MODEL, first, 1.0)),
                    (0.30, Fault::Up(MODEL, first)),
                ],
            ),
            scenario("flash crowd", flash_crowd, vec![]),
            scenario(
                "slow target",
                steady,
                vec![(0.1, Fault::Slow(MODEL, first, 4.0))],
            ),
            scenario("lookup overload", lookup_overload, vec![]),
            scenario(
                "outage",
                steady,
                RegionKeys(deployment.hosts.len())
                    .flat_map(|region| {
                        [
                            (0.4, Fault::Down(PLAIN, region, 1.0)),
                            (0.5, Fault::Up(PLAIN, region)),
                        ]
                    })
                    .collect(),
            ),
        ];
        all.push(Self {
            deployment: deployment.tenfold(),
            ..scenario("tenfold regions", tenfold, vec![])
        });
        all
    }
}

struct RegionKeys(usize);

impl RegionKeys {
    fn flat_map<I: IntoIterator>(
        self,
        each: impl FnMut(RegionKey) -> I,
    ) -> impl Iterator<Item = I::Item> {
        (0..self.0).map(RegionKey::from_index).flat_map(each)
    }
}

fn calm(_: f64, _: usize, _: PriorityClass, _: ServiceKey) -> f64 {
    0.5
}

fn steady(_: f64, _: usize, _: PriorityClass, _: ServiceKey) -> f64 {
    1.0
}

/// Simulates two days; the peak of each region is a third of a day after the previous region's.
fn daily_peaks(progress: f64, region: usize, _: PriorityClass, _: ServiceKey) -> f64 {
    let day = 2.0 * progress - region as f64 / 3.0;
    1.05 + 0.75 * (day * std::f64::consts::TAU).sin()
}

/// The first region gets no model requests until its targets have recovered.
fn returning(progress: f64, region: usize, _: PriorityClass, service: ServiceKey) -> f64 {
    match region {
        0 if service == MODEL && progress < 0.3 => 0.0,
        0 => 1.4,
        _ => 0.8,
    }
}

fn flash_crowd(progress: f64, region: usize, class: PriorityClass, _: ServiceKey) -> f64 {
    let crowd = region == 0 && (0.4..0.5).contains(&progress);
    match class {
        PriorityClass::Interactive if crowd => 6.0,
        _ => 1.0,
    }
}

/// Loads the plain service with about twice its capacity, almost entirely through batch requests.
fn lookup_overload(_: f64, _: usize, class: PriorityClass, service: ServiceKey) -> f64 {
    match class {
        PriorityClass::Batch if service == PLAIN => 1.98 / 0.30,
        _ => 0.5,
    }
}

/// The second region, which is smaller by a factor of ten, has a peak of its own.
fn tenfold(progress: f64, region: usize, _: PriorityClass, _: ServiceKey) -> f64 {
    match region {
        1 if (0.3..0.7).contains(&progress) => 2.4,
        _ => 1.0,
    }
}
