//! The decider of a region.

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

/// Decides which engines of a region hold which model.
///
/// Its memory is rebuilt from the engines at the start of each tenure. Names and not keys identify models and engines,
/// because keys change with each configuration revision.
#[derive(Clone, Debug)]
pub struct PlacementController {
    times: PlacementTimes,
    tenure: Option<LeaseTerm>,
    demand: FastMap<Arc<str>, MovingAverage>,
    counts: FastMap<Arc<str>, ReplicaCount>,
    engines: FastMap<Arc<str>, EngineRecord>,
    queue: CommandQueue,
    weights: WeightBudget,
    highest_fencing: u64,
}

impl PlacementController {
    /// Builds a decider without a tenure.
    #[must_use]
    pub fn new(times: PlacementTimes, weights: WeightBudget) -> Self {
        Self {
            times,
            tenure: None,
            demand: FastMap::default(),
            counts: FastMap::default(),
            engines: FastMap::default(),
            queue: CommandQueue::new(times),
            weights,
            highest_fencing: 0,
        }
    }

    /// Adds a sample of the requests of a model that wait or run in the region, in slots.
    pub fn observe_demand(&mut self, now: MonoMs, model: &Arc<str>, busy_slots: f64) {
        let half_life_ms = self.times.demand_half_life_ms;
        let average = self.demand.entry(model.clone());
        let average = average.or_insert_with(|| MovingAverage::new(half_life_ms));
        average.observe(now, busy_slots);
    }

    /// Records what an engine holds; called for each engine every 5 s.
    pub fn observe_engine(&mut self, now: MonoMs, target: &Arc<str>, view: ObservedState) {
        self.highest_fencing = self.highest_fencing.max(view.fencing);
        let memory = EngineRecord::update(self.engines.get(target), now, view);
        self.engines.insert(target.clone(), memory);
    }

    /// Returns the fencing number of another decider when it is higher than that of this tenure.
    ///
    /// The host then gives up its lease and takes it again with a higher number.
    #[must_use]
    pub fn superseded_by(&self) -> Option<u64> {
        let own = self.tenure?.epoch;
        (self.highest_fencing > own).then_some(self.highest_fencing)
    }

    /// Returns the wanted number of replicas of a model.
    #[must_use]
    pub fn replicas(&self, model: &str) -> Option<u32> {
        self.counts.get(model).map(|count| count.desired())
    }

    /// Returns the number of commands that wait or are in flight.
    #[must_use]
    pub fn queued_commands(&self) -> usize {
        self.queue.len()
    }

    /// Compares what the engines of `region` hold with what they should hold, and queues commands.
    pub fn plan(
        &mut self,
        now: MonoMs,
        wall: WallMs,
        tenure: LeaseTerm,
        fleet: &Fleet,
        region: RegionKey,
    ) {
        self.begin(tenure);
        let mut planned = FastSet::default();
        for (service, name, entry) in fleet.services.iter() {
            let Some(version) = fleet.model_versions.get(&service) else {
                continue;
            };
            let targets = entry.targets_by_region.get(region.index());
            let targets = targets.map_or(&[][..], Vec::as_slice);
            let is_usable = |target: &&TargetKey| !fleet.targets[**target].stopped(wall);
            let usable: Vec<TargetKey> = targets.iter().filter(is_usable).copied().collect();
            if entry.kind == ServiceKind::Model && !usable.is_empty() {
                let engines = self.known_engines(now, fleet, &usable);
                planned.extend(engines.iter().map(|engine| engine.target.clone()));
                self.plan_model(now, fleet, (name, version), &usable, &engines);
            }
        }
        // An engine that stops, left the configuration or was not seen gets no command.
        self.queue.retain(now, |target| planned.contains(target));
    }

    /// Takes the commands that may be sent now; none when another decider has a higher fencing number.
    pub fn due(&mut self, now: MonoMs, tenure: LeaseTerm) -> Vec<OutgoingCommand> {
        if self.tenure != Some(tenure) || self.superseded_by().is_some() {
            return Vec::new();
        }
        self.queue.due(now, tenure, &mut self.weights)
    }

    /// Takes the result of a command.
    pub fn record_result(&mut self, now: MonoMs, command: &OutgoingCommand, result: CommandResult) {
        if self.tenure.map(|tenure| tenure.epoch) != Some(command.fencing) {
            return;
        }
        self.queue.record_result(now, command, result);
        match result {
            CommandResult::Applied => {
                if let Some(memory) = self.engines.get_mut(&command.target) {
                    memory.apply(&command.desired);
                }
            }
            CommandResult::Stale => {
                self.highest_fencing = self.highest_fencing.max(command.fencing + 1);
            }
            CommandResult::Refused | CommandResult::Lost | CommandResult::NotSent => {}
        }
    }

    /// A new tenure starts from what the engines report, not from what an earlier one remembers.
    fn begin(&mut self, tenure: LeaseTerm) {
        if self.tenure == Some(tenure) {
            return;
        }
        log::info!("place: decides under epoch {}", tenure.epoch);
        self.tenure = Some(tenure);
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
        if !self.counts.contains_key(model) && !self.may_start(now, engines, usable) {
            return;
        }
        let replicas = self.update_count(now, fleet, model, usable, engines);
        let want = ModelSpec {
            model: model.clone(),
            version: version.clone(),
            replicas,
        };
        let wanted = assign(&want, engines);
        for engine in engines {
            let state = wanted.iter().find(|(target, _)| *target == engine.target);
            let Some((target, state)) = state.filter(|(_, state)| !state.is_met_by(&engine.view))
            else {
                self.queue.remove_settled(now, &engine.target);
                continue;
            };
            let loads_weights = state.loads_weights_on(&engine.view);
            let key = fleet.targets.key(target);
            let checks_fencing = key.is_some_and(|key| fleet.targets[key].fencing);
            self.queue
                .push(now, target, state.clone(), loads_weights, checks_fencing);
        }
    }

    fn known_engines(
        &self,
        now: MonoMs,
        fleet: &Fleet,
        usable: &[TargetKey],
    ) -> Vec<EngineCandidate> {
        let slot_of = |key: &TargetKey| {
            let target = fleet.targets.name(*key);
            let memory = self.engines.get(target)?;
            memory.is_known(now, &self.times).then(|| EngineCandidate {
                target: target.clone(),
                view: memory.view.clone(),
                is_drained: memory.is_drained(now, &self.times),
            })
        };
        usable.iter().filter_map(slot_of).collect()
    }

    /// Waits for a first reading of every engine, so that a replica that serves already is not started again.
    fn may_start(&self, now: MonoMs, engines: &[EngineCandidate], usable: &[TargetKey]) -> bool {
        let acquired_at = self.tenure.map_or(now, |tenure| tenure.acquired_at);
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
            engine.view.model == *model && engine.view.role != Some(EngineRole::Drain)
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
