//! The compiled routing state of one revision.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::stable_hash_pair;
use lw_doc::{Fleet, ServiceKind};

use crate::home_table::PrefixOwnerTable;
use crate::in_flight::InFlight;
use crate::load_report::LoadReport;
use crate::query::Now;
use crate::region_summary::RegionSummary;
use crate::region_table::{Entries, RegionTable};
use crate::service_shared::ServiceShared;
use crate::target_cell::TargetCell;
use crate::target_set::TargetSet;

/// One service of a view.
#[derive(Debug)]
pub(crate) struct ServiceView {
    pub(crate) shared: Arc<ServiceShared>,
    pub(crate) targets: TargetSet,
}

impl ServiceView {
    /// Returns the longest ejection of a target now, in milliseconds.
    pub(crate) fn longest_ejection_ms(&self) -> u64 {
        self.shared.longest_ejection_ms()
    }

    /// Returns true when each target is stopped or ejected, none is due for a probe and at least one is ejected.
    pub(crate) fn is_out_of_service(&self, now: Now) -> bool {
        let longest_ms = self.longest_ejection_ms();
        let takes_work = |cell: &Arc<TargetCell>| cell.view(now, longest_ms).ruled_out.is_none();
        self.shared.has_ejected() && !self.targets.cells.iter().any(takes_work)
    }
}

/// The load of a service in the own region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Parallel requests that its targets can process.
    pub slots: f64,
    /// The estimated requests at its targets, of all hosts.
    pub requests: f64,
    /// The requests of this host at its targets.
    pub own_requests: u32,
    /// The average duration of a request, in milliseconds.
    pub service_ms: f64,
}

/// The routing state of one revision: the fleet, and shared state of services and targets by key.
#[derive(Debug)]
pub struct RouteView {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) local: Option<RegionKey>,
    pub(crate) services: Vec<ServiceView>,
    pub(crate) cells: Vec<Option<Arc<TargetCell>>>,
    pub(crate) regions: RegionTable,
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
            regions: RegionTable::new(carried_summaries(fleet, old)),
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
                None => Arc::new(ServiceShared::new(stable_hash_pair(seed, name.as_bytes()))),
            };
            shared.forget_regions();
            let targets = view.build_targets(now, service, &shared, old_service);
            view.services.push(ServiceView { shared, targets });
        }
        view
    }

    /// Returns the fleet whose keys this view understands.
    #[must_use]
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// Returns the own region, or `None` when the document does not name it.
    #[must_use]
    pub fn local_region(&self) -> Option<RegionKey> {
        self.local
    }

    /// Counts a request at a target; `None` when the target takes no new work, so that another one must be chosen.
    #[must_use]
    pub fn begin(&self, now: Now, target: TargetKey) -> Option<InFlight> {
        let cell = self.cell(target)?.clone();
        let entry = self.service_of(target);
        let service = entry.shared.clone();
        let last_resort = entry.is_out_of_service(now);
        let pass = cell.begin(
            now,
            entry.longest_ejection_ms(),
            last_resort,
            &mut |milli| {
                service.add_load(milli);
            },
        )?;
        service.add_own(1);
        Some(InFlight {
            cell,
            service,
            target,
            pass,
            began: now.mono,
            ended: false,
        })
    }

    /// Takes a load report of a target of the own region; reports of other targets are ignored.
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

    /// Takes a leaving mark of a target, or its withdrawal.
    pub fn set_leaving(&self, now: MonoMs, target: TargetKey, leaving: bool) {
        if let Some(cell) = self.cell(target) {
            cell.set_leaving(now, leaving);
        }
    }

    /// Notes whether an engine serves its model; one that drains, stands by or lacks the model gets no requests.
    pub fn set_serving(&self, now: MonoMs, target: TargetKey, serving: bool) {
        if let Some(cell) = self.cell(target) {
            cell.set_serving(now, serving);
        }
    }

    /// Takes the summary of one service in another region; it takes precedence over the one of the whole region.
    ///
    /// Services differ in load: a region whose engines are full and whose plain services are idle looks half used.
    pub fn set_service_summary(
        &self,
        region: RegionKey,
        service: ServiceKey,
        summary: RegionSummary,
    ) {
        self.regions.set_service(region, service, summary);
    }

    /// Takes the summary of another region.
    pub fn set_summary(&self, region: RegionKey, summary: RegionSummary) {
        self.regions.set(region, summary);
    }

    /// Returns the use of a service in another region as its last summary shows it; `None` without a recent one.
    #[must_use]
    pub fn region_use(&self, now: MonoMs, region: RegionKey, service: ServiceKey) -> Option<f64> {
        let summary = self.regions.fresh(now, region, service);
        summary.map(|summary| summary.use_ratio())
    }

    /// Notes that a forwarded request failed or was rejected for lack of capacity in `region`.
    pub fn region_failed(&self, now: MonoMs, service: ServiceKey, region: RegionKey) {
        self.services[service.index()]
            .shared
            .pause_region(now, region);
    }

    /// Returns the load of a service in the own region.
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

    /// Returns how many requests of a service this host may run at once when `hosts` hosts share the targets.
    ///
    /// Plain services report no load and have no queue of their own, so each host gets an equal part. For engines it
    /// is the own requests and a part of what is free, and at least half of an equal part.
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

    /// Returns the share of the requests of a service that spill into other regions.
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
        shared: &ServiceShared,
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
            let kept = old.and_then(|(view, entry)| view.kept_cell(entry, &name));
            let cell = kept.unwrap_or_else(|| Arc::new(TargetCell::new(now, old.is_some())));
            cell.configure(now, target);
            self.cells[key.index()] = Some(cell.clone());
            set.slots += f64::from(target.slots.max(1));
            set.names.push(name);
            set.keys.push(key);
            set.cells.push(cell);
        }
        set.homes = match old {
            Some((_, entry)) if entry.targets.names == set.names => entry.targets.homes.clone(),
            Some((_, entry)) => Arc::new(entry.targets.homes.updated(&set.names)),
            None => Arc::new(PrefixOwnerTable::new(&set.names)),
        };
        shared.set_targets(set.names.len());
        if let Some((_, entry)) = old {
            forget_removed(shared, &entry.targets, &set);
        }
        set
    }

    /// Returns the state of a target of this name when it already belonged to the service.
    fn kept_cell(&self, service: &ServiceView, name: &str) -> Option<Arc<TargetCell>> {
        let key = self.fleet.targets.key(name)?;
        let same_service = Arc::ptr_eq(&self.service_of(key).shared, &service.shared);
        self.cell(key).filter(|_| same_service).cloned()
    }
}

/// Takes the load of targets that are gone out of the load of their service.
fn forget_removed(shared: &ServiceShared, old: &TargetSet, new: &TargetSet) {
    let kept: FastSet<&Arc<str>> = new.names.iter().collect();
    for (name, cell) in old.names.iter().zip(&old.cells) {
        if !kept.contains(name) {
            let (load_milli, ejected) = cell.detach();
            shared.add_load(-load_milli);
            shared.add_ejected(-i64::from(ejected));
        }
    }
}

/// Returns the summaries of the old view under the keys of the new one.
fn carried_summaries(fleet: &Fleet, old: Option<&RouteView>) -> Entries {
    let mut carried = Entries::default();
    let Some(old) = old else {
        return carried;
    };
    let entries = old.regions.entries();
    let region_key = |region| fleet.regions.key(old.fleet.regions.name(region));
    for (region, summary) in entries.by_region {
        if let Some(region) = region_key(region) {
            carried.by_region.insert(region, summary);
        }
    }
    for ((region, service), summary) in entries.by_service {
        let service = fleet.services.key(old.fleet.services.name(service));
        if let (Some(region), Some(service)) = (region_key(region), service) {
            carried.by_service.insert((region, service), summary);
        }
    }
    carried
}
