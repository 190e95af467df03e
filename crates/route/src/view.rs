//! The compiled routing state of one revision.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::stable_hash_pair;
use lw_doc::{Fleet, ServiceKind};

use crate::in_flight_attempt::InFlightAttempt;
use crate::load_report::LoadReport;
use crate::prefix_owner_table::PrefixOwnerTable;
use crate::query::Now;
use crate::region_summaries::{RegionSummaries, SummaryMaps};
use crate::region_summary::RegionSummary;
use crate::service_state::ServiceState;
use crate::target_cell::TargetCell;
use crate::target_set::TargetSet;

/// One service of a view.
#[derive(Debug)]
pub(crate) struct ServiceView {
    pub(crate) shared: Arc<ServiceState>,
    pub(crate) targets: TargetSet,
}

impl ServiceView {
    /// Returns the current maximum duration of an ejection, in milliseconds.
    pub(crate) fn max_ejection_ms(&self) -> u64 {
        self.shared.max_ejection_ms()
    }

    /// Returns true when no target accepts requests, not even a probe, and at least one is ejected.
    pub(crate) fn is_out_of_service(&self, now: Now) -> bool {
        let max_ms = self.max_ejection_ms();
        let accepts_requests = |cell: &Arc<TargetCell>| cell.view(now, max_ms).ruled_out.is_none();
        self.shared.has_ejected() && !self.targets.cells.iter().any(accepts_requests)
    }
}

/// The load of a service in the local region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// The number of requests that the targets can process concurrently.
    pub slots: f64,
    /// The estimated number of requests at the targets, from all hosts.
    pub requests: f64,
    /// The number of requests of this host at the targets.
    pub own_requests: u32,
    /// The average duration of a request, in milliseconds.
    pub service_ms: f64,
}

/// The routing state of one revision: the fleet, and the state of services and targets that is kept across revisions.
#[derive(Debug)]
pub struct RouteView {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) local: Option<RegionKey>,
    pub(crate) services: Vec<ServiceView>,
    /// The state of the targets in the local region, by target index; `None` for the targets of other regions.
    pub(crate) cells: Vec<Option<Arc<TargetCell>>>,
    pub(crate) regions: RegionSummaries,
}

impl RouteView {
    pub(crate) fn build(
        now: MonoMs,
        fleet: &Arc<Fleet>,
        local_name: &str,
        seed: u64,
        old: Option<&Self>,
    ) -> Self {
        let local = fleet.regions.key(local_name);
        let mut view = Self {
            regions: RegionSummaries::new(remapped_summaries(fleet, old)),
            services: Vec::with_capacity(fleet.services.len()),
            cells: vec![None; fleet.targets.len()],
            local,
            fleet: fleet.clone(),
        };
        for (service, name, _) in fleet.services.iter() {
            let old_service = old.and_then(|old| {
                let key = old.fleet.services.key(name)?;
                Some((old, &old.services[key.index()]))
            });
            let shared = match old_service {
                Some((_, old_service)) => old_service.shared.clone(),
                None => Arc::new(ServiceState::new(stable_hash_pair(seed, name.as_bytes()))),
            };
            shared.clear_paused_regions();
            let targets = view.build_targets(now, service, &shared, old_service);
            view.services.push(ServiceView { shared, targets });
        }
        view
    }

    /// Returns the fleet; its keys are valid with this view.
    #[must_use]
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// Returns the local region, or `None` when the configuration document does not contain it.
    #[must_use]
    pub fn local_region(&self) -> Option<RegionKey> {
        self.local
    }

    /// Begins an attempt at a target; returns `None` when the target accepts no new requests and another must be
    /// chosen.
    #[must_use]
    pub fn begin(&self, now: Now, target: TargetKey) -> Option<InFlightAttempt> {
        let cell = self.cell(target)?.clone();
        let entry = self.service_of(target);
        let service = entry.shared.clone();
        let last_resort = entry.is_out_of_service(now);
        let mode = cell.begin(now, entry.max_ejection_ms(), last_resort, &mut |milli| {
            service.add_load(milli);
        })?;
        service.add_own_requests(1);
        Some(InFlightAttempt {
            cell,
            service,
            target,
            mode,
            started_at: now.mono,
            ended: false,
        })
    }

    /// Records a load report of a target in the local region; reports of other targets are ignored.
    pub fn report(&self, now: MonoMs, target: TargetKey, report: &LoadReport) {
        let Some(cell) = self.cell(target) else {
            return;
        };
        let service = &self.service_of(target).shared;
        cell.report(now, report, &mut |milli| service.add_load(milli));
        if let Some(speed) = report.speed_tokens_per_s {
            service.observe_speed(speed);
        }
    }

    /// Sets or clears the leaving mark of a target.
    pub fn set_leaving(&self, now: MonoMs, target: TargetKey, leaving: bool) {
        if let Some(cell) = self.cell(target) {
            cell.set_leaving(now, leaving);
        }
    }

    /// Records whether an engine serves its model. An engine that drains, is on standby or has not loaded the model
    /// receives no requests.
    pub fn set_serving(&self, now: MonoMs, target: TargetKey, serving: bool) {
        if let Some(cell) = self.cell(target) {
            cell.set_serving(now, serving);
        }
    }

    /// Records the summary of one service in another region; it takes precedence over the summary of the whole region.
    ///
    /// The services of a region differ in load: with full engines and idle plain services, the region as a whole
    /// appears half used.
    pub fn set_service_summary(
        &self,
        region: RegionKey,
        service: ServiceKey,
        summary: RegionSummary,
    ) {
        self.regions.set_service(region, service, summary);
    }

    /// Records the summary of another region.
    pub fn set_summary(&self, region: RegionKey, summary: RegionSummary) {
        self.regions.set(region, summary);
    }

    /// Returns the use ratio of a service in another region from its latest summary, or `None` without a recent one.
    #[must_use]
    pub fn region_use(&self, now: MonoMs, region: RegionKey, service: ServiceKey) -> Option<f64> {
        let summary = self.regions.fresh(now, region, service);
        summary.map(|summary| summary.use_ratio())
    }

    /// Records that a forwarded request failed in `region` or was rejected there for lack of capacity.
    pub fn region_failed(&self, now: MonoMs, service: ServiceKey, region: RegionKey) {
        self.services[service.index()]
            .shared
            .pause_region(now, region);
    }

    /// Returns the load of a service in the local region.
    #[must_use]
    pub fn service_load(&self, service: ServiceKey) -> ServiceLoad {
        let entry = &self.services[service.index()];
        ServiceLoad {
            slots: entry.targets.slots,
            requests: entry.shared.requests(),
            own_requests: entry.shared.own_requests(),
            service_ms: entry.shared.service_ms(),
        }
    }

    /// Returns the maximum number of concurrent requests of a service on this host when `hosts` hosts share the
    /// targets.
    ///
    /// Plain services report no load and have no queue of their own, so each host gets an equal part of the slots. For
    /// engines it is the current requests of this host plus an equal part of the free slots, and at least half of an
    /// equal part of all slots.
    #[must_use]
    pub fn host_concurrency(&self, service: ServiceKey, hosts: u32) -> u32 {
        let load = self.service_load(service);
        let hosts = f64::from(hosts.max(1));
        let equal = load.slots / hosts;
        let wanted = match self.fleet.services[service].kind {
            ServiceKind::Plain => equal,
            ServiceKind::Model => {
                let free = (load.slots - load.requests).max(0.0);
                (f64::from(load.own_requests) + free / hosts).max(equal / 2.0)
            }
        };
        wanted.max(1.0).floor() as u32
    }

    /// Returns the share of requests of a service that spill into other regions, between 0 and 1.
    #[must_use]
    pub fn spill_share(&self, service: ServiceKey) -> f64 {
        self.services[service.index()].shared.spill.lock().share()
    }

    fn cell(&self, target: TargetKey) -> Option<&Arc<TargetCell>> {
        self.cells.get(target.index())?.as_ref()
    }

    fn service_of(&self, target: TargetKey) -> &ServiceView {
        &self.services[self.fleet.targets[target].service.index()]
    }

    fn build_targets(
        &mut self,
        now: MonoMs,
        service: ServiceKey,
        shared: &ServiceState,
        old: Option<(&Self, &ServiceView)>,
    ) -> TargetSet {
        let mut set = TargetSet::default();
        let fleet = self.fleet.clone();
        let keys = self
            .local
            .and_then(|local| fleet.services[service].targets_by_region.get(local.index()));
        for key in keys.into_iter().flatten().copied() {
            let name = fleet.targets.name(key).clone();
            let target = &fleet.targets[key];
            let existing = old.and_then(|(view, entry)| view.existing_cell(entry, &name));
            let cell = existing.unwrap_or_else(|| Arc::new(TargetCell::new(now, old.is_some())));
            cell.configure(now, target);
            self.cells[key.index()] = Some(cell.clone());
            set.slots += f64::from(target.slots.max(1));
            set.names.push(name);
            set.keys.push(key);
            set.cells.push(cell);
        }
        set.prefix_owners = match old {
            Some((_, entry)) if entry.targets.names == set.names => {
                entry.targets.prefix_owners.clone()
            }
            Some((_, entry)) => Arc::new(entry.targets.prefix_owners.updated(&set.names)),
            None => Arc::new(PrefixOwnerTable::new(&set.names)),
        };
        shared.set_targets(set.names.len());
        if let Some((_, entry)) = old {
            detach_removed_targets(shared, &entry.targets, &set);
        }
        set
    }

    /// Returns the state of the target with this name if it already belonged to the service.
    fn existing_cell(&self, service: &ServiceView, name: &str) -> Option<Arc<TargetCell>> {
        let key = self.fleet.targets.key(name)?;
        let same_service = Arc::ptr_eq(&self.service_of(key).shared, &service.shared);
        self.cell(key).filter(|_| same_service).cloned()
    }
}

/// Subtracts the load of removed targets from the load of their service.
fn detach_removed_targets(shared: &ServiceState, old: &TargetSet, new: &TargetSet) {
    let remaining: FastSet<&Arc<str>> = new.names.iter().collect();
    for (name, cell) in old.names.iter().zip(&old.cells) {
        if !remaining.contains(name) {
            let (load_milli, ejected) = cell.detach();
            shared.add_load(-load_milli);
            shared.add_ejected(-i64::from(ejected));
        }
    }
}

/// Returns the summaries of the old view under the keys of the new fleet.
fn remapped_summaries(fleet: &Fleet, old: Option<&RouteView>) -> SummaryMaps {
    let mut remapped = SummaryMaps::default();
    let Some(old) = old else {
        return remapped;
    };
    let entries = old.regions.entries();
    let region_key = |region| fleet.regions.key(old.fleet.regions.name(region));
    for (region, summary) in entries.by_region {
        if let Some(region) = region_key(region) {
            remapped.by_region.insert(region, summary);
        }
    }
    for ((region, service), summary) in entries.by_service {
        let service = fleet.services.key(old.fleet.services.name(service));
        if let (Some(region), Some(service)) = (region_key(region), service) {
            remapped.by_service.insert((region, service), summary);
        }
    }
    remapped
}
