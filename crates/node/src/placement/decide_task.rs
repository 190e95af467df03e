//! Deciding and sending commands while this host holds the lease.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use lw_base::prelude::*;
use lw_doc::ServiceKind;
use lw_place::{CommandResult, OutgoingCommand, PlacementController, WeightBudget, send_due};
use lw_plat::{EngineCommand, PlatformError};
use lw_route::RouteView;

use crate::placement::shared::Shared;

/// How often plans are made and due commands are sent.
const DECIDE_MS: u64 = 500;

/// How often the states of all engines are read.
const READ_MS: u64 = 5_000;

/// Sets the wish for the lease and decides while it is held, until the placement ends.
pub(crate) async fn decide(shared: Arc<Shared>) {
    let options = &shared.options;
    let weights = WeightBudget::new(options.weight_loads_per_s, options.weight_burst);
    let mut decider = PlacementController::new(options.decider_times, weights);
    loop {
        shared.lease.set_preferred(shared.is_first());
        shared.lease.set_wanted(shared.wants_lease());
        shared.decide_once(&mut decider).await;
        shared.core.clock.sleep(DECIDE_MS).await;
    }
}

/// Reads the states of the engines while the lease is held, until the placement ends.
pub(crate) async fn read_states(shared: Arc<Shared>) {
    let core = &shared.core;
    loop {
        if shared.tenure(core.clock.mono()).is_none() {
            core.clock.sleep(DECIDE_MS).await;
            continue;
        }
        let targets = shared.placed_engines();
        shared
            .reader
            .read(&core.clock, &shared.engines, targets)
            .await;
        core.clock.sleep(READ_MS).await;
    }
}

impl Shared {
    async fn decide_once(&self, decider: &mut PlacementController) {
        let clock = &self.core.clock;
        let now = clock.mono();
        let view = self.core.router.view();
        let (Some(tenure), Some(region)) = (self.tenure(now), view.local_region()) else {
            return;
        };
        observe_demand(decider, now, &view);
        decider.plan(now, clock.wall(), tenure, view.fleet(), region);
        for (target, state) in self.reader.take() {
            decider.observe_engine(now, &target, state);
        }
        if let Some(epoch) = decider.superseded_by() {
            log::warn!("node: engines follow epoch {epoch}, and this host gives its lease up");
            self.lease.require_epoch_above(epoch);
            return;
        }
        self.queued
            .store(decider.queued_commands(), Ordering::Relaxed);
        send_due(
            decider,
            || clock.mono(),
            |now| self.tenure(now),
            |command| self.send(&view, command),
        )
        .await;
    }

    async fn send(&self, view: &RouteView, command: OutgoingCommand) -> CommandResult {
        let Some(key) = view.fleet().targets.key(&command.target) else {
            return CommandResult::NotSent;
        };
        let acted =
            self.options
                .act_check
                .lock()
                .record_action(&self.scope, command.fencing, &self.holder);
        if !acted {
            return CommandResult::NotSent;
        }
        self.sent.fetch_add(1, Ordering::Relaxed);
        let clock = &self.core.clock;
        let address = view.fleet().targets[key].address.to_string();
        let wanted = &command.desired;
        let body = EngineCommand {
            fencing: command.fencing,
            model: wanted.model.to_string(),
            version: wanted.version.to_string(),
            role: wanted.role.as_str().to_owned(),
        };
        let limit_ms = self.options.decider_times.command_timeout_ms;
        // The future is dropped at the limit, which closes the connection.
        let result = clock
            .limit(limit_ms, self.engines.command(&address, body))
            .await;
        self.reader.command_ended(clock.mono(), &command.target);
        result_of(result)
    }

    /// Returns name and address of the engines of the region whose model is placed.
    fn placed_engines(&self) -> Vec<(Arc<str>, String)> {
        let view = self.core.router.view();
        let (fleet, region) = (view.fleet(), view.local_region());
        let placed = fleet.targets.iter().filter(|(_, _, target)| {
            Some(target.region) == region && fleet.model_versions.contains_key(&target.service)
        });
        placed
            .map(|(_, name, target)| (name.clone(), target.address.to_string()))
            .collect()
    }
}

/// Feeds the requests that wait or run in the region.
fn observe_demand(decider: &mut PlacementController, now: MonoMs, view: &RouteView) {
    for (service, name, entry) in view.fleet().services.iter() {
        let placed = view.fleet().model_versions.contains_key(&service);
        if placed && entry.kind == ServiceKind::Model {
            let busy_slots = view.service_load(service).requests.max(0.0);
            decider.observe_demand(now, name, busy_slots);
        }
    }
}

fn result_of(result: Option<Result<(), PlatformError>>) -> CommandResult {
    match result {
        Some(Ok(())) => CommandResult::Applied,
        Some(Err(PlatformError::Stale)) => CommandResult::Stale,
        None | Some(Err(PlatformError::ReplyLost)) => CommandResult::Lost,
        Some(Err(_)) => CommandResult::Refused,
    }
}
