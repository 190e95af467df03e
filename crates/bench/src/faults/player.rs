//! Plays a schedule of faults.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lw_stand::LinkState;

use crate::faults::player_config::{operators_race, stop_target, stop_zone, stricter_residency};
use crate::faults::player_host::{kill_host, replace_host};
use crate::faults::player_region::cut_region;
use crate::faults::player_target::spoil_target;
use crate::faults::schedule::{Fault, Planned};
use crate::faults::world::World;

/// How long each call to a slow key-value service takes.
const SLOW_CALL_MS: u64 = 800;
const LOST_REPLIES: u32 = 3;
const LOST_WRITES: usize = 3;

/// Plays the whole schedule and returns when the last fault has ended.
pub(crate) async fn play(world: &Arc<World>, plan: Vec<Planned>) {
    let start = Instant::now();
    let mut running = Vec::new();
    for planned in plan {
        let due = start + Duration::from_millis(planned.at_ms);
        tokio::time::sleep_until(due.into()).await;
        let world = world.clone();
        running.push(tokio::spawn(async move {
            let result = play_one(&world, planned).await;
            let line = format!(
                "{:>6} ms {:?} for {} ms: {result}",
                planned.at_ms, planned.fault, planned.lasts_ms
            );
            world.ledger.injected.lock().push(line);
        }));
    }
    for fault in running {
        let _ = fault.await;
    }
}

/// Plays a fault from its start to its end, and returns what it met.
async fn play_one(world: &World, planned: Planned) -> String {
    let lasts = Duration::from_millis(planned.lasts_ms);
    match planned.fault {
        Fault::ServiceOutage => {
            world.kv.set_outage(true);
            tokio::time::sleep(lasts).await;
            world.kv.set_outage(false);
        }
        Fault::ServiceSlow => {
            world.kv.set_delay_ms(SLOW_CALL_MS);
            tokio::time::sleep(lasts).await;
            world.kv.set_delay_ms(0);
        }
        Fault::ServiceLosesReplies => world.kv.drop_replies(LOST_REPLIES),
        Fault::ServiceLosesWrites => world.kv.forget_last_writes(LOST_WRITES),
        Fault::HostCut => return cut_host(world, planned, LinkState::Down).await,
        Fault::HostRepliesLost => return cut_host(world, planned, LinkState::RepliesLost).await,
        Fault::RegionCut => return cut_region(world, planned).await,
        Fault::HostKilled => return kill_host(world, planned).await,
        Fault::HostReplaced => return replace_host(world, planned).await,
        Fault::TargetSlow | Fault::TargetRefuses | Fault::TargetBreaks | Fault::TargetMislabels => {
            return spoil_target(world, planned).await;
        }
        Fault::OperatorsRace => return operators_race(world).await,
        Fault::StopTarget => return stop_target(world, planned).await,
        Fault::StopZone => return stop_zone(world, planned).await,
        Fault::StricterResidency => return stricter_residency(world, planned).await,
    }
    "done".to_owned()
}

async fn cut_host(world: &World, planned: Planned, state: LinkState) -> String {
    let host = &world.hosts[planned.pick % world.hosts.len()];
    host.link.set(state);
    tokio::time::sleep(Duration::from_millis(planned.lasts_ms)).await;
    host.link.set(LinkState::Up);
    host.name.clone()
}
