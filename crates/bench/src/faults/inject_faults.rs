//! One run of faults.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use lw_base::{Invariant, invariant_count};

use crate::faults::caller::call;
use crate::faults::check::Check;
use crate::faults::document::first_document;
use crate::faults::operator::publish;
use crate::faults::player::play;
use crate::faults::report::FaultReport;
use crate::faults::schedule::schedule;
use crate::faults::watch::{check_in_force, watch};
use crate::faults::world::World;

const CALLERS: u64 = 16;
const READY: Duration = Duration::from_secs(20);
/// The first shard map of a region takes no keys that were issued in its first 30 s.
const FIRST_CUTOFF: Duration = Duration::from_secs(32);
/// How long an operator tries to publish after the faults.
const LAST_PUBLICATION: Duration = Duration::from_secs(11);

/// Plays the schedule of a seed against two regions and returns what was checked.
///
/// # Errors
///
/// Returns an error when the hosts cannot be started.
pub async fn inject_faults(seed: u64, seconds: u64) -> io::Result<FaultReport> {
    let world = Arc::new(World::start().await?);
    let started = Instant::now();
    prepare(&world).await?;
    tokio::time::sleep_until((started + FIRST_CUTOFF).into()).await;
    let watcher = tokio::spawn(watch(world.clone()));
    let callers =
        (0..CALLERS).map(|number| tokio::spawn(call(world.clone(), seed * 1_000 + number)));
    let callers: Vec<_> = callers.collect();
    play(&world, schedule(seed, seconds)).await;
    check_in_force(&world, "publications during the faults").await;
    publish_last(&world).await;
    check_in_force(&world, "the publication after the faults").await;
    world.stopped.store(true, Ordering::Release);
    for task in callers.into_iter().chain([watcher]) {
        task.await.map_err(io::Error::other)?;
    }
    world.stop().await;
    check_end(&world);
    Ok(report(&world, seed))
}

async fn prepare(world: &World) -> io::Result<()> {
    let document = first_document(&world.targets)?;
    let processes = world.processes();
    let first = processes
        .first()
        .ok_or_else(|| io::Error::other("no host"))?;
    let accepted = publish(world, first, |next| *next = document).await;
    accepted.map_err(io::Error::other)?;
    let since = Instant::now();
    while processes
        .iter()
        .any(|process| !process.gate.state().is_ready() || process.gate.revision() == 0)
    {
        if since.elapsed() > READY {
            return Err(io::Error::other("a host is not ready"));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn publish_last(world: &World) {
    let since = Instant::now();
    let mut accepted = None;
    while accepted.is_none() && since.elapsed() < LAST_PUBLICATION {
        if let Some(process) = world.processes().first() {
            accepted = publish(world, process, |_| ()).await.ok();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    world
        .ledger
        .check(Check::AcceptedInForce, accepted.is_some(), || {
            "nothing can be published after the faults".to_owned()
        });
}

fn check_end(world: &World) {
    let ledger = &world.ledger;
    for (key, runs) in ledger.runs.lock().iter() {
        ledger.check(Check::AtMostOnce, *runs == 1, || {
            format!("{key} ran {runs} times")
        });
    }
    for key in ledger.unrun_keys.lock().iter() {
        ledger.check(Check::NotRunIsTrue, ledger.runs_of(key) == 0, || {
            format!("{key} ran after each attempt was answered not-run")
        });
    }
    ledger.apply_rules();
    for invariant in Invariant::ALL {
        let count = invariant_count(invariant);
        ledger.check(Check::ProgramCounters, count == 0, || {
            format!("{} was counted {count} times", invariant.as_str())
        });
    }
}

fn report(world: &World, seed: u64) -> FaultReport {
    let ledger = &world.ledger;
    FaultReport {
        seed,
        injected: ledger.injected.lock().clone(),
        endings: ledger.endings.lock().clone(),
        checks: Check::ALL
            .map(|check| (check, ledger.check_count(check)))
            .to_vec(),
        violations: ledger.violations.lock().clone(),
    }
}
