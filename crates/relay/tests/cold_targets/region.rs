//! The hosts of one region that share the limits of cold targets, with the faults that befall them.

use std::net::Ipv4Addr;
use std::sync::Arc;

use lw_admit::ColdStartLimiter;
use lw_base::prelude::*;
use lw_base::stable_hash;
use lw_mesh::{Heartbeat, HostAddress, HostStatus, HostTable, ListedHost, Stage, StateVersion};
use lw_relay::cold_start_quota;

/// The beginning of a run; a host that started an hour earlier has seen its whole region.
const START: MonoMs = MonoMs(10_000_000);
const EARLIER_START_MS: u64 = 3_600_000;
const STEP_MS: u64 = 10;
const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// Hosts exchange heartbeats for this long before the first fault.
const WARM_UP_MS: u64 = 3_000;
/// Hosts try to send to each cold target at this interval.
const SEND_INTERVAL_MS: u64 = 50;

/// All hosts together send this many requests per second to a target that they take for warm.
const WARM_PER_S: usize = 16;

/// What happens to the hosts, by time in milliseconds after the warm-up.
pub(crate) struct Faults {
    /// Whether a datagram between two hosts arrives.
    pub(crate) connects: fn(at_ms: u64, from: usize, to: usize) -> bool,
    /// Whether a host stands still.
    pub(crate) is_frozen: fn(at_ms: u64, host: usize) -> bool,
    /// The times at which a host is killed and at which it starts again.
    pub(crate) restart_ms: fn(host: usize) -> Option<(u64, u64)>,
    /// Whether a host announces that it leaves.
    pub(crate) is_leaving: fn(at_ms: u64, host: usize) -> bool,
    /// When a host learns that the targets are cold. Until then it sends a request to each target at its usual rate.
    pub(crate) news_ms: fn(host: usize) -> u64,
    /// One in this many datagrams is lost.
    pub(crate) loss_one_in: u64,
}

pub(crate) const NO_FAULTS: Faults = Faults {
    connects: |_, _, _| true,
    is_frozen: |_, _| false,
    restart_ms: |_| None,
    is_leaving: |_, _| false,
    news_ms: |_| 0,
    loss_one_in: 20,
};

struct ModelHost {
    table: HostTable,
    started_at: MonoMs,
    is_running: bool,
    limiters: Vec<ColdStartLimiter>,
    /// Heartbeats that arrived while the host stood still.
    unread: Vec<Heartbeat>,
}

/// The hosts of a region, each of which sends as many requests to cold targets as it may.
pub(crate) struct Region<'a> {
    hosts: Vec<ModelHost>,
    faults: &'a Faults,
    limit_per_s: f64,
    now: MonoMs,
    /// The number of targets that are cold at the same time, each with a selection of hosts of its own.
    targets: usize,
    /// The times of the requests to each target.
    pub(crate) sent_at: Vec<Vec<MonoMs>>,
}

fn address(host: usize, started_ms: u64) -> HostAddress {
    let [high, low] = (host as u16).to_be_bytes();
    HostAddress {
        host: format!("h{host}").into(),
        ip: Ipv4Addr::new(10, 0, high, low),
        zone: "z".into(),
        region: "north".into(),
        started_ms,
    }
}

/// Returns the processor share of a host in thousandths: one in five is four times as large as the others.
fn capacity_permille(host: usize) -> u16 {
    if host.is_multiple_of(5) { 500 } else { 120 }
}

impl ModelHost {
    fn new(host: usize, targets: usize, started_at: MonoMs) -> Self {
        let name: Arc<str> = format!("h{host}").into();
        let capacity_permille = capacity_permille(host);
        Self {
            table: HostTable::new(name, "north".into(), Vec::new(), capacity_permille),
            started_at,
            is_running: true,
            limiters: vec![ColdStartLimiter::default(); targets],
            unread: Vec::new(),
        }
    }
}

impl<'a> Region<'a> {
    pub(crate) fn start(
        hosts: usize,
        targets: usize,
        limit_per_s: f64,
        faults: &'a Faults,
    ) -> Self {
        let started_at = MonoMs(START.0 - EARLIER_START_MS);
        let hosts = (0..hosts).map(|host| ModelHost::new(host, targets, started_at));
        let mut region = Self {
            hosts: hosts.collect(),
            faults,
            limit_per_s,
            now: START,
            targets,
            sent_at: vec![Vec::new(); targets],
        };
        for host in 0..region.hosts.len() {
            region.read_listing(host);
        }
        region
    }

    /// Lets time pass until `until_ms` after the warm-up. Targets are cold from `cold_ms` on.
    pub(crate) fn run(&mut self, cold_ms: std::ops::Range<u64>, until_ms: u64) {
        while self.now < START.plus_ms(WARM_UP_MS + until_ms) {
            let elapsed_ms = self.now.since_ms(START);
            let at_ms = elapsed_ms.saturating_sub(WARM_UP_MS);
            let may_send = elapsed_ms >= WARM_UP_MS
                && cold_ms.contains(&at_ms)
                && at_ms.is_multiple_of(SEND_INTERVAL_MS);
            for host in 0..self.hosts.len() {
                self.step(host, at_ms, may_send);
            }
            self.now = self.now.plus_ms(STEP_MS);
        }
    }

    fn step(&mut self, host: usize, at_ms: u64, may_send: bool) {
        if let Some((killed_ms, started_ms)) = (self.faults.restart_ms)(host) {
            if at_ms == killed_ms && at_ms > 0 {
                self.hosts[host].is_running = false;
            }
            if at_ms == started_ms && at_ms > 0 {
                self.restart(host);
            }
        }
        if !self.hosts[host].is_running || (self.faults.is_frozen)(at_ms, host) {
            return;
        }
        // A host that wakes may serve requests before it reads the heartbeats that have arrived.
        let news_ms = (self.faults.news_ms)(host);
        if news_ms > 0 && at_ms == news_ms {
            for limiter in &mut self.hosts[host].limiters {
                limiter.hold(self.now);
            }
        }
        if at_ms < news_ms {
            self.send_warm(host);
        } else if may_send {
            self.send_requests(host);
        }
        let now = self.now;
        for heartbeat in std::mem::take(&mut self.hosts[host].unread) {
            self.hosts[host].table.record_heartbeat(now, &heartbeat);
        }
        // Hosts start within 400 ms, so their heartbeats are spread over the interval.
        let phase_ms = host as u64 * 70 % HEARTBEAT_INTERVAL_MS / STEP_MS * STEP_MS;
        if now.since_ms(START) % HEARTBEAT_INTERVAL_MS == phase_ms {
            self.send_heartbeat(host, at_ms);
        }
    }

    fn restart(&mut self, host: usize) {
        self.hosts[host] = ModelHost::new(host, self.targets, self.now);
        self.read_listing(host);
    }

    /// Reads the entries of all hosts in the platform's store. They outlive their processes.
    fn read_listing(&mut self, host: usize) {
        for other in 0..self.hosts.len() {
            let listed = ListedHost {
                address: address(other, 1),
                capacity_permille: capacity_permille(other),
            };
            self.hosts[host].table.record_listed_host(listed);
        }
    }

    fn send_requests(&mut self, host: usize) {
        let now = self.now;
        let ModelHost {
            table,
            started_at,
            limiters,
            ..
        } = &mut self.hosts[host];
        let up_ms = now.since_ms(*started_at);
        for (target, limiter) in limiters.iter_mut().enumerate() {
            let incarnation = format!("t{target}#1");
            let quota = cold_start_quota(up_ms, table, &incarnation, self.limit_per_s);
            while quota.is_some_and(|quota| limiter.try_reserve(now, quota)) {
                limiter.record_sent(now);
                self.sent_at[target].push(now);
            }
        }
    }

    /// Sends a request to each target at the usual rate of a host that takes it for warm.
    fn send_warm(&mut self, host: usize) {
        let interval_ms = (self.hosts.len() * 1_000 / WARM_PER_S) as u64;
        let elapsed_ms = self.now.since_ms(START);
        for target in 0..self.targets {
            let phase = stable_hash(format!("{host} {target}").as_bytes()) % interval_ms;
            if elapsed_ms % interval_ms / STEP_MS == phase / STEP_MS {
                self.hosts[host].limiters[target].record_unlimited(self.now);
                self.sent_at[target].push(self.now);
            }
        }
    }

    fn send_heartbeat(&mut self, sender: usize, at_ms: u64) {
        let now = self.now;
        let ModelHost {
            table, started_at, ..
        } = &mut self.hosts[sender];
        table.prune(now);
        let stage = match (self.faults.is_leaving)(at_ms, sender) {
            true => Stage::Leaving,
            false => Stage::Ready,
        };
        let heartbeat = Heartbeat {
            address: address(sender, started_at.0),
            status: HostStatus {
                stage,
                as_of: StateVersion {
                    era: 0,
                    revision: 7,
                },
                platform_age_ms: 100,
                platform_contact_age_ms: u16::MAX,
                capacity_permille: capacity_permille(sender),
                services: Vec::new(),
                earlier_states: 0,
            },
            targets: Vec::new(),
            placed: Vec::new(),
            leaving: Vec::new(),
            sightings: table.sightings(now),
            parts: Vec::new(),
        };
        for ip in table.recipients().same_region {
            let [_, _, high, low] = ip.octets();
            let receiver = usize::from(u16::from_be_bytes([high, low]));
            let datagram = format!("{} {sender} {receiver}", now.0);
            let is_lost = stable_hash(datagram.as_bytes()).is_multiple_of(self.faults.loss_one_in);
            if is_lost || !(self.faults.connects)(at_ms, sender, receiver) {
                continue;
            }
            let host = &mut self.hosts[receiver];
            if (self.faults.is_frozen)(at_ms, receiver) {
                host.unread.push(heartbeat.clone());
            } else if host.is_running {
                host.table.record_heartbeat(now, &heartbeat);
            }
        }
    }

    /// Returns the largest number of requests that one target received in one second while it was cold.
    pub(crate) fn peak_per_s(&self) -> usize {
        let cold_from = START.plus_ms(WARM_UP_MS);
        let peaks = self.sent_at.iter().map(|sent_at| {
            let cold = &sent_at[sent_at.partition_point(|at| *at < cold_from)..];
            let windows = cold.iter().enumerate().map(|(first, start)| {
                let later = cold[first..].iter();
                later.take_while(|at| at.since_ms(*start) < 1_000).count()
            });
            windows.max().unwrap_or(0)
        });
        peaks.max().unwrap_or(0)
    }

    /// Returns the mean number of requests per target and second over `seconds`.
    pub(crate) fn mean_per_s(&self, seconds: f64) -> f64 {
        let sent: usize = self.sent_at.iter().map(Vec::len).sum();
        sent as f64 / self.sent_at.len() as f64 / seconds
    }
}
