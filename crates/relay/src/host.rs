//! The state of a host.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use lw_admit::{ColdLimit, ColdPace, SharedBudget};
use lw_base::prelude::*;
use lw_base::stable_hash;
use lw_mesh::{ChangedKeys, Coverage, HostTable, Mirror, Stage};

use crate::budgets::cold_sharers;
use crate::clock::HostClock;
use crate::metrics::HostMetrics;
use crate::names::{HeaderSet, PathSet};
use crate::placed_news::PlacedNews;
use crate::plan::{Plan, Service};
use crate::pool::Pool;
use crate::service_pace::ServicePace;
use crate::settings::{Bounds, HostSettings};
use crate::spill::SentAway;
use crate::stop::StopStep;
use crate::target::Target;

/// The part of a cold target's limit that hosts give out; requests on their way arrive closer together than sent.
const COLD_USED_PART: f64 = 0.8;

/// What a host is made of.
pub struct HostParts {
    /// Its place and addresses.
    pub settings: HostSettings,
    /// The headers of the deployment.
    pub names: HeaderSet,
    /// The paths of the host's own pages.
    pub paths: PathSet,
    /// The wall clock at the start of the process, in milliseconds.
    pub started_ms: u64,
    /// Builds a plan from the mirror.
    pub on_changed: OnChanged,
}

/// The state of a host; everything runs on one thread.
pub struct Host {
    /// Its place and addresses.
    pub settings: HostSettings,
    /// The bounds of the deployment, which may change while the host runs.
    pub bounds: Cell<Bounds>,
    /// The wall clock at the start of the process, in milliseconds.
    pub started_ms: u64,
    /// The clock.
    pub clock: HostClock,
    /// The copy of the platform's state.
    pub mirror: RefCell<Mirror>,
    /// The other hosts.
    pub hosts: RefCell<HostTable>,
    /// Counters and histograms.
    pub metrics: HostMetrics,
    pub(crate) names: HeaderSet,
    pub(crate) paths: PathSet,
    pub(crate) plan: RefCell<Rc<Plan>>,
    pub(crate) pool: Pool,
    pub(crate) paces: RefCell<FastMap<Arc<str>, ServicePace>>,
    pub(crate) budgets: RefCell<FastMap<Arc<str>, SharedBudget>>,
    /// Placed parts that the region has not heard of.
    pub(crate) placed: RefCell<PlacedNews>,
    pub(crate) sent_away: RefCell<SentAway>,
    pub(crate) coverage: RefCell<Coverage>,
    /// Notified when other hosts should hear of a change at once.
    pub(crate) news: Rc<tokio::sync::Notify>,
    /// A state of the platform is being fetched from another host.
    pub(crate) fetching: Cell<bool>,
    /// When the platform last answered.
    pub platform_at: Cell<Option<MonoMs>>,
    /// Notified when a target has a free place again.
    pub(crate) freed: Rc<tokio::sync::Notify>,
    pub(crate) stage: Cell<Stage>,
    pub(crate) requests: Cell<u32>,
    pub(crate) connections: Cell<u32>,
    pub(crate) stop: tokio::sync::watch::Sender<StopStep>,
    on_changed: OnChanged,
}

/// Called after the mirror has changed.
pub type OnChanged = Box<dyn Fn(&Host, &ChangedKeys)>;

impl Host {
    /// Creates the state of a host that knows nothing yet.
    #[must_use]
    pub fn new(parts: HostParts) -> Self {
        let HostParts {
            settings,
            names,
            paths,
            started_ms,
            on_changed,
        } = parts;
        let hosts = HostTable::new(
            settings.host.clone(),
            settings.region.clone(),
            settings.seeds.clone(),
            settings.capacity_permille,
        );
        Self {
            bounds: Cell::new(settings.bounds),
            settings,
            started_ms,
            clock: HostClock::start(),
            mirror: RefCell::default(),
            hosts: RefCell::new(hosts),
            metrics: HostMetrics::new(),
            names,
            paths,
            plan: RefCell::default(),
            pool: Pool::default(),
            paces: RefCell::default(),
            budgets: RefCell::default(),
            placed: RefCell::default(),
            sent_away: RefCell::default(),
            coverage: RefCell::default(),
            news: Rc::default(),
            fetching: Cell::default(),
            platform_at: Cell::default(),
            freed: Rc::default(),
            stage: Cell::default(),
            requests: Cell::default(),
            connections: Cell::default(),
            stop: tokio::sync::watch::Sender::new(StopStep::Serve),
            on_changed,
        }
    }

    /// Returns the present plan.
    #[must_use]
    pub fn plan(&self) -> Rc<Plan> {
        self.plan.borrow().clone()
    }

    /// Puts a plan into force. The first one with a configuration makes the host ready.
    pub fn set_plan(&self, plan: Plan) {
        if plan.version > 0 && self.stage.get() == Stage::Starting {
            self.stage.set(Stage::Ready);
            log::info!(version = plan.version; "the host takes requests");
        }
        *self.plan.borrow_mut() = Rc::new(plan);
        self.cover();
        self.freed.notify_waiters();
    }

    /// Decides again which targets of the region this host covers.
    pub(crate) fn cover(&self) {
        let plan = self.plan();
        let near = |target: &&Target| target.region == self.settings.region;
        let services: Vec<Vec<(u32, Arc<str>)>> = plan
            .targets
            .iter()
            .map(|targets| {
                let near = targets.iter().filter(near);
                near.map(|target| (target.hash, target.incarnation.clone()))
                    .collect()
            })
            .collect();
        let coverage = self.hosts.borrow().coverage(self.clock.now(), &services);
        *self.coverage.borrow_mut() = coverage;
    }

    /// Tells that the mirror has changed.
    pub fn changed(&self, changed: &ChangedKeys) {
        (self.on_changed)(self, changed);
        self.news.notify_one();
    }

    /// Returns the stage of the process.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Returns the requests that are being served.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.requests.get()
    }

    /// Returns the open connections of callers and hosts.
    #[must_use]
    pub fn connections(&self) -> u32 {
        self.connections.get()
    }

    /// Moves to a step of the planned stop.
    pub fn stop_at(&self, step: StopStep) {
        if step != StopStep::Serve {
            self.stage.set(Stage::Leaving);
        }
        self.stop.send_replace(step);
    }

    pub(crate) fn pace(&self, service: &Service) -> ServicePace {
        let paces = self.paces.borrow();
        paces.get(&service.name).copied().unwrap_or_default()
    }

    /// Returns this host's part of the limit of a cold target.
    pub(crate) fn cold_limit(&self, service: &Service, target: &Target) -> Option<ColdLimit> {
        let bounds = self.bounds.get();
        let per_s = service.cold_per_s * bounds.cold_factor + bounds.cold_slack;
        let per_s = per_s * COLD_USED_PART;
        let hosts = self.hosts.borrow();
        let near = cold_sharers(self.clock.up_ms(), hosts.peak_hosts_in_region())?;
        let sharers = ColdPace::hosts_for(per_s, near);
        let now = self.clock.now();
        let is_sharer = hosts.is_selected(now, &target.incarnation, sharers);
        is_sharer.then_some(ColdLimit {
            per_s,
            hosts: sharers,
        })
    }
}

/// Returns the low half of the stable hash of a name, as hosts tell it one another.
#[must_use]
pub fn short_hash(name: &str) -> u32 {
    stable_hash(name.as_bytes()) as u32
}
