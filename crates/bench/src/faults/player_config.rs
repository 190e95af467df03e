//! Operators who publish during a run: at the same time, planned stops, stricter residency.

use std::time::{Duration, Instant};

use jiff::Timestamp;
use lw_doc::{Document, PlannedStopEntry};
use serde_json::{Value, json};

use crate::faults::check::Check;
use crate::faults::document::entry;
use crate::faults::host::Process;
use crate::faults::ledger::{Reception, Rule};
use crate::faults::operator::{publish, wall};
use crate::faults::schedule::Planned;
use crate::faults::targets::Stand;
use crate::faults::world::World;

const STOP_AFTER_MS: u64 = 500;
const STOP_LASTS_MS: u64 = 6_500;
/// The bound of I7, and the time by which a reception may be noted late on a busy machine.
const STOP_MARGIN_MS: u64 = 3_000 + 200;
/// A stricter rule applies at once; the margin covers requests that are on the way to the target.
const RESIDENCY_MARGIN_MS: u64 = 500;
/// Slow engines fill their slots within this time, so that further requests wait.
const QUEUE_MS: u64 = 1_000;
const SLOW_FACTOR: f64 = 8.0;

fn publisher(world: &World, pick: usize) -> Option<Process> {
    let processes = world.processes();
    let count = processes.len().max(1);
    processes.into_iter().nth(pick % count)
}

/// Lets two operators publish from the same base through two hosts.
pub(crate) async fn operators_race(world: &World) -> String {
    let (Some(first), Some(second)) = (publisher(world, 0), publisher(world, 4)) else {
        return "left out, no host".to_owned();
    };
    let mark = |process: &Process| process.node.reader().load().map(|held| held.mark);
    let same_base = mark(&first) == mark(&second);
    let (one, other) = tokio::join!(
        publish(world, &first, |_| ()),
        publish(world, &second, |_| ())
    );
    let accepted = usize::from(one.is_ok()) + usize::from(other.is_ok());
    if same_base {
        world.ledger.check(Check::OnePublication, accepted < 2, || {
            "two publications from the same base were accepted".to_owned()
        });
    }
    format!("{accepted} accepted, same base: {same_base}")
}

/// Publishes a planned stop of a target.
pub(crate) async fn stop_target(world: &World, planned: Planned) -> String {
    let name = world.targets.all[planned.pick % world.targets.all.len()]
        .name
        .clone();
    let stopped = name.clone();
    let applies = move |reception: &Reception| reception.target == stopped;
    stop(
        world,
        planned,
        json!({"targets": [name]}),
        Box::new(applies),
    )
    .await
}

/// Publishes a planned stop of an availability zone.
pub(crate) async fn stop_zone(world: &World, planned: Planned) -> String {
    let target = &world.targets.all[planned.pick % world.targets.all.len()];
    let zone = target.zone;
    let applies = move |reception: &Reception| reception.target.ends_with(zone);
    stop(world, planned, json!({"zones": [zone]}), Box::new(applies)).await
}

async fn stop(
    world: &World,
    planned: Planned,
    mut fields: Value,
    applies: Box<dyn Fn(&Reception) -> bool + Send + Sync>,
) -> String {
    let Some(process) = publisher(world, planned.pick) else {
        return "left out, no host".to_owned();
    };
    let text = fields.to_string();
    let start = Instant::now() + Duration::from_millis(STOP_AFTER_MS);
    let end = start + Duration::from_millis(STOP_LASTS_MS);
    fields["start"] = time_text(STOP_AFTER_MS).into();
    fields["end"] = time_text(STOP_AFTER_MS + STOP_LASTS_MS).into();
    let Ok(stop) = entry::<PlannedStopEntry>(fields) else {
        return "left out, malformed".to_owned();
    };
    let name = format!("stop-{}", world.next());
    let change = |document: &mut Document| {
        document.planned_stops.insert(name, stop);
    };
    let marker = match publish(world, &process, change).await {
        Ok(marker) => marker,
        Err(error) => return format!("{text} not published: {error}"),
    };
    world.ledger.rules.lock().push(Rule {
        check: Check::StoppedTarget,
        marker,
        start: start.max(Instant::now()),
        end,
        margin_ms: STOP_MARGIN_MS,
        behind: Vec::new(),
        applies,
    });
    tokio::time::sleep_until(end.into()).await;
    text
}

fn time_text(after_ms: u64) -> String {
    let at_ms = i64::try_from(wall().0 + after_ms).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(at_ms)
        .unwrap_or_default()
        .to_string()
}

/// Binds a customer to one region for the time of the fault, while its requests wait for slow targets of the other one.
pub(crate) async fn stricter_residency(world: &World, planned: Planned) -> String {
    let Some(process) = publisher(world, planned.pick) else {
        return "left out, no host".to_owned();
    };
    slow_engines(world, SLOW_FACTOR);
    tokio::time::sleep(Duration::from_millis(QUEUE_MS)).await;
    let published = publish(world, &process, bind(Some("east"))).await;
    let result = match published {
        Ok(marker) => bound(world, &process, marker, planned).await,
        Err(error) => format!("not published: {error}"),
    };
    slow_engines(world, 1.0);
    result
}

fn slow_engines(world: &World, factor: f64) {
    for target in world
        .targets
        .all
        .iter()
        .filter(|target| target.zone.starts_with("west"))
    {
        if let Stand::Engine(stand) = &target.stand {
            stand.slow_down(factor);
        }
    }
}

fn bind(region: Option<&'static str>) -> impl FnOnce(&mut Document) {
    move |document| {
        if let Some(customer) = document.customers.get_mut("mover") {
            customer.home_region = region.map(str::to_owned);
        }
    }
}

async fn bound(world: &World, process: &Process, marker: String, planned: Planned) -> String {
    let lasts = Duration::from_millis(planned.lasts_ms.max(4_000));
    let start = Instant::now();
    world.ledger.rules.lock().push(Rule {
        check: Check::StricterResidency,
        marker,
        start,
        end: start + lasts,
        margin_ms: RESIDENCY_MARGIN_MS,
        behind: Vec::new(),
        applies: Box::new(|one| one.region == "west" && one.text.contains("mover")),
    });
    tokio::time::sleep(lasts).await;
    // From here on another rule may be published, also after another such fault.
    let now = Instant::now();
    for rule in world.ledger.rules.lock().iter_mut() {
        if rule.check == Check::StricterResidency {
            rule.end = rule.end.min(now);
        }
    }
    match publish(world, process, bind(None)).await {
        Ok(_) => "mover bound to east, and free again".to_owned(),
        Err(error) => format!("mover stays bound to east: {error}"),
    }
}
