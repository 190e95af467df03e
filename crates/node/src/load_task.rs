//! Polling of targets, and the load board of the region.

use std::sync::Arc;
use std::time::Instant;

use futures_util::{StreamExt, stream};
use lw_base::prelude::*;
use lw_base::{stable_hash, top_ranked};
use lw_peer::Message;
use lw_plat::EngineControl;
use lw_route::{LoadReport, decode_load, encode_load};
use parking_lot::Mutex;

use crate::core::Core;
use crate::load_message::LoadMessage;
use crate::traffic::add;

const POLL_MS: u64 = 1_000;
const BOARD_MS: u64 = 2_000;

/// How long one poll may take.
pub(crate) const CALL_MS: u64 = 1_000;

/// Polls at the same time; at the target size a host polls about 29 targets a second.
pub(crate) const CONCURRENT_POLLS: usize = 32;

/// The last reports of the targets that this host polls, by name.
pub(crate) type Collected = Arc<Mutex<FastMap<Arc<str>, [u8; 2]>>>;

/// Polls the targets that fall to this host until the node ends.
pub(crate) async fn poll_targets(core: Arc<Core>, engines: EngineControl, collected: Collected) {
    loop {
        let due = core.targets_to_poll();
        let polls = due.into_iter().map(|(name, address)| {
            let (core, engines) = (core.clone(), engines.clone());
            async move {
                add(&core.traffic.load_polls, 1);
                let load = core.clock.limit(CALL_MS, engines.load(&address)).await;
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
        core.take_reports(&reports);
        let encoded = reports
            .iter()
            .map(|(name, report)| (name.clone(), encode_load(report)));
        *collected.lock() = encoded.collect();
        core.clock.sleep(core.jittered(POLL_MS)).await;
    }
}

/// Sends the load board until the node ends.
pub(crate) async fn send_boards(core: Arc<Core>, collected: Collected) {
    loop {
        core.clock.sleep(core.jittered(BOARD_MS)).await;
        let began = Instant::now();
        let loads = collected.lock().clone();
        core.send_board(&loads);
        core.traffic.busy(began.elapsed());
    }
}

impl Core {
    /// Returns name and address of the targets that rendezvous hashing assigns to this host.
    pub(crate) fn targets_to_poll(&self) -> Vec<(Arc<str>, String)> {
        let live = self.members.lock().ordered();
        let names: Vec<&[u8]> = live.iter().map(|name| name.as_bytes()).collect();
        let view = self.router.view();
        let fleet = view.fleet();
        let list = self.targets.of(fleet, &self.identity.region);
        let mine = list.targets.iter().filter(|target| {
            let name = fleet.targets.name(**target);
            let best = top_ranked(stable_hash(name.as_bytes()), &names);
            best.is_some_and(|best| *live[best] == *self.identity.host)
        });
        mine.map(|target| {
            let address = fleet.targets[*target].address.to_string();
            (fleet.targets.name(*target).clone(), address)
        })
        .collect()
    }

    fn take_reports(&self, reports: &[(Arc<str>, LoadReport)]) {
        let (now, view) = (self.clock.mono(), self.router.view());
        for (name, report) in reports {
            if let Some(target) = view.fleet().targets.key(name) {
                view.report(now, target, report);
            }
        }
    }

    fn send_board(&self, loads: &FastMap<Arc<str>, [u8; 2]>) {
        let members = self.live_members();
        let customers = (self.usage.take_local_rates)(self.clock.mono());
        if members.is_empty() || (loads.is_empty() && customers.is_empty()) {
            return;
        }
        let mut message = self.board(loads);
        message.set_customers(&customers);
        let message = Message::LoadBoard(message.encode());
        for (host, address) in members {
            self.send(&host, &address, &message);
        }
    }

    fn board(&self, loads: &FastMap<Arc<str>, [u8; 2]>) -> LoadMessage {
        let view = self.router.view();
        let list = self.targets.of(view.fleet(), &self.identity.region);
        let idle = self.not_serving.lock();
        let mut message = LoadMessage::new(list.digest);
        let mut next = 0;
        for (number, target) in (0_u32..).zip(&list.targets) {
            if let Some(load) = loads.get(view.fleet().targets.name(*target)) {
                message.push_load(&mut next, number, *load);
                if idle.contains(view.fleet().targets.name(*target)) {
                    message.mark_not_serving();
                }
            }
        }
        message
    }

    /// Takes the load board of another host.
    pub(crate) fn on_load_board(&self, from: &str, bytes: &[u8]) {
        let Ok(message) = postcard::from_bytes::<LoadMessage>(bytes) else {
            log::warn!("node: the load board of {from} is malformed");
            return;
        };
        let now = self.clock.mono();
        (self.usage.apply_peer_rates)(now, stable_hash(from.as_bytes()), &message.customers());
        let view = self.router.view();
        let list = self.targets.of(view.fleet(), &self.identity.region);
        // Another revision with other targets numbers them differently; the next board comes in 2 s.
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
