//! The hosts of one region and their heartbeats.

use std::net::Ipv4Addr;
use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::stable_hash;
use lw_mesh::{Heartbeat, HostAddress, HostStatus, HostTable, ListedHost, Stage, StateVersion};

use crate::region::faults::Faults;

/// The beginning of a run; a host that started an hour earlier has seen its whole region.
const START: MonoMs = MonoMs(10_000_000);
const EARLIER_START_MS: u64 = 3_600_000;
/// The length of a step, in milliseconds.
pub const STEP_MS: u64 = 10;
const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// Hosts exchange heartbeats for this long before the first fault.
const WARM_UP_MS: u64 = 3_000;
/// The minimum time between two heartbeats that are sent at once, in milliseconds.
const MIN_CHANGE_INTERVAL_MS: u64 = 150;
/// The other hosts learn of an added host from the platform after this time.
const LISTING_DELAY_MS: u64 = 300;

struct ModelHost<S> {
    table: HostTable,
    started_at: MonoMs,
    is_running: bool,
    /// Heartbeats that arrived while the host stood still.
    unread: Vec<Heartbeat>,
    is_heartbeat_due: bool,
    last_change_sent_at: MonoMs,
    state: S,
}

/// A host at one moment of a run.
pub struct HostMoment<'a, S> {
    /// The current time.
    pub now: MonoMs,
    /// The time after the warm-up, in milliseconds; zero before.
    pub at_ms: u64,
    /// The warm-up is over.
    pub is_warmed_up: bool,
    /// The number of the host.
    pub host: usize,
    /// The time since its process started, in milliseconds.
    pub up_ms: u64,
    /// The other hosts as it knows them.
    pub table: &'a mut HostTable,
    /// Set to send a heartbeat at once.
    pub is_heartbeat_due: &'a mut bool,
    /// Its state.
    pub state: &'a mut S,
}

/// Lets a host act in a step.
type Act<S> = dyn FnMut(HostMoment<'_, S>);
/// Adds to a heartbeat, and returns the recipients that need it besides the usual ones.
type Send<S> = dyn FnMut(HostMoment<'_, S>, &mut Heartbeat) -> Vec<Ipv4Addr>;
/// Reads a heartbeat that the table has recorded.
type Receive<S> = dyn FnMut(HostMoment<'_, S>, &Heartbeat);

/// What the hosts of a run do besides exchanging heartbeats.
pub struct Behaviour<S> {
    /// Creates the state of a process that starts.
    pub new_state: Box<dyn Fn() -> S>,
    /// Called in each step for each host that runs, before it reads the heartbeats that waited while it stood still.
    pub act: Box<Act<S>>,
    /// Called for each heartbeat that a host sends.
    pub send: Box<Send<S>>,
    /// Called for each heartbeat that a host receives.
    pub receive: Box<Receive<S>>,
}

/// The hosts of a region, with a state `S` each.
pub struct Region<'a, S> {
    hosts: Vec<ModelHost<S>>,
    faults: &'a Faults,
    behaviour: Behaviour<S>,
    now: MonoMs,
}

/// Returns the name of a host of the model.
#[must_use]
pub fn model_host_name(host: usize) -> Arc<str> {
    format!("h{host}").into()
}

fn address(host: usize, started_ms: u64) -> HostAddress {
    let [high, low] = (host as u16).to_be_bytes();
    HostAddress {
        host: model_host_name(host),
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

fn listed(host: usize) -> ListedHost {
    ListedHost {
        address: address(host, 1),
        capacity_permille: capacity_permille(host),
    }
}

impl<S> ModelHost<S> {
    fn new(host: usize, started_at: MonoMs, state: S) -> Self {
        let name = model_host_name(host);
        Self {
            table: HostTable::new(name, "north".into(), Vec::new(), capacity_permille(host)),
            started_at,
            is_running: true,
            unread: Vec::new(),
            is_heartbeat_due: false,
            last_change_sent_at: MonoMs::default(),
            state,
        }
    }
}

impl<'a, S> Region<'a, S> {
    /// Creates a region of `hosts` hosts.
    #[must_use]
    pub fn new(hosts: usize, faults: &'a Faults, behaviour: Behaviour<S>) -> Self {
        let started_at = MonoMs(START.0 - EARLIER_START_MS);
        let models = (0..hosts).map(|host| {
            let mut model = ModelHost::new(host, started_at, (behaviour.new_state)());
            model.is_running = (faults.added_ms)(host) == 0;
            model
        });
        let mut region = Self {
            hosts: models.collect(),
            faults,
            behaviour,
            now: START,
        };
        for host in 0..region.hosts.len() {
            region.read_listing(host, 0);
        }
        region
    }

    /// Lets time pass until `until_ms` after the warm-up.
    pub fn run(&mut self, until_ms: u64) {
        while self.now < START.plus_ms(WARM_UP_MS + until_ms) {
            for host in 0..self.hosts.len() {
                self.step(host);
            }
            self.now = self.now.plus_ms(STEP_MS);
        }
    }

    /// Returns the time of the end of the warm-up.
    #[must_use]
    pub fn warmed_up_at() -> MonoMs {
        START.plus_ms(WARM_UP_MS)
    }

    fn at_ms(&self) -> u64 {
        self.now.since_ms(START).saturating_sub(WARM_UP_MS)
    }

    fn step(&mut self, host: usize) {
        let at_ms = self.at_ms();
        if at_ms > 0 {
            self.start_and_end(host, at_ms);
        }
        if !self.hosts[host].is_running || (self.faults.is_frozen)(at_ms, host) {
            return;
        }
        // A host that wakes may serve requests before it reads the heartbeats that have arrived.
        (self.behaviour.act)(moment(self.now, at_ms, host, &mut self.hosts[host]));
        for heartbeat in std::mem::take(&mut self.hosts[host].unread) {
            self.receive(host, &heartbeat);
        }
        // Hosts start within 400 ms, so their heartbeats are spread over the interval.
        let phase_ms = host as u64 * 70 % HEARTBEAT_INTERVAL_MS / STEP_MS * STEP_MS;
        if self.now.since_ms(START) % HEARTBEAT_INTERVAL_MS == phase_ms {
            self.send_heartbeat(host);
        }
        let model = &mut self.hosts[host];
        let since_change_ms = self.now.since_ms(model.last_change_sent_at);
        if model.is_heartbeat_due && since_change_ms >= MIN_CHANGE_INTERVAL_MS {
            model.is_heartbeat_due = false;
            model.last_change_sent_at = self.now;
            self.send_heartbeat(host);
        }
    }

    fn start_and_end(&mut self, host: usize, at_ms: u64) {
        let added_ms = (self.faults.added_ms)(host);
        if at_ms == added_ms {
            self.start(host, at_ms);
        }
        if added_ms > 0 && at_ms == added_ms + LISTING_DELAY_MS {
            for other in &mut self.hosts {
                other.table.record_listed_host(listed(host));
            }
        }
        if let Some((killed_ms, started_ms)) = (self.faults.restart_ms)(host) {
            if at_ms == killed_ms {
                self.hosts[host].is_running = false;
            }
            if at_ms == started_ms {
                self.start(host, at_ms);
            }
        }
    }

    fn start(&mut self, host: usize, at_ms: u64) {
        let state = (self.behaviour.new_state)();
        self.hosts[host] = ModelHost::new(host, self.now, state);
        self.read_listing(host, at_ms);
    }

    /// Reads the entries of all hosts in the platform's store. They outlive their processes.
    fn read_listing(&mut self, host: usize, at_ms: u64) {
        for other in 0..self.hosts.len() {
            if (self.faults.added_ms)(other) <= at_ms {
                self.hosts[host].table.record_listed_host(listed(other));
            }
        }
    }

    fn receive(&mut self, host: usize, heartbeat: &Heartbeat) {
        let (now, at_ms) = (self.now, self.at_ms());
        let model = &mut self.hosts[host];
        if model.table.record_heartbeat(now, heartbeat) {
            (self.behaviour.receive)(moment(now, at_ms, host, model), heartbeat);
        }
    }

    fn send_heartbeat(&mut self, sender: usize) {
        let (now, at_ms) = (self.now, self.at_ms());
        let model = &mut self.hosts[sender];
        model.table.prune(now);
        let stage = match (self.faults.is_leaving)(at_ms, sender) {
            true => Stage::Leaving,
            false => Stage::Ready,
        };
        let status = HostStatus {
            stage,
            as_of: StateVersion {
                era: 0,
                revision: 7,
            },
            platform_age_ms: 100,
            capacity_permille: capacity_permille(sender),
            ..HostStatus::default()
        };
        let mut heartbeat = Heartbeat::new(address(sender, model.started_at.0), status);
        heartbeat.sightings = model.table.sightings(now);
        let mut recipients = model.table.recipients().same_region;
        let further = (self.behaviour.send)(moment(now, at_ms, sender, model), &mut heartbeat);
        for ip in further {
            if !recipients.contains(&ip) {
                recipients.push(ip);
            }
        }
        for ip in recipients {
            let [_, _, high, low] = ip.octets();
            let receiver = usize::from(u16::from_be_bytes([high, low]));
            let datagram = format!("{} {sender} {receiver}", now.0);
            let is_lost = stable_hash(datagram.as_bytes()).is_multiple_of(self.faults.loss_one_in);
            if is_lost || !(self.faults.connects)(at_ms, sender, receiver) {
                continue;
            }
            if (self.faults.is_frozen)(at_ms, receiver) {
                self.hosts[receiver].unread.push(heartbeat.clone());
            } else if self.hosts[receiver].is_running {
                self.receive(receiver, &heartbeat);
            }
        }
    }
}

fn moment<S>(now: MonoMs, at_ms: u64, host: usize, model: &mut ModelHost<S>) -> HostMoment<'_, S> {
    HostMoment {
        now,
        at_ms,
        is_warmed_up: now.since_ms(START) >= WARM_UP_MS,
        host,
        up_ms: now.since_ms(model.started_at),
        table: &mut model.table,
        is_heartbeat_due: &mut model.is_heartbeat_due,
        state: &mut model.state,
    }
}
