//! Simulates the at-most-once protocol of one region in memory, in virtual time.
//!
//! Hosts read the shard map as in the crate `node`: every 3 s, and immediately when the protocol requests it or another
//! host reports a newer map, but at least 500 ms after the last read.

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

use crate::slopes::frame_sizer::FrameSizer;
use crate::slopes::kv_service::KvCalls;
use crate::slopes::target::host_name;

const STEP_MS: u64 = 100;
const READ_INTERVAL_MS: u64 = 3_000;
const MIN_READ_INTERVAL_MS: u64 = 500;
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Assumed time from the loss of a host until the other members consider it dead: 3 s, then 5 s of suspicion.
const DEATH_DETECTION_MS: u64 = 8_000;
const WALL_START_MS: u64 = 1_800_000_000_000;
const TABLE_BYTES: usize = 64 * 1024 * 1024;

struct Host {
    idem: Idem,
    instance: Instance,
    is_running: bool,
    next_read_ms: u64,
    last_read_ms: u64,
    next_probe_ms: u64,
}

/// The hosts of a simulated region, their stored shard map, and the counters of the measurement.
pub(crate) struct ShardRegion {
    pub(crate) now_ms: u64,
    pub(crate) calls: KvCalls,
    /// Number of reads and writes by second.
    pub(crate) calls_by_second: Vec<[u32; 2]>,
    /// Number of messages about keys, without transfers and votes.
    pub(crate) key_messages: u64,
    /// Frame bytes of those messages.
    pub(crate) key_bytes: u64,
    pub(crate) completed_runs: u64,
    /// Size of the response body of each run, in bytes.
    pub(crate) answer_bytes: usize,
    hosts: Vec<Host>,
    stored: Option<Arc<ShardMap>>,
    version: u64,
    undetected_losses: Vec<(u64, usize)>,
    inbox: VecDeque<(usize, Instance, IdemMessage)>,
    frame_sizer: FrameSizer,
    rng: ChaCha8Rng,
    last_ticket: u64,
}

impl ShardRegion {
    /// Starts the hosts of a region without a stored shard map.
    pub(crate) fn new(hosts: usize, seed: u64) -> Self {
        let mut region = Self {
            now_ms: 1_000,
            calls: KvCalls::default(),
            calls_by_second: Vec::new(),
            key_messages: 0,
            key_bytes: 0,
            completed_runs: 0,
            answer_bytes: 0,
            hosts: Vec::new(),
            stored: None,
            version: 0,
            undetected_losses: Vec::new(),
            inbox: VecDeque::new(),
            frame_sizer: FrameSizer::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_ticket: 0,
        };
        for host_index in 0..hosts {
            let host = region.new_host(host_index);
            region.hosts.push(host);
        }
        region.announce_live_hosts();
        region
    }

    fn new_host(&mut self, host_index: usize) -> Host {
        let instance = Instance {
            host: host_name(44, host_index).into(),
            incarnation: WALL_START_MS + self.now_ms,
        };
        let me = MapHost {
            instance: instance.clone(),
            zone: format!("zone-{:03}", host_index % 3).into(),
        };
        Host {
            idem: Idem::new(me, TABLE_BYTES, MonoMs(self.now_ms)),
            instance,
            is_running: true,
            last_read_ms: 0,
            next_read_ms: self.now_ms + self.rng.random_range(0..1_000),
            next_probe_ms: self.now_ms + self.rng.random_range(0..PROBE_INTERVAL_MS),
        }
    }

    /// Reports all running hosts to each other as alive.
    fn announce_live_hosts(&self) {
        for host in self.hosts.iter().filter(|host| host.is_running) {
            for other in self.hosts.iter().filter(|other| other.is_running) {
                host.idem.on_member(&other.instance, ProcessStatus::Alive);
            }
        }
    }

    /// Kills a host without a drain.
    pub(crate) fn kill(&mut self, host: usize) {
        self.hosts[host].is_running = false;
        self.undetected_losses
            .push((self.now_ms + DEATH_DETECTION_MS, host));
    }

    /// Restarts a host with empty memory.
    pub(crate) fn restart(&mut self, host: usize) {
        self.hosts[host] = self.new_host(host);
        self.announce_live_hosts();
    }

    /// Restarts all hosts at once with empty memory; the service keeps the shard map.
    pub(crate) fn restart_all(&mut self) {
        for host in 0..self.hosts.len() {
            let old = self.hosts[host].instance.clone();
            self.hosts[host] = self.new_host(host);
            for other in &self.hosts {
                other.idem.on_member(&old, ProcessStatus::Lost);
            }
        }
        self.announce_live_hosts();
    }

    pub(crate) fn map(&self) -> Option<&ShardMap> {
        self.stored.as_deref()
    }

    pub(crate) fn records(&self) -> usize {
        self.hosts.iter().map(|host| host.idem.record_count()).sum()
    }

    pub(crate) fn run_for(&mut self, span_ms: u64) {
        let end = self.now_ms + span_ms;
        while self.now_ms < end {
            self.step();
            self.now_ms += STEP_MS;
        }
    }

    /// Sends a new non-idempotent request through a random entry host.
    ///
    /// Returns true if it was forwarded to another host.
    pub(crate) fn request(&mut self) -> bool {
        let entry = self.rng.random_range(0..self.hosts.len());
        let random = self.rng.random::<[u8; 10]>();
        let id = uuid::Builder::from_unix_timestamp_millis(WALL_START_MS + self.now_ms, &random);
        let key = RecordKey {
            scope: self.rng.random(),
            id: id.into_uuid(),
        };
        self.last_ticket += 1;
        let request = IdemRequest {
            ticket: Ticket(self.last_ticket),
            key,
            issued: issue_time(key.id),
            digest: BodyDigest([7; 16]),
            first_attempt: true,
            deadline: MonoMs(self.now_ms + 60_000),
        };
        let (owner, forwarded) = match self.hosts[entry].idem.route(key) {
            IdemRoute::Forward(owner) => (self.host_index(&owner), true),
            IdemRoute::Here | IdemRoute::NoMap => (Some(entry), false),
        };
        let Some(owner) = owner else { return false };
        let mut out = Vec::new();
        let (now, wall) = self.times();
        let idem = &self.hosts[owner].idem;
        idem.on_request(&request, now, wall, &mut out);
        self.apply_actions(owner, out);
        self.deliver();
        forwarded
    }

    fn times(&self) -> (MonoMs, WallMs) {
        (MonoMs(self.now_ms), WallMs(WALL_START_MS + self.now_ms))
    }

    fn step(&mut self) {
        let second = (self.now_ms / 1_000) as usize;
        if self.calls_by_second.len() <= second {
            self.calls_by_second.resize(second + 1, [0; 2]);
        }
        self.report_losses();
        for host in 0..self.hosts.len() {
            if !self.hosts[host].is_running {
                continue;
            }
            self.probe(host);
            self.read(host);
            let (now, wall) = self.times();
            let mut out = Vec::new();
            self.hosts[host].idem.tick(now, wall, &mut out);
            self.apply_actions(host, out);
        }
        self.deliver();
    }

    fn report_losses(&mut self) {
        let due: Vec<usize> = self
            .undetected_losses
            .iter()
            .filter(|(at, _)| *at <= self.now_ms)
            .map(|(_, host)| *host)
            .collect();
        self.undetected_losses.retain(|(at, _)| *at > self.now_ms);
        for lost in due {
            let instance = self.hosts[lost].instance.clone();
            if self.hosts[lost].is_running {
                continue;
            }
            for host in &self.hosts {
                host.idem.on_member(&instance, ProcessStatus::Lost);
            }
        }
    }

    fn probe(&mut self, host: usize) {
        if self.now_ms < self.hosts[host].next_probe_ms {
            return;
        }
        self.hosts[host].next_probe_ms = self.now_ms + PROBE_INTERVAL_MS;
        let peer = self.rng.random_range(0..self.hosts.len());
        if peer == host || !self.hosts[peer].is_running {
            return;
        }
        let (now, _) = self.times();
        let (from, to) = (&self.hosts[host], &self.hosts[peer]);
        let revision = from.idem.map_revision();
        let evidence = to.idem.on_probe(&from.instance, revision, now);
        from.idem.on_probe_ack(&to.instance, now, evidence, now);
    }

    fn read(&mut self, host: usize) {
        if self.now_ms < self.hosts[host].next_read_ms {
            return;
        }
        self.hosts[host].last_read_ms = self.now_ms;
        self.hosts[host].next_read_ms = self.now_ms + READ_INTERVAL_MS;
        self.calls.reads += 1.0;
        self.count_in_second(0);
        let (now, wall) = self.times();
        let mut out = Vec::new();
        let map = self.stored.clone();
        let idem = &self.hosts[host].idem;
        idem.on_map(self.version, map.as_deref(), now, now, wall, &mut out);
        self.apply_actions(host, out);
    }

    fn schedule_read(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        let earliest_ms = self.now_ms.max(host.last_read_ms + MIN_READ_INTERVAL_MS);
        host.next_read_ms = host.next_read_ms.min(earliest_ms);
    }

    fn apply_actions(&mut self, host: usize, actions: Vec<IdemAction>) {
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
                    self.completed_runs += 1;
                    self.apply_actions(host, out);
                }
                IdemAction::Propose { map, if_version } => self.write(host, map, if_version),
                IdemAction::ReadMap => self.schedule_read(host),
                IdemAction::Replay { .. } | IdemAction::Refuse { .. } => {}
            }
        }
    }

    fn send(&mut self, host: usize, to: &Instance, message: IdemMessage) {
        let is_key_message = matches!(
            message,
            IdemMessage::Claim { .. } | IdemMessage::ClaimAck { .. } | IdemMessage::DoneCopy { .. }
        );
        if is_key_message {
            self.key_messages += 1;
            self.key_bytes += self
                .frame_sizer
                .frame_bytes(&Message::Idem(message.clone())) as u64;
        }
        let Some(host_index) = self.host_index(to) else {
            return;
        };
        let from = self.hosts[host].instance.clone();
        self.inbox.push_back((host_index, from, message));
    }

    fn deliver(&mut self) {
        while let Some((to, from, message)) = self.inbox.pop_front() {
            if !self.hosts[to].is_running {
                continue;
            }
            let (now, _) = self.times();
            let mut out = Vec::new();
            let idem = &self.hosts[to].idem;
            idem.on_message(&from, message, now, &mut out);
            self.apply_actions(to, out);
        }
    }

    fn write(&mut self, host: usize, map: Arc<ShardMap>, if_version: u64) {
        self.calls.writes += 1.0;
        self.count_in_second(1);
        let result = if if_version == self.version {
            self.version += 1;
            self.stored = Some(map);
            for other in (0..self.hosts.len()).filter(|other| *other != host) {
                self.schedule_read(other);
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
        self.apply_actions(host, out);
    }

    fn count_in_second(&mut self, column: usize) {
        let second = (self.now_ms / 1_000) as usize;
        if let Some(counts) = self.calls_by_second.get_mut(second) {
            counts[column] += 1;
        }
    }

    /// Returns the index of the host that runs the given instance, if any.
    fn host_index(&self, instance: &Instance) -> Option<usize> {
        let known = |host: &Host| host.is_running && host.instance == *instance;
        self.hosts.iter().position(known)
    }
}
