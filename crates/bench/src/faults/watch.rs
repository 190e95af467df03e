//! Observes the configuration revisions of the hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lw_base::FastMap;
use lw_conf::Config;

use crate::faults::check::Check;
use crate::faults::host::Process;
use crate::faults::test_cluster::TestCluster;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time within which an accepted publication must be in force on all hosts.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(11);

/// Checks until the run stops that revisions never decrease, and records when a host does not have a rule yet.
pub(crate) async fn watch_revisions(cluster: Arc<TestCluster>) {
    let mut seen: FastMap<(usize, Instant), u64> = FastMap::default();
    while !cluster.is_stopped() {
        for process in cluster.processes() {
            if let Some(config) = process.node.reader().load() {
                check_revision(&cluster, &mut seen, &process, &config);
                record_lagging_host(&cluster, &config);
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn check_revision(
    cluster: &TestCluster,
    seen: &mut FastMap<(usize, Instant), u64>,
    process: &Process,
    config: &Config,
) {
    let last = seen.entry((process.host, process.started)).or_default();
    let (before, now) = (*last, config.mark.revision);
    cluster
        .observations
        .check(Check::RevisionNeverReverts, now >= before, || {
            format!("host {} went from revision {before} to {now}", process.host)
        });
    *last = now;
}

fn record_lagging_host(cluster: &TestCluster, config: &Config) {
    let now = Instant::now();
    for rule in cluster.observations.rules.lock().iter_mut() {
        if now < rule.end && !config.document.customers.contains_key(&rule.marker) {
            rule.lagging_at.push(now);
        }
    }
}

/// Checks that all accepted publications are in force on all hosts within [`IN_FORCE_TIMEOUT`].
pub(crate) async fn check_in_force(cluster: &TestCluster, what: &str) {
    let since = Instant::now();
    let mut missing = find_missing(cluster);
    while missing.is_some() && since.elapsed() < IN_FORCE_TIMEOUT {
        tokio::time::sleep(POLL_INTERVAL).await;
        missing = find_missing(cluster);
    }
    let took_ms = since.elapsed().as_millis();
    cluster
        .observations
        .injected
        .lock()
        .push(format!("{what} in force after {took_ms} ms"));
    cluster
        .observations
        .check(Check::AcceptedInForce, missing.is_none(), || {
            format!("{what}: {}", missing.unwrap_or_default())
        });
}

/// Returns a description of the first host whose document differs or lacks an accepted publication, if any.
fn find_missing(cluster: &TestCluster) -> Option<String> {
    let accepted = cluster.observations.accepted.lock().clone();
    let mut first = None;
    for process in cluster.processes() {
        let Some(config) = process.node.reader().load() else {
            return Some(format!("host {} has no document", process.host));
        };
        if *first.get_or_insert(config.mark) != config.mark {
            return Some(format!(
                "host {} has revision {}; another host has a different one",
                process.host, config.mark.revision
            ));
        }
        let absent = accepted
            .iter()
            .find(|name| !config.document.customers.contains_key(*name));
        if let Some(name) = absent {
            return Some(format!(
                "host {} lacks {name} at revision {}",
                process.host, config.mark.revision
            ));
        }
    }
    None
}
