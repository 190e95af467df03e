//! The placement controller of a region.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_doc::{Fleet, ServiceKind};

use crate::assign::{EngineCandidate, assign};
use crate::command_queue::CommandQueue;
use crate::engine_record::EngineRecord;
use crate::engine_role::EngineRole;
use crate::lease_term::LeaseTerm;
use crate::model_spec::ModelSpec;
use crate::moving_average::MovingAverage;
use crate::observed_state::ObservedState;
use crate::outgoing_command::{CommandResult, OutgoingCommand};
use crate::placement_times::PlacementTimes;
use crate::replica_count::ReplicaCount;
use crate::weight_budget::WeightBudget;

/// Decides which engine of a region holds which model.
///
/// Its state is rebuilt from observations of the engines at the start of each lease term. Models and engines are
/// identified by name, because keys change with each configuration revision.
#[derive(Clone, Debug)]
pub struct PlacementController {
    times: PlacementTimes,
    /// The lease term of the last plan.
    term: Option<LeaseTerm>,
    demand: FastMap<Arc<str>, MovingAverage>,
    counts: FastMap<Arc<str>, ReplicaCount>,
    engines: FastMap<Arc<str>, EngineRecord>,
    queue: CommandQueue,
    weights: WeightBudget,
    /// The highest known fencing number: one that an engine reported, or the number after that of a stale command.
    highest_fencing: u64,
}

impl PlacementController {
    /// Creates a controller without a lease term.
    #[must_use]
    pub fn new(times: PlacementTimes, weights: WeightBudget) -> Self {
        Self {
            times,
            term: None,
            demand: FastMap::default(),
            counts: FastMap::default(),
            engines: FastMap::default(),
            queue: CommandQueue::new(times),
            weights,
            highest_fencing: 0,
        }
    }

    /// Records a sample of the queued and running requests of a model in the region, in slots.
    pub fn observe_demand(&mut self, now: MonoMs, model: &Arc<str>, busy_slots: f64) {
        let half_life_ms = self.times.demand_half_life_ms;
        let average = self.demand.entry(model.clone());
        let average = average.or_insert_with(|| MovingAverage::new(half_life_ms));
        average.observe(now, busy_slots);
    }

    /// Records the observed state of an engine; called for each engine every 5 s.
    pub fn observe_engine(&mut self, now: MonoMs, target: &Arc<str>, observed: ObservedState) {
        self.highest_fencing = self.highest_fencing.max(observed.fencing);
        let record = EngineRecord::update(self.engines.get(target), now, observed);
        self.engines.insert(target.clone(), record);
    }

    /// Returns the highest known fencing number if it exceeds that of this lease term.
    ///
    /// The host then releases its lease and acquires it again with a higher number.
    #[must_use]
    pub fn superseded_by(&self) -> Option<u64> {
        let own = self.term?.epoch;
        (self.highest_fencing > own).then_some(self.highest_fencing)
    }

    /// Returns the desired number of replicas of a model.
    #[must_use]
    pub fn replicas(&self, model: &str) -> Option<u32> {
        self.counts.get(model).map(|count| count.desired())
    }

    /// Returns the number of commands that are queued or in flight.
    #[must_use]
    pub fn queued_commands(&self) -> usize {
        self.queue.len()
    }

    /// Compares the observed with the desired state of the engines of `region`, and queues commands.
    pub fn plan(
        &mut self,
        now: MonoMs,
        wall: WallMs,
        term: LeaseTerm,
        fleet: &Fleet,
        region: RegionKey,
    ) {
        self.begin_term(term);
        let mut planned = FastSet::default();
        for (service, name, entry) in fleet.services.iter() {
            let Some(version) = fleet.model_versions.get(&service) else {
                continue;
            };
            let targets = entry.targets_by_region.get(region.index());
            let targets = targets.map_or(&[][..], Vec::as_slice);
            let is_usable = |target: &&TargetKey| !fleet.targets[**target].is_in_planned_stop(wall);
            let usable: Vec<TargetKey> = targets.iter().filter(is_usable).copied().collect();
            if entry.kind == ServiceKind::Model && !usable.is_empty() {
                let engines = self.observed_engines(now, fleet, &usable);
                planned.extend(engines.iter().map(|engine| engine.target.clone()));
                self.plan_model(now, fleet, (name, version), &usable, &engines);
            }
        }
        // No command is sent to an engine that is stopped, not configured or without a recent observation.
        self.queue.retain(now, |target| planned.contains(target));
    }

    /// Returns the commands that may be sent now; none if an engine has seen a higher fencing number.
    pub fn due(&mut self, now: MonoMs, term: LeaseTerm) -> Vec<OutgoingCommand> {
        if self.term != Some(term) || self.superseded_by().is_some() {
            return Vec::new();
        }
        self.queue.due(now, term, &mut self.weights)
    }

    /// Records the result of a command of this lease term.
    pub fn record_result(&mut self, now: MonoMs, command: &OutgoingCommand, result: CommandResult) {
        if self.term.map(|term| term.epoch) != Some(command.fencing) {
            return;
        }
        self.queue.record_result(now, command, result);
        match result {
            CommandResult::Applied => {
                if let Some(record) = self.engines.get_mut(&command.target) {
                    record.apply(&command.desired);
                }
            }
            CommandResult::Stale => {
                self.highest_fencing = self.highest_fencing.max(command.fencing + 1);
            }
            CommandResult::Refused | CommandResult::Lost | CommandResult::NotSent => {}
        }
    }

    /// Clears the state of an earlier lease term, so that a new term relies only on its own observations.
    fn begin_term(&mut self, term: LeaseTerm) {
        if self.term == Some(term) {
            return;
        }
        log::info!(
            "place: controlling placement under lease epoch {}",
            term.epoch
        );
        self.term = Some(term);
        self.counts.clear();
        self.engines.clear();
        self.queue.clear();
    }

    fn plan_model(
        &mut self,
        now: MonoMs,
        fleet: &Fleet,
        (model, version): (&Arc<str>, &Arc<str>),
        usable: &[TargetKey],
        engines: &[EngineCandidate],
    ) {
        if !self.counts.contains_key(model) && !self.may_plan(now, engines, usable) {
            return;
        }
        let replicas = self.update_count(now, fleet, model, usable, engines);
        let spec = ModelSpec {
            model: model.clone(),
            version: version.clone(),
            replicas,
        };
        let desired = assign(&spec, engines);
        for engine in engines {
            let state = desired.iter().find(|(target, _)| *target == engine.target);
            let Some((target, state)) =
                state.filter(|(_, state)| !state.is_met_by(&engine.observed))
            else {
                self.queue.remove_settled(now, &engine.target);
                continue;
            };
            let loads_weights = state.loads_weights_on(&engine.observed);
            let key = fleet.targets.key(target);
            let checks_fencing = key.is_some_and(|key| fleet.targets[key].fencing);
            self.queue
                .push(now, target, state.clone(), loads_weights, checks_fencing);
        }
    }

    fn observed_engines(
        &self,
        now: MonoMs,
        fleet: &Fleet,
        usable: &[TargetKey],
    ) -> Vec<EngineCandidate> {
        let candidate_of = |key: &TargetKey| {
            let target = fleet.targets.name(*key);
            let record = self.engines.get(target)?;
            record.is_recent(now, &self.times).then(|| EngineCandidate {
                target: target.clone(),
                observed: record.observed.clone(),
                is_drained: record.is_drained(now, &self.times),
            })
        };
        usable.iter().filter_map(candidate_of).collect()
    }

    /// Returns true once every engine was observed or the wait for that is over.
    ///
    /// Without the wait, a replica that already serves would be started again on another engine.
    fn may_plan(&self, now: MonoMs, engines: &[EngineCandidate], usable: &[TargetKey]) -> bool {
        let acquired_at = self.term.map_or(now, |term| term.acquired_at);
        let waited = now.since_ms(acquired_at) >= self.times.initial_observation_ms;
        engines.len() == usable.len() || (waited && !engines.is_empty())
    }

    fn update_count(
        &mut self,
        now: MonoMs,
        fleet: &Fleet,
        model: &Arc<str>,
        usable: &[TargetKey],
        engines: &[EngineCandidate],
    ) -> u32 {
        let serves = |engine: &&EngineCandidate| {
            engine.observed.model == *model && engine.observed.role != Some(EngineRole::Drain)
        };
        let serving = engines.iter().filter(serves).count() as u32;
        let count = self.counts.entry(model.clone());
        let count = count.or_insert_with(|| ReplicaCount::new(serving));
        let slots = usable.iter().map(|key| fleet.targets[*key].slots);
        let slots_per_replica = f64::from(slots.sum::<u32>()) / usable.len() as f64;
        if let Some(busy_slots) = self.demand.get(model).and_then(MovingAverage::value) {
            count.update(now, busy_slots, slots_per_replica, usable.len() as u32);
        }
        count.desired()
    }
}
