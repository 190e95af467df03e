//! One fault-injection run.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use lw_base::{Invariant, violation_count};

use crate::faults::caller::run_caller;
use crate::faults::check::Check;
use crate::faults::document::initial_document;
use crate::faults::injector::inject_schedule;
use crate::faults::operator::publish;
use crate::faults::report::FaultReport;
use crate::faults::schedule::schedule;
use crate::faults::test_cluster::TestCluster;
use crate::faults::watch::{check_in_force, watch_revisions};

const CALLERS: u64 = 16;
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The first shard map of a region rejects keys that were issued within the first 30 s.
const FIRST_MAP_CUTOFF: Duration = Duration::from_secs(32);
/// How long an operator retries a publication after the last fault.
const FINAL_PUBLICATION_TIMEOUT: Duration = Duration::from_secs(11);

/// Injects the fault schedule of a seed into two regions and reports the checks.
///
/// `seconds` is the length of the schedule.
///
/// # Errors
///
/// Returns an error if the hosts cannot be started.
pub async fn inject_faults(seed: u64, seconds: u64) -> io::Result<FaultReport> {
    let cluster = Arc::new(TestCluster::start().await?);
    let started = Instant::now();
    prepare(&cluster).await?;
    tokio::time::sleep_until((started + FIRST_MAP_CUTOFF).into()).await;
    let watcher = tokio::spawn(watch_revisions(cluster.clone()));
    let callers =
        (0..CALLERS).map(|number| tokio::spawn(run_caller(cluster.clone(), seed * 1_000 + number)));
    let callers: Vec<_> = callers.collect();
    inject_schedule(&cluster, schedule(seed, seconds)).await;
    check_in_force(&cluster, "publications during the faults").await;
    publish_last(&cluster).await;
    check_in_force(&cluster, "the publication after the faults").await;
    cluster.stopped.store(true, Ordering::Release);
    for task in callers.into_iter().chain([watcher]) {
        task.await.map_err(io::Error::other)?;
    }
    cluster.stop().await;
    check_end(&cluster);
    Ok(report(&cluster, seed))
}

async fn prepare(cluster: &TestCluster) -> io::Result<()> {
    let document = initial_document(&cluster.targets)?;
    let processes = cluster.processes();
    let first = processes
        .first()
        .ok_or_else(|| io::Error::other("no host is running"))?;
    let accepted = publish(cluster, first, |next| *next = document).await;
    accepted.map_err(io::Error::other)?;
    let since = Instant::now();
    while processes
        .iter()
        .any(|process| !process.gate.state().is_ready() || process.gate.revision() == 0)
    {
        if since.elapsed() > READY_TIMEOUT {
            return Err(io::Error::other("a host did not become ready"));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn publish_last(cluster: &TestCluster) {
    let since = Instant::now();
    let mut accepted = None;
    while accepted.is_none() && since.elapsed() < FINAL_PUBLICATION_TIMEOUT {
        if let Some(process) = cluster.processes().first() {
            accepted = publish(cluster, process, |_| ()).await.ok();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    cluster
        .observations
        .check(Check::AcceptedInForce, accepted.is_some(), || {
            "no publication was accepted after the faults".to_owned()
        });
}

fn check_end(cluster: &TestCluster) {
    let observations = &cluster.observations;
    for (key, runs) in observations.runs.lock().iter() {
        observations.check(Check::AtMostOnce, *runs == 1, || {
            format!("{key} ran {runs} times")
        });
    }
    for key in observations.not_run_keys.lock().iter() {
        observations.check(Check::NotRunIsTrue, observations.runs_of(key) == 0, || {
            format!("{key} ran after each attempt was answered not-run")
        });
    }
    observations.check_rules();
    for invariant in Invariant::ALL {
        let count = violation_count(invariant);
        observations.check(Check::ProgramCounters, count == 0, || {
            format!("{} was counted {count} times", invariant.as_str())
        });
    }
}

fn report(cluster: &TestCluster, seed: u64) -> FaultReport {
    let observations = &cluster.observations;
    FaultReport {
        seed,
        injected: observations.injected.lock().clone(),
        endings: observations.endings.lock().clone(),
        checks: Check::ALL
            .map(|check| (check, observations.check_count(check)))
            .to_vec(),
        violations: observations.violations.lock().clone(),
    }
}
