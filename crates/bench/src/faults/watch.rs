//! A watcher of the revisions on the hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lw_base::FastMap;
use lw_conf::Config;

use crate::faults::check::Check;
use crate::faults::host::Process;
use crate::faults::world::World;

const PERIOD: Duration = Duration::from_millis(50);
/// The bound of I9.
const IN_FORCE: Duration = Duration::from_secs(11);

/// Checks until the run stops that revisions never go down, and notes which hosts do not have a rule yet.
pub(crate) async fn watch(world: Arc<World>) {
    let mut seen: FastMap<(usize, Instant), u64> = FastMap::default();
    while !world.is_stopped() {
        for process in world.processes() {
            if let Some(held) = process.node.reader().load() {
                check_revision(&world, &mut seen, &process, &held);
                note_behind(&world, &held);
            }
        }
        tokio::time::sleep(PERIOD).await;
    }
}

fn check_revision(
    world: &World,
    seen: &mut FastMap<(usize, Instant), u64>,
    process: &Process,
    held: &Config,
) {
    let last = seen.entry((process.host, process.started)).or_default();
    let (before, now) = (*last, held.mark.revision);
    world
        .ledger
        .check(Check::RevisionNeverReverts, now >= before, || {
            format!("host {} went from revision {before} to {now}", process.host)
        });
    *last = now;
}

fn note_behind(world: &World, held: &Config) {
    let now = Instant::now();
    for rule in world.ledger.rules.lock().iter_mut() {
        if now < rule.end && !held.document.customers.contains_key(&rule.marker) {
            rule.behind.push(now);
        }
    }
}

/// Checks that all accepted publications are in force on all hosts within the bound.
pub(crate) async fn check_in_force(world: &World, what: &str) {
    let since = Instant::now();
    let mut missing = missing(world);
    while missing.is_some() && since.elapsed() < IN_FORCE {
        tokio::time::sleep(PERIOD).await;
        missing = self::missing(world);
    }
    let took_ms = since.elapsed().as_millis();
    world
        .ledger
        .injected
        .lock()
        .push(format!("{what} in force after {took_ms} ms"));
    world
        .ledger
        .check(Check::AcceptedInForce, missing.is_none(), || {
            format!("{what}: {}", missing.unwrap_or_default())
        });
}

/// Returns what is missing for all hosts to hold one document with all accepted publications.
fn missing(world: &World) -> Option<String> {
    let accepted = world.ledger.accepted.lock().clone();
    let mut first = None;
    for process in world.processes() {
        let Some(held) = process.node.reader().load() else {
            return Some(format!("host {} holds no document", process.host));
        };
        if *first.get_or_insert(held.mark) != held.mark {
            return Some(format!(
                "host {} holds revision {}, another host does not",
                process.host, held.mark.revision
            ));
        }
        let lacks = accepted
            .iter()
            .find(|name| !held.document.customers.contains_key(*name));
        if let Some(name) = lacks {
            return Some(format!(
                "host {} lacks {name} at revision {}",
                process.host, held.mark.revision
            ));
        }
    }
    None
}
