//! Hosts of a region that the store turns away because they watch it, beside changes of the configuration.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::hosts::HostProcess;
use crate::support::{Door, FakeStore, Fault, entry, start_target};

const HOSTS: u8 = 9;
/// The store turns away at most this many hosts at a time: 0.355 of them.
const MAX_AWAY: usize = 3;
/// Hosts have found one another, and few of them watch, after this time.
const SETTLING_TIME: Duration = Duration::from_secs(6);
const RUN_TIME: Duration = Duration::from_secs(24);
/// A host is in touch when it was not turned away for this long.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(5);
/// A version is in force at hosts in touch within this time.
const APPLY_TIME: Duration = Duration::from_secs(3);
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

struct Member {
    process: HostProcess,
    door: Rc<Door>,
    /// When the store last turned the host away.
    away_at: Option<Instant>,
}

impl Member {
    fn is_in_touch(&self) -> bool {
        let is_served = self.door.fault.get() == Fault::None;
        is_served && self.away_at.is_none_or(|at| at.elapsed() >= IN_TOUCH_AFTER)
    }

    fn turn_away(&mut self, fault: Fault, path: &'static str) {
        self.door.faulty_path.set(path);
        self.door.fault.set(fault);
    }

    fn serve(&mut self) {
        if self.door.fault.replace(Fault::None) != Fault::None {
            self.away_at = Some(Instant::now());
        }
    }
}

/// Returns the configuration of a version, which has a route of its own and none of the versions before.
fn configuration(version: u64) -> Value {
    json!({ "version": version,
        "routes": [{ "name": "route", "host": "a.example", "prefix": format!("/v{version}/"), "kind": "idempotent",
            "timeout_ms": 1_000, "target_latency_ms": 400, "service": "s", "max_attempts": 1 }],
        "services": [{ "name": "s", "max_conns": 1_000, "cold_start_s": 0.0, "cold_per_s": 0.0 }] })
}

/// Returns the status of the answer to a request; zero without one.
async fn status_of(member: &Member, path: &str) -> u16 {
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nlacewingstile-attempt-id: a1\r\nconnection: close\r\n\r\n"
    );
    let answer = async {
        let mut stream = TcpStream::connect(member.process.address()).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await?;
        std::io::Result::Ok(text)
    };
    let text = answer.await.unwrap_or_default();
    let status = text.split(' ').nth(1);
    status
        .and_then(|status| status.parse().ok())
        .unwrap_or_default()
}

/// Returns what is wrong at the hosts in touch after a version was written.
async fn violations(members: &[Member], version: u64) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, member) in members.iter().enumerate() {
        if !member.is_in_touch() {
            continue;
        }
        let added = status_of(member, &format!("/v{version}/x")).await;
        let dropped = status_of(member, &format!("/v{}/x", version - 1)).await;
        if added == 404 || dropped != 404 {
            violations.push(format!(
                "host {number}, version {version}: {added} on its route, {dropped} on the one before"
            ));
        }
    }
    violations
}

/// Plays a seed, and returns what was wrong.
pub(crate) async fn run(network: u8, seed: u64) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let store = FakeStore::start().await;
    let target = start_target("one").await;
    store.write("servers/i-1", &entry(target, "ready"));
    store.write("op/config", &configuration(1));
    let mut members = Vec::new();
    for number in 1..=HOSTS {
        let door = Door::open(&store).await;
        let mut process = HostProcess::new(network, number, door.address);
        process.start();
        members.push(Member {
            process,
            door,
            away_at: None,
        });
    }
    tokio::time::sleep(SETTLING_TIME).await;
    let (mut wrong, mut version, mut turns) = (Vec::new(), 1, 0);
    let start = Instant::now();
    while start.elapsed() < RUN_TIME {
        members
            .iter()
            .for_each(|member| _ = member.door.take_watches());
        // A watch of a region with hosts that don't watch ends within this time.
        tokio::time::sleep(Duration::from_millis(random.random_range(2_000..4_000))).await;
        let watching = (0..members.len()).filter(|index| members[*index].door.take_watches() > 0);
        let mut watching: Vec<usize> = watching.collect();
        watching.shuffle(&mut random);
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
        let first = random.random_range(1..=MAX_AWAY);
        for index in watching.into_iter().take(first) {
            members[index].turn_away(fault, path);
        }
        let lead = Duration::from_millis(random.random_range(0..2_500));
        tokio::time::sleep(lead).await;
        version += 1;
        turns += 1;
        store.write("op/config", &configuration(version));
        let written_at = Instant::now();
        let until = APPLY_TIME + Duration::from_millis(random.random_range(200..1_500));
        while written_at.elapsed() < until {
            tokio::time::sleep(PROBE_INTERVAL).await;
            // Hosts that replace the watchers are turned away too, as far as the share allows.
            let away = members
                .iter()
                .filter(|m| m.door.fault.get() != Fault::None)
                .count();
            let replacing = members
                .iter_mut()
                .filter(|member| member.door.take_watches() > 0);
            let replacing = replacing.filter(|member| member.door.fault.get() == Fault::None);
            for member in replacing.take(MAX_AWAY.saturating_sub(away)) {
                member.turn_away(fault, path);
            }
            if written_at.elapsed() >= APPLY_TIME {
                wrong.extend(violations(&members, version).await);
            }
        }
        members.iter_mut().for_each(Member::serve);
    }
    println!("seed {seed}: {turns} versions; {} violations", wrong.len());
    wrong
}
