//! Requests that are forwarded while versions of the configuration reach some hosts before others.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::hosts::HostProcess;
use crate::support::{Door, FakeStore, Fault, start_target};

/// The hosts of the region with the targets, and those of another one.
const NEAR_HOSTS: u8 = 4;
const FAR_HOSTS: u8 = 2;
/// The store turns away at most this many hosts at a time.
const MAX_AWAY: usize = 2;
/// Each version moves the route to the next of these services.
const SERVICES: [&str; 4] = ["0", "1", "2", "3"];
const SETTLING_TIME: Duration = Duration::from_secs(5);
const VERSIONS: u64 = 8;
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
const PROBE_INTERVAL: Duration = Duration::from_millis(10);
/// A host answers a probe within this time on an idle machine.
const PROBE_TOLERANCE: Duration = Duration::from_millis(5);
/// A host may act on an older version for this long after a target has seen the effect of a newer one.
const MAX_REGRESSION: Duration = Duration::from_millis(250);

/// A request that was answered by a target.
#[derive(Clone, Copy)]
struct Call {
    sent_at: Instant,
    answered_at: Instant,
    version: u64,
}

/// The requests to one host, and the times for which it did not run.
#[derive(Default)]
struct HostLog {
    calls: Vec<Call>,
    delays: Vec<(Instant, Duration)>,
}

fn configuration(version: u64) -> Value {
    let services = SERVICES.map(
        |name| json!({ "name": name, "max_conns": 1_000, "cold_start_s": 0.0, "cold_per_s": 0.0 }),
    );
    json!({ "version": version,
        "routes": [{ "name": "route", "host": "a.example", "prefix": "/a/", "kind": "idempotent",
            "timeout_ms": 2_000, "target_latency_ms": 400, "service": service_of(version), "max_attempts": 1 }],
        "services": services })
}

fn service_of(version: u64) -> &'static str {
    SERVICES[version as usize % SERVICES.len()]
}

/// Sends a request on a connection of its own, and returns the status and the body.
async fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nlacewingstile-attempt-id: a1\r\nconnection: close\r\n\r\n"
    );
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}

/// Sends requests to a host. `written` is the version that was written last.
async fn call_host(address: SocketAddr, log: Rc<RefCell<HostLog>>, written: Rc<RefCell<u64>>) {
    loop {
        let sent_at = Instant::now();
        let answer = get(address, "/a/x").await;
        let answered_at = Instant::now();
        if let Some((200, service)) = answer {
            // Versions are some seconds apart, so a service stands for the last version that used it.
            let written = *written.borrow();
            let mut versions = (1..=written).rev();
            if let Some(version) = versions.find(|version| service_of(*version) == service) {
                log.borrow_mut().calls.push(Call {
                    sent_at,
                    answered_at,
                    version,
                });
            }
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Records the times for which a host did not answer at once, so that the bound does not measure the machine.
async fn probe_host(address: SocketAddr, log: Rc<RefCell<HostLog>>) {
    loop {
        let began_at = Instant::now();
        let _ = get(address, "/ready").await;
        let took = began_at.elapsed();
        if took > PROBE_TOLERANCE {
            log.borrow_mut().delays.push((began_at, took));
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Returns the delays of all hosts from `from` to `until`.
fn delays_within(logs: &[Rc<RefCell<HostLog>>], from: Instant, until: Instant) -> Duration {
    let of_host = |log: &Rc<RefCell<HostLog>>| -> Duration {
        let log = log.borrow();
        let overlaps = log.delays.iter().map(|(began_at, took)| {
            let end = (*began_at + *took).min(until);
            end.saturating_duration_since((*began_at).max(from))
        });
        overlaps.sum()
    };
    logs.iter().map(of_host).sum()
}

/// Returns the requests to each host that an older version handled after a newer one had been seen there.
fn violations(logs: &[Rc<RefCell<HostLog>>]) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, log) in logs.iter().enumerate() {
        let calls = &log.borrow().calls;
        for call in calls {
            let newer = calls.iter().filter(|other| other.version > call.version);
            let Some(seen_at) = newer.map(|other| other.answered_at).min() else {
                continue;
            };
            let late = call.sent_at.saturating_duration_since(seen_at);
            let late = late.saturating_sub(delays_within(logs, seen_at, call.sent_at));
            if late > MAX_REGRESSION {
                violations.push(format!(
                    "host {number}: version {} after {late:?}",
                    call.version
                ));
            }
        }
    }
    violations
}

/// Plays a seed, and returns what was wrong.
pub(crate) async fn run(network: u8, seed: u64) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let store = FakeStore::start().await;
    for name in SERVICES {
        let target = start_target(name).await;
        let entry = json!({ "service": name, "address": target, "zone": "z1", "slots": 64, "state": "ready",
            "cold_left_ms": 0 });
        store.write(&format!("servers/i-{name}"), &entry);
    }
    store.write("op/config", &configuration(1));
    let written = Rc::new(RefCell::new(1));
    let mut members = Vec::new();
    for number in 1..=NEAR_HOSTS + FAR_HOSTS {
        let door = Door::open(&store).await;
        let place = match number <= NEAR_HOSTS {
            true => "zone=z1\nregion=north\n",
            false => "zone=z2\nregion=south\n",
        };
        let lines = format!("{place}zones.z1=north\nzones.z2=south\nbounds.grace_s=8\n");
        let mut process = HostProcess::with_settings(network, number, door.address, &lines);
        process.start();
        members.push((process, door));
    }
    tokio::time::sleep(SETTLING_TIME).await;
    let logs: Vec<Rc<RefCell<HostLog>>> = members.iter().map(|_| Rc::default()).collect();
    let mut tasks = Vec::new();
    for ((process, _), log) in members.iter().zip(&logs) {
        let (address, ready) = (process.address(), (process.ip, 18_140).into());
        let caller = call_host(address, log.clone(), written.clone());
        tasks.push(tokio::task::spawn_local(caller));
        tasks.push(tokio::task::spawn_local(probe_host(ready, log.clone())));
    }
    for version in 2..2 + VERSIONS {
        let mut away: Vec<usize> = (0..members.len()).collect();
        away.shuffle(&mut random);
        away.truncate(random.random_range(0..=MAX_AWAY));
        for index in &away {
            let fault = match random.random_range(0..4) {
                0 => Fault::Refuse(503),
                1 => Fault::Refuse(429),
                2 => Fault::LoseAnswers,
                _ => Fault::Silent,
            };
            let path = if random.random_bool(0.3) {
                "/kv-watch"
            } else {
                "/"
            };
            members[*index].1.faulty_path.set(path);
            members[*index].1.fault.set(fault);
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(0..2_000))).await;
        *written.borrow_mut() = version;
        store.write("op/config", &configuration(version));
        tokio::time::sleep(Duration::from_millis(random.random_range(1_000..2_500))).await;
        for (_, door) in &members {
            door.fault.set(Fault::None);
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(500..1_500))).await;
    }
    for task in tasks {
        task.abort();
    }
    let calls: usize = logs.iter().map(|log| log.borrow().calls.len()).sum();
    let last = logs
        .iter()
        .filter_map(|log| log.borrow().calls.last().copied());
    let last = last.map(|call| call.version).min();
    let mut wrong = violations(&logs);
    if last != Some(1 + VERSIONS) {
        wrong.push(format!("a host ends with version {last:?}"));
    }
    println!("seed {seed}: {calls} answers; {} violations", wrong.len());
    wrong
}
