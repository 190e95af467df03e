//! The at-most-once protocol of one region in memory, in virtual time.
//!
//! The schedule of reads is that of the crate `node`: each host reads the map every 3 s, and at once, but not within
//! 500 ms of the last read, when the protocol asks for it or another host shows a newer map.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use lw_base::{MonoMs, WallMs};
use lw_idem::{
    BodyDigest, Ending, Idem, IdemAction, IdemMessage, IdemRequest, IdemRoute, Instance, MapHost,
    ProcessStatus, ProposalResult, RecordKey, ShardMap, Ticket, issue_time,
};
use lw_peer::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::slopes::service::KvCalls;
use crate::slopes::target::host_name;
use crate::slopes::wire::Wire;

const STEP_MS: u64 = 100;
const READ_MS: u64 = 3_000;
const READ_GAP_MS: u64 = 500;
const PROBE_MS: u64 = 1_000;
/// From the loss of a host until its members take it as dead: suspicion 3 s and 5 s.
const LOST_MS: u64 = 8_000;
const WALL_START_MS: u64 = 1_800_000_000_000;
const TABLE_BYTES: usize = 64 * 1024 * 1024;

struct Host {
    idem: Idem,
    instance: Instance,
    up: bool,
    next_read: u64,
    last_read: u64,
    next_probe: u64,
}

/// The hosts of a region, their map in the service, and what was counted.
pub(crate) struct ShardRegion {
    pub(crate) now: u64,
    pub(crate) calls: KvCalls,
    /// Reads and writes in each second so far.
    pub(crate) by_second: Vec<[u32; 2]>,
    /// Messages about keys and their frame bytes; transfers and votes are not among them.
    pub(crate) key_messages: u64,
    pub(crate) key_bytes: u64,
    pub(crate) ended: u64,
    /// The encoded size of the answer of each run.
    pub(crate) answer_bytes: usize,
    hosts: Vec<Host>,
    stored: Option<Arc<ShardMap>>,
    version: u64,
    lost: Vec<(u64, usize)>,
    inbox: VecDeque<(usize, Instance, IdemMessage)>,
    wire: Wire,
    rng: ChaCha8Rng,
    tickets: u64,
}

impl ShardRegion {
    /// Starts the hosts of a region without a map in the service.
    pub(crate) fn new(hosts: usize, seed: u64) -> Self {
        let mut region = Self {
            now: 1_000,
            calls: KvCalls::default(),
            by_second: Vec::new(),
            key_messages: 0,
            key_bytes: 0,
            ended: 0,
            answer_bytes: 0,
            hosts: Vec::new(),
            stored: None,
            version: 0,
            lost: Vec::new(),
            inbox: VecDeque::new(),
            wire: Wire::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            tickets: 0,
        };
        for number in 0..hosts {
            let host = region.host(number);
            region.hosts.push(host);
        }
        region.introduce();
        region
    }

    fn host(&mut self, number: usize) -> Host {
        let instance = Instance {
            host: host_name(44, number).into(),
            incarnation: WALL_START_MS + self.now,
        };
        let me = MapHost {
            instance: instance.clone(),
            zone: format!("zone-{:03}", number % 3).into(),
        };
        Host {
            idem: Idem::new(me, TABLE_BYTES, MonoMs(self.now)),
            instance,
            up: true,
            last_read: 0,
            next_read: self.now + self.rng.random_range(0..1_000),
            next_probe: self.now + self.rng.random_range(0..PROBE_MS),
        }
    }

    /// Makes all live hosts known to each other.
    fn introduce(&self) {
        for host in self.hosts.iter().filter(|host| host.up) {
            for other in self.hosts.iter().filter(|other| other.up) {
                host.idem.on_member(&other.instance, ProcessStatus::Alive);
            }
        }
    }

    /// Stops a host without notice.
    pub(crate) fn kill(&mut self, host: usize) {
        self.hosts[host].up = false;
        self.lost.push((self.now + LOST_MS, host));
    }

    /// Starts a host again, without its memory.
    pub(crate) fn restart(&mut self, host: usize) {
        self.hosts[host] = self.host(host);
        self.introduce();
    }

    /// Starts all hosts again at once, without their memory; the service keeps the map.
    pub(crate) fn restart_all(&mut self) {
        for host in 0..self.hosts.len() {
            let old = self.hosts[host].instance.clone();
            self.hosts[host] = self.host(host);
            for other in &self.hosts {
                other.idem.on_member(&old, ProcessStatus::Lost);
            }
        }
        self.introduce();
    }

    pub(crate) fn map(&self) -> Option<&ShardMap> {
        self.stored.as_deref()
    }

    pub(crate) fn records(&self) -> usize {
        self.hosts.iter().map(|host| host.idem.record_count()).sum()
    }

    pub(crate) fn run_for(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            self.step();
            self.now += STEP_MS;
        }
    }

    /// Sends a new non-idempotent request through a random entry host; returns true when it was forwarded.
    pub(crate) fn request(&mut self) -> bool {
        let entry = self.rng.random_range(0..self.hosts.len());
        let random = self.rng.random::<[u8; 10]>();
        let id = uuid::Builder::from_unix_timestamp_millis(WALL_START_MS + self.now, &random);
        let key = RecordKey {
            scope: self.rng.random(),
            id: id.into_uuid(),
        };
        self.tickets += 1;
        let request = IdemRequest {
            ticket: Ticket(self.tickets),
            key,
            issued: issue_time(key.id),
            digest: BodyDigest([7; 16]),
            first_attempt: true,
            deadline: MonoMs(self.now + 60_000),
        };
        let (owner, forwarded) = match self.hosts[entry].idem.route(key) {
            IdemRoute::Forward(owner) => (self.number(&owner), true),
            IdemRoute::Here | IdemRoute::NoMap => (Some(entry), false),
        };
        let Some(owner) = owner else { return false };
        let mut out = Vec::new();
        let (now, wall) = self.times();
        let idem = &self.hosts[owner].idem;
        idem.on_request(&request, now, wall, &mut out);
        self.act(owner, out);
        self.deliver();
        forwarded
    }

    fn times(&self) -> (MonoMs, WallMs) {
        (MonoMs(self.now), WallMs(WALL_START_MS + self.now))
    }

    fn step(&mut self) {
        let second = (self.now / 1_000) as usize;
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, [0; 2]);
        }
        self.tell_losses();
        for host in 0..self.hosts.len() {
            if !self.hosts[host].up {
                continue;
            }
            self.probe(host);
            self.read(host);
            let (now, wall) = self.times();
            let mut out = Vec::new();
            self.hosts[host].idem.tick(now, wall, &mut out);
            self.act(host, out);
        }
        self.deliver();
    }

    fn tell_losses(&mut self) {
        let due: Vec<usize> = self
            .lost
            .iter()
            .filter(|(at, _)| *at <= self.now)
            .map(|(_, host)| *host)
            .collect();
        self.lost.retain(|(at, _)| *at > self.now);
        for lost in due {
            let instance = self.hosts[lost].instance.clone();
            if self.hosts[lost].up {
                continue;
            }
            for host in &self.hosts {
                host.idem.on_member(&instance, ProcessStatus::Lost);
            }
        }
    }

    fn probe(&mut self, host: usize) {
        if self.now < self.hosts[host].next_probe {
            return;
        }
        self.hosts[host].next_probe = self.now + PROBE_MS;
        let peer = self.rng.random_range(0..self.hosts.len());
        if peer == host || !self.hosts[peer].up {
            return;
        }
        let (now, _) = self.times();
        let (from, to) = (&self.hosts[host], &self.hosts[peer]);
        let revision = from.idem.map_revision();
        let evidence = to.idem.on_probe(&from.instance, revision, now);
        from.idem.on_probe_ack(&to.instance, now, evidence, now);
    }

    fn read(&mut self, host: usize) {
        if self.now < self.hosts[host].next_read {
            return;
        }
        self.hosts[host].last_read = self.now;
        self.hosts[host].next_read = self.now + READ_MS;
        self.calls.reads += 1.0;
        self.count_in_second(0);
        let (now, wall) = self.times();
        let mut out = Vec::new();
        let map = self.stored.clone();
        let idem = &self.hosts[host].idem;
        idem.on_map(self.version, map.as_deref(), now, now, wall, &mut out);
        self.act(host, out);
    }

    fn read_soon(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        let soon = self.now.max(host.last_read + READ_GAP_MS);
        host.next_read = host.next_read.min(soon);
    }

    fn act(&mut self, host: usize, actions: Vec<IdemAction>) {
        for action in actions {
            match action {
                IdemAction::Send { to, message } => self.send(host, &to, message),
                IdemAction::Run { key, claim, .. } => {
                    let body = Bytes::from(vec![0x61; self.answer_bytes]);
                    let ending = Ending::complete(200, "application/json", body);
                    let (_, wall) = self.times();
                    let mut out = Vec::new();
                    let idem = &self.hosts[host].idem;
                    idem.on_ended(key, claim, &ending, wall, &mut out);
                    self.ended += 1;
                    self.act(host, out);
                }
                IdemAction::Propose { map, if_version } => self.write(host, map, if_version),
                IdemAction::ReadMap => self.read_soon(host),
                IdemAction::Replay { .. } | IdemAction::Refuse { .. } => {}
            }
        }
    }

    fn send(&mut self, host: usize, to: &Instance, message: IdemMessage) {
        let about_key = matches!(
            message,
            IdemMessage::Claim { .. } | IdemMessage::ClaimAck { .. } | IdemMessage::DoneCopy { .. }
        );
        if about_key {
            self.key_messages += 1;
            self.key_bytes += self.wire.bytes(&Message::Idem(message.clone())) as u64;
        }
        let Some(number) = self.number(to) else {
            return;
        };
        let from = self.hosts[host].instance.clone();
        self.inbox.push_back((number, from, message));
    }

    fn deliver(&mut self) {
        while let Some((to, from, message)) = self.inbox.pop_front() {
            if !self.hosts[to].up {
                continue;
            }
            let (now, _) = self.times();
            let mut out = Vec::new();
            let idem = &self.hosts[to].idem;
            idem.on_message(&from, message, now, &mut out);
            self.act(to, out);
        }
    }

    fn write(&mut self, host: usize, map: Arc<ShardMap>, if_version: u64) {
        self.calls.writes += 1.0;
        self.count_in_second(1);
        let result = if if_version == self.version {
            self.version += 1;
            self.stored = Some(map);
            for other in (0..self.hosts.len()).filter(|other| *other != host) {
                self.read_soon(other);
            }
            ProposalResult::Written {
                version: self.version,
            }
        } else {
            ProposalResult::NotWritten
        };
        let (now, wall) = self.times();
        let mut out = Vec::new();
        let idem = &self.hosts[host].idem;
        idem.on_proposed(result, now, wall, &mut out);
        self.act(host, out);
    }

    fn count_in_second(&mut self, column: usize) {
        let second = (self.now / 1_000) as usize;
        if let Some(counts) = self.by_second.get_mut(second) {
            counts[column] += 1;
        }
    }

    /// Returns the number of a process that runs.
    fn number(&self, instance: &Instance) -> Option<usize> {
        let known = |host: &Host| host.up && host.instance == *instance;
        self.hosts.iter().position(known)
    }
}
