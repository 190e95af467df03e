//! Simulates a region: several `Idem` instances, a key-value service, a lossy network and a target that counts runs.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test binary uses a part of the harness"
)]

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use bytes::Bytes;
use lw_base::{ErrorKind, MonoMs, Outcome, WallMs};
use lw_idem::{
    BodyDigest, ClaimId, Ending, Idem, IdemAction, IdemMessage, IdemRequest, IdemRoute, Instance,
    MapHost, ProcessStatus, ProposalResult, RecordKey, ShardMap, Ticket,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

pub const WALL_START: u64 = 1_800_000_000_000;

/// How long after its last acknowledgement a host is considered lost.
const LOST_AFTER_MS: u64 = 9_000;

/// The index of the key-value service in [`Simulation::cut_links`].
const KV: usize = 99;

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Message(Instance, IdemMessage),
    Probe(Instance, u64, MonoMs),
    Ack(Instance, MonoMs, bool),
    Request(IdemRequest),
    KvGet(MonoMs),
    KvGot(u64, Option<Arc<ShardMap>>, MonoMs),
    KvPut(u64, Arc<ShardMap>, u64),
    KvDone(u64, ProposalResult),
    Run(Ticket, RecordKey, ClaimId),
    Ended(RecordKey, ClaimId, Ending),
}

#[derive(Debug)]
struct ScheduledEvent {
    at: u64,
    order: u64,
    node: usize,
    incarnation: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

pub struct Node {
    pub idem: Idem,
    pub up: bool,
    pub paused: bool,
    pub leaving: bool,
    events_while_paused: Vec<ScheduledEvent>,
    instance: Instance,
    wall_offset: u64,
    last_acked_at: BTreeMap<Instance, u64>,
    pending_put: Option<u64>,
    next_probe: u64,
    next_read: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Complete,
    Replayed,
    Refused(ErrorKind, Outcome),
}

#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss: f64,
    pub duplicate: f64,
    pub delay_max: u64,
    pub slow_put: f64,
    pub target_refuses: f64,
    pub answer_lost: f64,
}

pub const NO_FAULTS: Faults = Faults {
    loss: 0.0,
    duplicate: 0.0,
    delay_max: 2,
    slow_put: 0.0,
    target_refuses: 0.0,
    answer_lost: 0.0,
};

pub struct Simulation {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    pub kv_up: bool,
    pub cut_links: BTreeSet<(usize, usize)>,
    pub stored_maps: Vec<(u64, Option<Arc<ShardMap>>)>,
    pub run_counts: BTreeMap<RecordKey, u32>,
    pub answers: BTreeMap<Ticket, Answer>,
    pub violations: Vec<String>,
    pub run_ms: u64,
    keys: BTreeMap<Ticket, RecordKey>,
    /// The marked first attempt of each key whose caller has not sent a repeat yet.
    first_attempts: BTreeMap<RecordKey, Ticket>,
    /// The attempts whose caller closed the connection.
    closed: BTreeSet<Ticket>,
    ran_tickets: BTreeSet<Ticket>,
    version: u64,
    events: BinaryHeap<ScheduledEvent>,
    order: u64,
    pub rng: ChaCha8Rng,
}

impl Simulation {
    pub fn new(hosts: usize, seed: u64) -> Self {
        let mut sim = Self {
            now: 1_000,
            nodes: Vec::new(),
            faults: NO_FAULTS,
            kv_up: true,
            cut_links: BTreeSet::new(),
            stored_maps: vec![(0, None)],
            run_counts: BTreeMap::new(),
            answers: BTreeMap::new(),
            violations: Vec::new(),
            run_ms: 20,
            keys: BTreeMap::new(),
            first_attempts: BTreeMap::new(),
            closed: BTreeSet::new(),
            ran_tickets: BTreeSet::new(),
            version: 0,
            events: BinaryHeap::new(),
            order: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for host in 0..hosts {
            let node = sim.node(host);
            sim.nodes.push(node);
            sim.push(host, 10 * host as u64, Event::Tick);
        }
        sim
    }

    /// Builds a simulation whose map no longer changes and whose first cutoff has passed.
    pub fn settled(hosts: usize, seed: u64) -> Self {
        let mut sim = Self::new(hosts, seed);
        sim.run_for(60_000);
        sim
    }

    fn node(&mut self, host: usize) -> Node {
        let instance = Instance {
            host: format!("h{host}").into(),
            incarnation: self.now,
        };
        let me = MapHost {
            instance: instance.clone(),
            zone: format!("z{}", host % 2).into(),
        };
        Node {
            idem: Idem::new(me, 1 << 22, MonoMs(self.now)),
            up: true,
            paused: false,
            leaving: false,
            events_while_paused: Vec::new(),
            instance,
            wall_offset: self.rng.random_range(0..1_000),
            last_acked_at: BTreeMap::new(),
            pending_put: None,
            next_probe: 0,
            next_read: 0,
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
    }

    pub fn leave(&mut self, node: usize) {
        self.nodes[node].leaving = true;
        self.nodes[node].idem.leave();
    }

    pub fn restart(&mut self, node: usize) {
        self.nodes[node] = self.node(node);
        self.push(node, 0, Event::Tick);
    }

    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        for mut scheduled in std::mem::take(&mut self.nodes[node].events_while_paused) {
            scheduled.at = self.now;
            self.events.push(scheduled);
        }
    }

    /// Cuts the links between groups of hosts; `with_kv` is the index of the group that still reaches the key-value
    /// service.
    pub fn split(&mut self, groups: &[Vec<usize>], with_kv: Option<usize>) {
        let group_of = |node| groups.iter().position(|group| group.contains(&node));
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if group_of(a) != group_of(b) {
                    self.cut_links.insert((a, b));
                }
            }
            if group_of(a) != with_kv {
                self.cut_links.insert((a, KV));
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.kv_up = true;
        self.faults = NO_FAULTS;
        for node in 0..self.nodes.len() {
            if !self.nodes[node].up || self.nodes[node].leaving {
                self.restart(node);
            } else if self.nodes[node].paused {
                self.resume(node);
            }
        }
    }

    pub fn lose_last_writes(&mut self, count: usize) {
        let keep = self.stored_maps.len().saturating_sub(count).max(2);
        self.stored_maps.truncate(keep);
        // The service never assigns a version twice.
        self.version += 1;
        let version = self.version;
        self.stored_maps.last_mut().unwrap().0 = version;
    }

    pub fn new_key(&mut self) -> RecordKey {
        self.key_issued_at(self.now + WALL_START)
    }

    pub fn key_issued_at(&mut self, millis: u64) -> RecordKey {
        let random = self.rng.random::<[u8; 10]>();
        RecordKey {
            scope: 7,
            id: uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid(),
        }
    }

    pub fn send(&mut self, entry: usize, key: RecordKey, first_attempt: bool) -> Ticket {
        let ticket = Ticket(self.keys.len() as u64 + 1);
        self.keys.insert(ticket, key);
        // A caller that sends a repeat has closed the connection of its marked first attempt.
        if first_attempt {
            self.first_attempts.insert(key, ticket);
        } else if let Some(first) = self.first_attempts.remove(&key) {
            self.closed.insert(first);
        }
        let request = IdemRequest {
            ticket,
            key,
            issued: lw_idem::issue_time(key.id),
            digest: BodyDigest([1; 16]),
            first_attempt,
            deadline: MonoMs(self.now + 60_000),
        };
        self.push(entry, 1, Event::Request(request));
        ticket
    }

    pub fn owner_of(&self, key: RecordKey) -> usize {
        self.holder(key, |view| Some(view.owner.clone()))
    }

    pub fn backup_of(&self, key: RecordKey) -> usize {
        self.holder(key, |view| view.backup.clone())
    }

    fn holder(
        &self,
        key: RecordKey,
        pick: impl Fn(&lw_idem::ShardView) -> Option<Instance>,
    ) -> usize {
        let map = self.stored_maps.last().unwrap().1.as_ref().unwrap();
        let instance = pick(&map.shards[lw_idem::shard_of(key)]).unwrap();
        instance.host[1..].parse().unwrap()
    }

    pub fn all_hold_the_stored_map(&self) -> bool {
        let Some(map) = &self.stored_maps.last().unwrap().1 else {
            return false;
        };
        self.nodes
            .iter()
            .all(|node| node.up && !node.paused && node.idem.map_revision() == map.revision)
    }

    pub fn run_for(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self
            .events
            .peek()
            .is_some_and(|scheduled| scheduled.at <= end)
        {
            let scheduled = self.events.pop().unwrap();
            self.now = self.now.max(scheduled.at);
            self.dispatch(scheduled);
        }
        self.now = end;
    }

    fn push(&mut self, node: usize, delay: u64, event: Event) {
        self.order += 1;
        let incarnation = self
            .nodes
            .get(node)
            .map_or(0, |node| node.instance.incarnation);
        self.events.push(ScheduledEvent {
            at: self.now + delay,
            order: self.order,
            node,
            incarnation,
            event,
        });
    }

    fn transmit(&mut self, from: usize, to: usize, event: &Event) {
        if self.cut_links.contains(&(from, to)) || self.rng.random_bool(self.faults.loss) {
            return;
        }
        // Requests are forwarded over HTTP, which does not duplicate them.
        let once = matches!(event, Event::Request(_));
        let copies = 1 + usize::from(!once && self.rng.random_bool(self.faults.duplicate));
        for _ in 0..copies {
            let delay = self.rng.random_range(1..=self.faults.delay_max);
            self.push(to, delay, event.clone());
        }
    }

    fn dispatch(&mut self, scheduled: ScheduledEvent) {
        let node = scheduled.node;
        let state = &mut self.nodes[node];
        let stale = state.instance.incarnation != scheduled.incarnation;
        let for_kv = matches!(scheduled.event, Event::KvGet(_) | Event::KvPut(..));
        if for_kv {
            self.serve_kv(node, scheduled.incarnation, scheduled.event);
        } else if stale || !state.up {
        } else if state.paused {
            state.events_while_paused.push(scheduled);
        } else {
            self.handle(node, scheduled.event);
        }
    }

    /// Handles a request to the key-value service, which may arrive after its sender was killed.
    fn serve_kv(&mut self, node: usize, incarnation: u64, event: Event) {
        if !self.kv_up {
            return;
        }
        let (version, map) = self.stored_maps.last().unwrap().clone();
        let reply = match event {
            Event::KvGet(sent_at) => Event::KvGot(version, map, sent_at),
            Event::KvPut(id, map, if_version) if if_version == version => {
                self.version += 1;
                let version = self.version;
                self.stored_maps.push((version, Some(map)));
                Event::KvDone(id, ProposalResult::Written { version })
            }
            Event::KvPut(id, ..) => Event::KvDone(id, ProposalResult::NotWritten),
            _ => unreachable!(),
        };
        if self.nodes[node].instance.incarnation == incarnation
            && !self.cut_links.contains(&(node, KV))
        {
            let delay = self.rng.random_range(1..=self.faults.delay_max);
            if !self.rng.random_bool(self.faults.loss) {
                self.push(node, delay, reply);
            }
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = MonoMs(self.now);
        let wall = WallMs(self.now + WALL_START + self.nodes[node].wall_offset);
        let mut out = Vec::new();
        let me = self.nodes[node].instance.clone();
        let idem = &self.nodes[node].idem;
        match event {
            Event::Tick => {
                idem.tick(now, wall, &mut out);
                self.push(node, 200, Event::Tick);
                self.probe_and_read(node);
            }
            Event::Message(from, message) => idem.on_message(&from, message, now, &mut out),
            Event::Probe(from, revision, sent_at) => {
                let evidence = idem.on_probe(&from, revision, now);
                let to = index(&from);
                self.transmit(node, to, &Event::Ack(me, sent_at, evidence));
            }
            Event::Ack(from, sent_at, evidence) => {
                idem.on_probe_ack(&from, sent_at, evidence, now);
                idem.on_member(&from, ProcessStatus::Alive);
                self.nodes[node].last_acked_at.insert(from, self.now);
            }
            Event::Request(request) => self.route(node, &request, now, wall, &mut out),
            Event::KvGot(version, map, sent_at) => {
                idem.on_map(version, map.as_deref(), sent_at, now, wall, &mut out);
            }
            Event::KvDone(id, result) => {
                if self.nodes[node].pending_put == Some(id) {
                    self.nodes[node].pending_put = None;
                    let idem = &self.nodes[node].idem;
                    idem.on_proposed(result, now, wall, &mut out);
                }
            }
            Event::Run(ticket, key, claim) => self.run_target(node, ticket, key, claim),
            Event::Ended(key, claim, ending) => idem.on_ended(key, claim, &ending, wall, &mut out),
            Event::KvGet(_) | Event::KvPut(..) => unreachable!(),
        }
        for action in out {
            self.perform(node, action);
        }
    }

    fn route(
        &mut self,
        node: usize,
        request: &IdemRequest,
        now: MonoMs,
        wall: WallMs,
        out: &mut Vec<IdemAction>,
    ) {
        let idem = &self.nodes[node].idem;
        match idem.route(request.key) {
            IdemRoute::Here => idem.on_request(request, now, wall, out),
            // A request is forwarded once; a second forward would end at a host that is not the owner.
            IdemRoute::Forward(owner) if index(&owner) != node => {
                self.transmit(node, index(&owner), &Event::Request(request.clone()));
            }
            IdemRoute::Forward(_) | IdemRoute::NoMap => {}
        }
    }

    fn probe_and_read(&mut self, node: usize) {
        let now = self.now;
        let me = self.nodes[node].instance.clone();
        if now >= self.nodes[node].next_probe {
            self.nodes[node].next_probe = now + 1_500;
            let revision = self.nodes[node].idem.map_revision();
            for to in (0..self.nodes.len()).filter(|to| *to != node) {
                self.transmit(node, to, &Event::Probe(me.clone(), revision, MonoMs(now)));
            }
            let state = &mut self.nodes[node];
            for (host, at) in &state.last_acked_at {
                if *at + LOST_AFTER_MS < now {
                    state.idem.on_member(host, ProcessStatus::Lost);
                }
            }
        }
        if now >= self.nodes[node].next_read {
            self.read(node, 2_000);
        }
    }

    fn read(&mut self, node: usize, pause_ms: u64) {
        self.nodes[node].next_read = self.now + pause_ms;
        if !self.cut_links.contains(&(node, KV)) {
            let delay = self.rng.random_range(1..=self.faults.delay_max);
            self.push(node, delay, Event::KvGet(MonoMs(self.now)));
        }
    }

    fn run_target(&mut self, node: usize, ticket: Ticket, key: RecordKey, claim: ClaimId) {
        let ending = if self.rng.random_bool(self.faults.target_refuses) {
            Ending::NotRun
        } else {
            self.count_run(ticket, key);
            if self.rng.random_bool(self.faults.answer_lost) {
                Ending::Unknown
            } else {
                self.record_answer(ticket, Answer::Complete);
                Ending::complete(200, "text/plain", Bytes::from_static(b"done"))
            }
        };
        self.push(node, self.run_ms, Event::Ended(key, claim, ending));
    }

    fn count_run(&mut self, ticket: Ticket, key: RecordKey) {
        let count = self.run_counts.entry(key).or_default();
        *count += 1;
        if *count > 1 {
            self.violations
                .push(format!("{} ran twice, at {}", key.id, self.now));
        }
        if matches!(
            self.answers.get(&ticket),
            Some(Answer::Refused(_, Outcome::NotRun))
        ) {
            self.violations
                .push(format!("{} ran after it was reported as not run", key.id));
        }
        self.ran_tickets.insert(ticket);
    }

    fn record_answer(&mut self, ticket: Ticket, answer: Answer) {
        let key = self.keys[&ticket];
        let not_run = matches!(answer, Answer::Refused(_, Outcome::NotRun));
        if not_run && !self.closed.contains(&ticket) && self.run_counts.contains_key(&key) {
            self.violations
                .push(format!("{} was reported as not run but ran", key.id));
        }
        self.answers.entry(ticket).or_insert(answer);
    }

    fn perform(&mut self, node: usize, action: IdemAction) {
        let me = self.nodes[node].instance.clone();
        match action {
            IdemAction::Send { to, message } => {
                self.transmit(node, index(&to), &Event::Message(me, message));
            }
            // The host may be paused between the decision to run a request and sending it.
            IdemAction::Run { ticket, key, claim } => {
                self.push(node, 1, Event::Run(ticket, key, claim));
            }
            IdemAction::Replay { ticket, .. } => self.record_answer(ticket, Answer::Replayed),
            IdemAction::Refuse {
                ticket,
                kind,
                outcome,
            } => self.record_answer(ticket, Answer::Refused(kind, outcome)),
            IdemAction::ReadMap => {
                let next = self.nodes[node].next_read;
                self.nodes[node].next_read = next.min(self.now + 200);
            }
            IdemAction::Propose { map, if_version } => self.propose_map(node, map, if_version),
        }
    }

    fn propose_map(&mut self, node: usize, map: Arc<ShardMap>, if_version: u64) {
        self.order += 1;
        let id = self.order;
        self.nodes[node].pending_put = Some(id);
        if self.cut_links.contains(&(node, KV)) {
            self.push(node, 1, Event::KvDone(id, ProposalResult::NotWritten));
            return;
        }
        self.push(node, 2_500, Event::KvDone(id, ProposalResult::Unclear));
        let slow = self.rng.random_bool(self.faults.slow_put);
        let delay = if slow { 25_000 } else { self.faults.delay_max };
        self.push(node, delay, Event::KvPut(id, map, if_version));
    }

    pub fn assert_no_violations(&self, what: &str) {
        assert!(self.violations.is_empty(), "{what}: {:?}", self.violations);
        for invariant in lw_base::Invariant::ALL {
            let count = lw_base::violation_count(invariant);
            assert_eq!(count, 0, "{what}: {}", invariant.as_str());
        }
    }
}

pub fn index(instance: &Instance) -> usize {
    instance.host[1..].parse().unwrap()
}

pub fn key_of(id: u128) -> RecordKey {
    RecordKey {
        scope: 1,
        id: Uuid::from_u128(id),
    }
}
