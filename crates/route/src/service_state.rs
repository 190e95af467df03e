//! The state of a service that is kept across revisions.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use lw_base::prelude::*;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::ejection::max_ejection_ms;
use crate::region_set::RegionSet;
use crate::spill::SpillController;

/// The service time assumed before the first response.
const INITIAL_SERVICE_MS: f64 = 1_000.0;
/// The smoothing factor of the moving averages.
const SMOOTHING: f64 = 0.05;
/// A region that failed or rejected a forwarded request receives no spilled requests for this time.
const REGION_PAUSE_MS: u64 = 5_000;

#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) rng: Mutex<ChaCha8Rng>,
    pub(crate) spill: Mutex<SpillController>,
    paused_regions: Mutex<Vec<(RegionKey, MonoMs)>>,
    /// The estimated number of requests at the targets, in thousandths.
    load_milli: AtomicI64,
    ejected: AtomicI64,
    targets: AtomicI64,
    /// The attempts of this host that have not ended.
    own_requests: AtomicI64,
    /// The average duration of a request, in microseconds.
    service_us: AtomicU64,
    /// The average reported speed, in thousandths of a token per second; zero before the first report.
    speed_milli: AtomicU64,
}

impl ServiceState {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            spill: Mutex::new(SpillController::default()),
            paused_regions: Mutex::new(Vec::new()),
            load_milli: AtomicI64::new(0),
            ejected: AtomicI64::new(0),
            targets: AtomicI64::new(0),
            own_requests: AtomicI64::new(0),
            speed_milli: AtomicU64::new(0),
            service_us: AtomicU64::new((INITIAL_SERVICE_MS * 1_000.0) as u64),
        }
    }

    pub(crate) fn add_load(&self, milli: i64) {
        self.load_milli.fetch_add(milli, Ordering::Relaxed);
    }

    /// Adjusts the number of ejected targets.
    pub(crate) fn add_ejected(&self, change: i64) {
        if change != 0 {
            self.ejected.fetch_add(change, Ordering::Relaxed);
        }
    }

    /// Sets the number of targets of the latest revision.
    pub(crate) fn set_targets(&self, targets: usize) {
        self.targets.store(targets as i64, Ordering::Relaxed);
    }

    /// Returns the current maximum duration of an ejection, in milliseconds.
    pub(crate) fn max_ejection_ms(&self) -> u64 {
        let count = |count: &AtomicI64| count.load(Ordering::Relaxed).max(0) as usize;
        max_ejection_ms(count(&self.ejected), count(&self.targets))
    }

    /// Returns true when at least one target is ejected.
    pub(crate) fn has_ejected(&self) -> bool {
        self.ejected.load(Ordering::Relaxed) > 0
    }

    pub(crate) fn add_own_requests(&self, requests: i64) {
        self.own_requests.fetch_add(requests, Ordering::Relaxed);
    }

    pub(crate) fn own_requests(&self) -> u32 {
        u32::try_from(self.own_requests.load(Ordering::Relaxed)).unwrap_or(0)
    }

    /// Adds a reported speed of one target to the average.
    pub(crate) fn observe_speed(&self, tokens_per_s: f64) {
        let old = self.speed();
        let new = old.map_or(tokens_per_s, |old| old + SMOOTHING * (tokens_per_s - old));
        self.speed_milli
            .store((new * 1_000.0).max(1.0) as u64, Ordering::Relaxed);
    }

    /// Returns the average speed of one request over the targets, in tokens per second.
    pub(crate) fn speed(&self) -> Option<f64> {
        let milli = self.speed_milli.load(Ordering::Relaxed);
        (milli > 0).then_some(milli as f64 / 1_000.0)
    }

    /// Returns the estimated number of requests at all targets.
    pub(crate) fn requests(&self) -> f64 {
        self.load_milli.load(Ordering::Relaxed).max(0) as f64 / 1_000.0
    }

    /// Adds the duration of a completed request to the average; concurrent updates may overwrite each other.
    pub(crate) fn observe_service_time(&self, service_ms: f64) {
        let old = self.service_ms();
        let new = old + SMOOTHING * (service_ms - old);
        self.service_us
            .store((new * 1_000.0).max(1.0) as u64, Ordering::Relaxed);
    }

    pub(crate) fn service_ms(&self) -> f64 {
        self.service_us.load(Ordering::Relaxed) as f64 / 1_000.0
    }

    pub(crate) fn pause_region(&self, now: MonoMs, region: RegionKey) {
        let mut paused = self.paused_regions.lock();
        paused.retain(|(other, until)| *other != region && *until > now);
        paused.push((region, now.plus_ms(REGION_PAUSE_MS)));
    }

    pub(crate) fn paused_regions(&self, now: MonoMs) -> RegionSet {
        let paused = self.paused_regions.lock();
        paused
            .iter()
            .filter(|(_, until)| *until > now)
            .map(|(region, _)| *region)
            .collect()
    }

    /// Clears all pauses; their region keys are not valid in a new revision.
    pub(crate) fn clear_paused_regions(&self) {
        self.paused_regions.lock().clear();
    }
}
