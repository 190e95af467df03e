//! Polls targets for their load and exchanges load boards in the region.

use std::sync::Arc;
use std::time::Instant;

use futures_util::{StreamExt, stream};
use lw_base::prelude::*;
use lw_base::{stable_hash, top_ranked};
use lw_peer::Message;
use lw_plat::EngineControl;
use lw_route::{LoadReport, decode_load, encode_load};
use parking_lot::Mutex;

use crate::control_counters::add;
use crate::core::Core;
use crate::load_board_message::LoadBoardMessage;

/// The period at which a host polls each of its assigned targets.
const POLL_PERIOD_MS: u64 = 1_000;

/// The period at which a host sends its load board.
const BOARD_PERIOD_MS: u64 = 2_000;

/// The timeout of one poll.
pub(crate) const CALL_TIMEOUT_MS: u64 = 1_000;

/// The maximum number of concurrent polls; at the target size a host polls about 29 targets a second.
pub(crate) const CONCURRENT_POLLS: usize = 32;

/// The encoded loads from the last round of polls, by target name.
pub(crate) type PolledLoads = Arc<Mutex<FastMap<Arc<str>, [u8; 2]>>>;

/// Polls the targets that are assigned to this host until the node ends.
pub(crate) async fn poll_targets(
    core: Arc<Core>,
    engines: EngineControl,
    polled_loads: PolledLoads,
) {
    loop {
        let assigned = core.targets_to_poll();
        let polls = assigned.into_iter().map(|(name, address)| {
            let (core, engines) = (core.clone(), engines.clone());
            async move {
                add(&core.counters.load_polls, 1);
                let load = core
                    .clock
                    .timeout(CALL_TIMEOUT_MS, engines.load(&address))
                    .await;
                let load = load?.ok()?;
                let report = LoadReport::from_engine(load.queued, load.running, load.tokens_per_s);
                Some((name, report))
            }
        });
        let reports: Vec<(Arc<str>, LoadReport)> = stream::iter(polls)
            .buffer_unordered(CONCURRENT_POLLS)
            .filter_map(std::future::ready)
            .collect()
            .await;
        core.apply_load_reports(&reports);
        let encoded = reports
            .iter()
            .map(|(name, report)| (name.clone(), encode_load(report)));
        *polled_loads.lock() = encoded.collect();
        core.clock.sleep(core.jittered(POLL_PERIOD_MS)).await;
    }
}

/// Sends load boards until the node ends.
pub(crate) async fn send_load_boards(core: Arc<Core>, polled_loads: PolledLoads) {
    loop {
        core.clock.sleep(core.jittered(BOARD_PERIOD_MS)).await;
        let began = Instant::now();
        let loads = polled_loads.lock().clone();
        core.send_load_board(&loads);
        core.counters.record_work(began.elapsed());
    }
}

impl Core {
    /// Returns the names and addresses of the targets that rendezvous hashing assigns to this host.
    pub(crate) fn targets_to_poll(&self) -> Vec<(Arc<str>, String)> {
        let live = self.members.lock().ranked_live_hosts();
        let names: Vec<&[u8]> = live.iter().map(|name| name.as_bytes()).collect();
        let view = self.router.view();
        let fleet = view.fleet();
        let list = self.target_lists.for_fleet(fleet, &self.identity.region);
        let assigned = list.targets.iter().filter(|target| {
            let name = fleet.targets.name(**target);
            let best = top_ranked(stable_hash(name.as_bytes()), &names);
            best.is_some_and(|best| *live[best] == *self.identity.host)
        });
        assigned
            .map(|target| {
                let address = fleet.targets[*target].address.to_string();
                (fleet.targets.name(*target).clone(), address)
            })
            .collect()
    }

    fn apply_load_reports(&self, reports: &[(Arc<str>, LoadReport)]) {
        let (now, view) = (self.clock.mono(), self.router.view());
        for (name, report) in reports {
            if let Some(target) = view.fleet().targets.key(name) {
                view.report(now, target, report);
            }
        }
    }

    fn send_load_board(&self, loads: &FastMap<Arc<str>, [u8; 2]>) {
        let members = self.live_members();
        let customers = (self.usage.take_local_rates)(self.clock.mono());
        if members.is_empty() || (loads.is_empty() && customers.is_empty()) {
            return;
        }
        let mut message = self.load_board(loads);
        message.set_customers(&customers);
        let message = Message::LoadBoard(message.encode());
        for (host, address) in members {
            self.send(&host, &address, &message);
        }
    }

    fn load_board(&self, loads: &FastMap<Arc<str>, [u8; 2]>) -> LoadBoardMessage {
        let view = self.router.view();
        let list = self
            .target_lists
            .for_fleet(view.fleet(), &self.identity.region);
        let not_serving = self.not_serving.lock();
        let mut message = LoadBoardMessage::new(list.digest);
        let mut next = 0;
        for (number, target) in (0_u32..).zip(&list.targets) {
            if let Some(load) = loads.get(view.fleet().targets.name(*target)) {
                message.push_load(&mut next, number, *load);
                if not_serving.contains(view.fleet().targets.name(*target)) {
                    message.mark_not_serving();
                }
            }
        }
        message
    }

    /// Applies the load board of another host.
    pub(crate) fn on_load_board(&self, from: &str, bytes: &[u8]) {
        let Ok(message) = postcard::from_bytes::<LoadBoardMessage>(bytes) else {
            log::warn!("node: the load board from {from} is malformed");
            return;
        };
        let now = self.clock.mono();
        (self.usage.apply_peer_rates)(now, stable_hash(from.as_bytes()), &message.customers());
        let view = self.router.view();
        let list = self
            .target_lists
            .for_fleet(view.fleet(), &self.identity.region);
        // The sender numbers the targets of another revision, so its loads are skipped; its next board arrives in 2 s.
        if list.digest != message.targets_digest {
            return;
        }
        for (number, load, serving) in message.numbered_loads() {
            if let Some(target) = list.targets.get(number) {
                view.report(now, *target, &decode_load(load));
                view.set_serving(now, *target, serving);
            }
        }
    }
}
