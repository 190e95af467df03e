//! Plans placement and sends engine commands while this host holds the lease.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use lw_base::prelude::*;
use lw_doc::ServiceKind;
use lw_place::{CommandResult, OutgoingCommand, PlacementController, WeightBudget, send_due};
use lw_plat::{EngineCommand, PlatformError};
use lw_route::RouteView;

use crate::placement::context::PlacementContext;

/// The period of planning and of sending due commands.
const CONTROLLER_PERIOD_MS: u64 = 500;

/// The period of reading the states of all engines.
const READ_PERIOD_MS: u64 = 5_000;

/// Requests the lease as needed and runs the placement controller while it is held, until the placement ends.
pub(crate) async fn run_controller(context: Arc<PlacementContext>) {
    let options = &context.options;
    let weights = WeightBudget::new(options.weight_loads_per_s, options.weight_burst);
    let mut controller = PlacementController::new(options.placement_times, weights);
    loop {
        context.lease.set_preferred(context.is_first_relay());
        context.lease.set_wanted(context.wants_lease());
        context.run_controller_once(&mut controller).await;
        context.core.clock.sleep(CONTROLLER_PERIOD_MS).await;
    }
}

/// Reads the states of the engines while the lease is held, until the placement ends.
pub(crate) async fn read_states(context: Arc<PlacementContext>) {
    let core = &context.core;
    loop {
        if context.lease_term(core.clock.mono()).is_none() {
            core.clock.sleep(CONTROLLER_PERIOD_MS).await;
            continue;
        }
        let targets = context.placed_engines();
        context
            .reader
            .read(&core.clock, &context.engines, targets)
            .await;
        core.clock.sleep(READ_PERIOD_MS).await;
    }
}

impl PlacementContext {
    async fn run_controller_once(&self, controller: &mut PlacementController) {
        let clock = &self.core.clock;
        let now = clock.mono();
        let view = self.core.router.view();
        let (Some(lease_term), Some(region)) = (self.lease_term(now), view.local_region()) else {
            return;
        };
        observe_demand(controller, now, &view);
        controller.plan(now, clock.wall(), lease_term, view.fleet(), region);
        for (target, state) in self.reader.take_readings() {
            controller.observe_engine(now, &target, state);
        }
        if let Some(epoch) = controller.superseded_by() {
            log::warn!(
                "node: engines follow the higher epoch {epoch}; this host gives up its lease"
            );
            self.lease.require_epoch_above(epoch);
            return;
        }
        self.queued_commands
            .store(controller.queued_commands(), Ordering::Relaxed);
        send_due(
            controller,
            || clock.mono(),
            |now| self.lease_term(now),
            |command| self.send(&view, command),
        )
        .await;
    }

    async fn send(&self, view: &RouteView, command: OutgoingCommand) -> CommandResult {
        let Some(key) = view.fleet().targets.key(&command.target) else {
            return CommandResult::NotSent;
        };
        let is_newest_epoch = self.options.single_holder_check.lock().record_action(
            &self.scope,
            command.fencing,
            &self.holder,
        );
        if !is_newest_epoch {
            return CommandResult::NotSent;
        }
        self.sent_commands.fetch_add(1, Ordering::Relaxed);
        let clock = &self.core.clock;
        let address = view.fleet().targets[key].address.to_string();
        let desired = &command.desired;
        let body = EngineCommand {
            fencing: command.fencing,
            model: desired.model.to_string(),
            version: desired.version.to_string(),
            role: desired.role.as_str().to_owned(),
        };
        let timeout_ms = self.options.placement_times.command_timeout_ms;
        // The future is dropped at the timeout, which closes the connection.
        let result = clock
            .timeout(timeout_ms, self.engines.command(&address, body))
            .await;
        self.reader.command_ended(clock.mono(), &command.target);
        command_result(result)
    }

    /// Returns the names and addresses of the engines of the region whose model is placed.
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

/// Passes the number of queued and running requests of each placed model to the controller.
fn observe_demand(controller: &mut PlacementController, now: MonoMs, view: &RouteView) {
    for (service, name, entry) in view.fleet().services.iter() {
        let placed = view.fleet().model_versions.contains_key(&service);
        if placed && entry.kind == ServiceKind::Model {
            let busy_slots = view.service_load(service).requests.max(0.0);
            controller.observe_demand(now, name, busy_slots);
        }
    }
}

fn command_result(result: Option<Result<(), PlatformError>>) -> CommandResult {
    match result {
        Some(Ok(())) => CommandResult::Applied,
        Some(Err(PlatformError::Stale)) => CommandResult::Stale,
        None | Some(Err(PlatformError::ReplyLost)) => CommandResult::Lost,
        Some(Err(_)) => CommandResult::Refused,
    }
}
