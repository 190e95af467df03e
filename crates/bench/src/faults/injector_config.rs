//! Faults that publish configuration: concurrent publications, planned stops and stricter residency.

use std::time::{Duration, Instant};

use jiff::Timestamp;
use lw_doc::{Document, PlannedStopEntry};
use serde_json::{Value, json};

use crate::faults::check::Check;
use crate::faults::document::parse_entry;
use crate::faults::host::Process;
use crate::faults::observations::{ReceivedRequest, Rule};
use crate::faults::operator::{publish, wall_now};
use crate::faults::schedule::PlannedFault;
use crate::faults::targets::TargetFake;
use crate::faults::test_cluster::TestCluster;

const STOP_DELAY_MS: u64 = 500;
const STOP_DURATION_MS: u64 = 6_500;
/// The 3 s bound of `Invariant::LeavingTargetIdle`, plus 200 ms because a busy machine may record a received request
/// late.
const STOP_MARGIN_MS: u64 = 3_000 + 200;
/// A stricter rule applies immediately; the margin covers requests in transit to the target.
const RESIDENCY_MARGIN_MS: u64 = 500;
/// Time in which slow engines fill their slots, so that further requests are queued.
const QUEUE_FILL_MS: u64 = 1_000;
const SLOW_FACTOR: f64 = 8.0;

fn pick_publisher(cluster: &TestCluster, index: usize) -> Option<Process> {
    let processes = cluster.processes();
    let count = processes.len().max(1);
    processes.into_iter().nth(index % count)
}

/// Publishes concurrently through two hosts, normally with the same base revision.
pub(crate) async fn operators_race(cluster: &TestCluster) -> String {
    let (Some(first), Some(second)) = (pick_publisher(cluster, 0), pick_publisher(cluster, 4))
    else {
        return "skipped: no host is running".to_owned();
    };
    let mark = |process: &Process| process.node.reader().load().map(|config| config.mark);
    let same_base = mark(&first) == mark(&second);
    let (first_result, second_result) = tokio::join!(
        publish(cluster, &first, |_| ()),
        publish(cluster, &second, |_| ())
    );
    let accepted = usize::from(first_result.is_ok()) + usize::from(second_result.is_ok());
    if same_base {
        cluster
            .observations
            .check(Check::OnePublication, accepted < 2, || {
                "two publications from the same base were accepted".to_owned()
            });
    }
    format!("{accepted} accepted, same base: {same_base}")
}

/// Publishes a planned stop of one target.
pub(crate) async fn stop_target(cluster: &TestCluster, planned: PlannedFault) -> String {
    let name = cluster.targets.all[planned.random_index % cluster.targets.all.len()]
        .name
        .clone();
    let stopped = name.clone();
    let applies = move |received: &ReceivedRequest| received.target == stopped;
    publish_stop(
        cluster,
        planned,
        json!({"targets": [name]}),
        Box::new(applies),
    )
    .await
}

/// Publishes a planned stop of an availability zone.
pub(crate) async fn stop_zone(cluster: &TestCluster, planned: PlannedFault) -> String {
    let target = &cluster.targets.all[planned.random_index % cluster.targets.all.len()];
    let zone = target.zone;
    let applies = move |received: &ReceivedRequest| received.target.ends_with(zone);
    publish_stop(
        cluster,
        planned,
        json!({"zones": [zone]}),
        Box::new(applies),
    )
    .await
}

async fn publish_stop(
    cluster: &TestCluster,
    planned: PlannedFault,
    mut fields: Value,
    applies: Box<dyn Fn(&ReceivedRequest) -> bool + Send + Sync>,
) -> String {
    let Some(process) = pick_publisher(cluster, planned.random_index) else {
        return "skipped: no host is running".to_owned();
    };
    let text = fields.to_string();
    let start = Instant::now() + Duration::from_millis(STOP_DELAY_MS);
    let end = start + Duration::from_millis(STOP_DURATION_MS);
    fields["start"] = time_text(STOP_DELAY_MS).into();
    fields["end"] = time_text(STOP_DELAY_MS + STOP_DURATION_MS).into();
    let Ok(stop) = parse_entry::<PlannedStopEntry>(fields) else {
        return "skipped: malformed planned stop".to_owned();
    };
    let name = format!("stop-{}", cluster.next_number());
    let change = |document: &mut Document| {
        document.planned_stops.insert(name, stop);
    };
    let marker = match publish(cluster, &process, change).await {
        Ok(marker) => marker,
        Err(error) => return format!("{text} not published: {error}"),
    };
    cluster.observations.rules.lock().push(Rule {
        check: Check::StoppedTarget,
        marker,
        start: start.max(Instant::now()),
        end,
        margin_ms: STOP_MARGIN_MS,
        lagging_at: Vec::new(),
        applies,
    });
    tokio::time::sleep_until(end.into()).await;
    text
}

fn time_text(after_ms: u64) -> String {
    let at_ms = i64::try_from(wall_now().0 + after_ms).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(at_ms)
        .unwrap_or_default()
        .to_string()
}

/// Restricts the customer `mover` to the east region while its requests are queued for slow targets in the west region.
pub(crate) async fn stricter_residency(cluster: &TestCluster, planned: PlannedFault) -> String {
    let Some(process) = pick_publisher(cluster, planned.random_index) else {
        return "skipped: no host is running".to_owned();
    };
    slow_west_engines(cluster, SLOW_FACTOR);
    tokio::time::sleep(Duration::from_millis(QUEUE_FILL_MS)).await;
    let published = publish(cluster, &process, set_home_region(Some("east"))).await;
    let result = match published {
        Ok(marker) => enforce_residency(cluster, &process, marker, planned).await,
        Err(error) => format!("not published: {error}"),
    };
    slow_west_engines(cluster, 1.0);
    result
}

fn slow_west_engines(cluster: &TestCluster, factor: f64) {
    for target in cluster
        .targets
        .all
        .iter()
        .filter(|target| target.zone.starts_with("west"))
    {
        if let TargetFake::Engine(engine) = &target.fake {
            engine.slow_down(factor);
        }
    }
}

fn set_home_region(region: Option<&'static str>) -> impl FnOnce(&mut Document) {
    move |document| {
        if let Some(customer) = document.customers.get_mut("mover") {
            customer.home_region = region.map(str::to_owned);
        }
    }
}

async fn enforce_residency(
    cluster: &TestCluster,
    process: &Process,
    marker: String,
    planned: PlannedFault,
) -> String {
    let duration = Duration::from_millis(planned.duration_ms.max(4_000));
    let start = Instant::now();
    cluster.observations.rules.lock().push(Rule {
        check: Check::StricterResidency,
        marker,
        start,
        end: start + duration,
        margin_ms: RESIDENCY_MARGIN_MS,
        lagging_at: Vec::new(),
        applies: Box::new(|one| one.region == "west" && one.text.contains("mover")),
    });
    tokio::time::sleep(duration).await;
    // The rule ends here, because the next publication lifts it. Rules of overlapping faults of this kind end too.
    let now = Instant::now();
    for rule in cluster.observations.rules.lock().iter_mut() {
        if rule.check == Check::StricterResidency {
            rule.end = rule.end.min(now);
        }
    }
    match publish(cluster, process, set_home_region(None)).await {
        Ok(_) => "mover was restricted to east and released again".to_owned(),
        Err(error) => format!("mover is still restricted to east: {error}"),
    }
}
