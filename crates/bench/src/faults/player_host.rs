//! Hosts that are killed and replaced.

use std::time::Duration;

use lw_daemon::Exit;

use crate::faults::check::Check;
use crate::faults::host::Fate;
use crate::faults::schedule::Planned;
use crate::faults::world::World;

/// How long callers use a leaving host before they follow its mark; the host gives them 2 s.
const MOVE: Duration = Duration::from_millis(1_000);

/// Kills a host and starts another process of its name after the time of the fault.
pub(crate) async fn kill_host(world: &World, planned: Planned) -> String {
    let Some(number) = victim(world, planned) else {
        return "left out, too few hosts".to_owned();
    };
    let host = &world.hosts[number];
    let Some(daemon) = host.daemon.lock().take() else {
        return "left out, the host is down".to_owned();
    };
    if let Some(process) = host.process.lock().take() {
        process.set_fate(Fate::Killed);
    }
    daemon.kill().await;
    tokio::time::sleep(Duration::from_millis(planned.lasts_ms)).await;
    started(world, number).await
}

/// Replaces a host by a planned stop and a new process of its name.
pub(crate) async fn replace_host(world: &World, planned: Planned) -> String {
    let Some(number) = victim(world, planned) else {
        return "left out, too few hosts".to_owned();
    };
    let host = &world.hosts[number];
    let Some(daemon) = host.daemon.lock().take() else {
        return "left out, the host is down".to_owned();
    };
    if let Some(process) = &*host.process.lock() {
        process.set_fate(Fate::Leaving);
    }
    let moved = async {
        tokio::time::sleep(MOVE).await;
        *host.process.lock() = None;
    };
    let (exit, ()) = tokio::join!(daemon.drain(), moved);
    world
        .ledger
        .check(Check::GracefulStop, exit == Exit::Ok, || {
            format!("{} ended its planned stop with {exit:?}", host.name)
        });
    started(world, number).await
}

/// Picks a host of a region that keeps at least two others.
fn victim(world: &World, planned: Planned) -> Option<usize> {
    let number = planned.pick % world.hosts.len();
    let region = world.hosts[number].region;
    let live = world
        .processes()
        .into_iter()
        .filter(|process| process.region == region);
    (live.count() > 2).then_some(number)
}

async fn started(world: &World, number: usize) -> String {
    let name = &world.hosts[number].name;
    match world.start_host(number).await {
        Ok(()) => name.clone(),
        Err(error) => format!("{name} did not start again: {error}"),
    }
}
