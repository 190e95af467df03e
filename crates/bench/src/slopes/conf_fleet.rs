//! Simulates the configuration replicas of a fleet in memory, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use bytes::Bytes;
use lw_base::prelude::*;
use lw_conf::{
    ConfAction, ConfMessage, PublishRequest, Replica, StoreCall, StoreEvent, execute, publish,
};
use lw_doc::{CustomerEntry, Document};
use lw_peer::Message;
use lw_plat::CallCounts;
use lw_stand::KvLimits;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use crate::slopes::frame_sizer::FrameSizer;
use crate::slopes::kv_service::{KvService, resolve_immediately};
use crate::slopes::target::{host_name, region_name, region_sizes};

/// One-way delay inside a region; the delay between availability zones is 0.5 to 1.5 ms.
const PEER_DELAY_MS: u64 = 2;
/// Duration of a call on the key-value service, which takes milliseconds.
const SERVICE_DELAY_MS: u64 = 10;
/// Tick period; the replica requires a tick at least every 200 ms.
const TICK_MS: u64 = 200;
/// Each host probes one random member per second; probe and acknowledgement carry the revisions of both.
const PROBE_MS: u64 = 1_000;
const WALL_START_MS: u64 = 1_800_000_000_000;

enum Event {
    Tick,
    Probe,
    Message { from: usize, bytes: Bytes },
    Service(StoreEvent),
    WatchEnd(u64),
}

struct ScheduledEvent {
    at_ms: u64,
    sequence: u64,
    node: usize,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
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
        (self.at_ms, self.sequence).cmp(&(other.at_ms, other.sequence))
    }
}

struct Node {
    replica: Replica,
    region: usize,
    sent_bytes: u64,
    received_bytes: u64,
    /// The version after which a pending watch waits, and the sequence number of the watch.
    waiting_watch: Option<(u64, u64)>,
}

/// Messages and frame bytes that the fleet sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

/// A simulated fleet and its key-value service.
pub(crate) struct ConfFleet {
    pub(crate) now_ms: u64,
    pub(crate) relays: Arc<CallCounts>,
    pub(crate) publishing: Arc<CallCounts>,
    pub(crate) traffic: Traffic,
    service: KvService,
    nodes: Vec<Node>,
    by_name: FastMap<String, usize>,
    regions: Vec<Vec<usize>>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    rng: ChaCha8Rng,
    frame_sizer: FrameSizer,
    document: Document,
    revision: u64,
    /// Revisions that are not in force on all hosts yet, with the time of their publication.
    pending_revisions: Vec<(u64, u64)>,
    /// Time from publication until a revision was in force on all hosts, in order of revisions.
    pub(crate) in_force_ms: Vec<u64>,
}

impl ConfFleet {
    /// Creates a fleet without any revision; hosts run after [`Self::start`].
    pub(crate) fn new(nodes: usize, regions: usize, seed: u64, document: Document) -> Self {
        let mut fleet = Self {
            now_ms: 0,
            relays: Arc::default(),
            publishing: Arc::default(),
            traffic: Traffic::default(),
            service: KvService::new(),
            nodes: Vec::new(),
            by_name: FastMap::default(),
            regions: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            frame_sizer: FrameSizer::new(),
            document,
            revision: 0,
            pending_revisions: Vec::new(),
            in_force_ms: Vec::new(),
        };
        for (region, size) in region_sizes(nodes, regions).into_iter().enumerate() {
            fleet.add_region(region, size);
        }
        fleet
    }

    fn add_region(&mut self, region: usize, size: usize) {
        let names: Vec<String> = (0..size).map(|number| host_name(region, number)).collect();
        let first = self.nodes.len();
        for name in &names {
            let mut replica = Replica::new(name);
            replica.set_hosts(&region_name(region), &names);
            self.by_name.insert(name.clone(), self.nodes.len());
            self.nodes.push(Node {
                replica,
                region,
                sent_bytes: 0,
                received_bytes: 0,
                waiting_watch: None,
            });
        }
        self.regions.push((first..first + size).collect());
    }

    /// Starts every host at a random time within `spread_ms`.
    pub(crate) fn start(&mut self, spread_ms: u64) {
        for node in 0..self.nodes.len() {
            let delay = self.rng.random_range(0..spread_ms.max(1));
            self.push(node, delay, Event::Tick);
            self.push(node, delay, Event::Probe);
        }
    }

    /// Restarts all hosts with empty memory; the service keeps its state.
    pub(crate) fn restart_all(&mut self, spread_ms: u64) {
        self.events.clear();
        for region in 0..self.regions.len() {
            let members = self.regions[region].clone();
            let names: Vec<String> = (0..members.len()).map(|n| host_name(region, n)).collect();
            for (node, name) in members.into_iter().zip(&names) {
                self.nodes[node].replica = Replica::new(name);
                self.nodes[node].waiting_watch = None;
                let region = region_name(region);
                self.nodes[node].replica.set_hosts(&region, &names);
            }
        }
        self.start(spread_ms);
    }

    /// Removes the replica of a host from the fleet and returns it.
    pub(crate) fn take_replica(&mut self, node: usize) -> Replica {
        std::mem::replace(&mut self.nodes[node].replica, Replica::new("gone"))
    }

    /// Enables the rate limits of the platform; without them the service accepts every call.
    pub(crate) fn limit_service(&self) {
        self.service.fake.set_limits(KvLimits::default());
    }

    pub(crate) fn set_outage(&self, outage: bool) {
        self.service.fake.set_outage(outage);
    }

    pub(crate) fn all_ready(&self) -> bool {
        self.nodes.iter().all(|node| node.replica.ready())
    }

    /// Returns the bytes that the busiest node sent and received.
    pub(crate) fn busiest_node_bytes(&self) -> u64 {
        let bytes = self.nodes.iter().map(|n| n.sent_bytes + n.received_bytes);
        bytes.max().unwrap_or(0)
    }

    pub(crate) fn run_for(&mut self, span_ms: u64) {
        let end = self.now_ms + span_ms;
        while self
            .events
            .peek()
            .is_some_and(|scheduled| scheduled.0.at_ms <= end)
        {
            let Some(Reverse(scheduled)) = self.events.pop() else {
                break;
            };
            self.now_ms = scheduled.at_ms;
            self.service.set_now(self.now_ms);
            self.handle(scheduled.node, scheduled.event);
        }
        self.now_ms = end;
    }

    /// Publishes a change of one customer at a random host that has the head revision.
    pub(crate) fn publish_change(&mut self) {
        let number = self.rng.random_range(0..38_000);
        let customer = CustomerEntry {
            home_region: Some(region_name(number % self.regions.len())),
            requests_per_s: Some(f64::from(self.rng.random_range(1..1_000u32)) / 10.0),
            key_digest: String::new(),
        };
        let name = format!("customer-{number:05}");
        self.document.customers.insert(name, customer);
        let revision = self.revision;
        let has_head = |node: &usize| {
            let mark = self.nodes[*node].replica.mark();
            mark.is_some_and(|mark| mark.revision == revision)
        };
        // A publisher behind the head is rejected and retries from the head, so only publishers at the head are
        // measured.
        let publishers: Vec<usize> = (0..self.nodes.len()).filter(has_head).collect();
        let node = publishers[self.rng.random_range(0..publishers.len())];
        self.publish(node);
    }

    /// Resets the counters of messages and bytes.
    pub(crate) fn reset_traffic(&mut self) {
        self.traffic = Traffic::default();
        for node in &mut self.nodes {
            node.sent_bytes = 0;
            node.received_bytes = 0;
        }
    }

    /// Publishes the document at `node`.
    pub(crate) fn publish(&mut self, node: usize) {
        let known = self.nodes[node].replica.reader().load();
        let known = known.filter(|config| config.mark.revision == self.revision);
        let request = PublishRequest {
            base_revision: self.revision,
            base_digest: known.as_ref().map(|config| config.mark.digest),
            next: self.document.clone(),
            operator: "operator-12".into(),
            operation: Uuid::from_u128(self.rng.random()),
            wall: WallMs(WALL_START_MS + self.now_ms),
            gateway_addresses: Vec::new(),
            confirmed: true,
            known,
        };
        let kv = self.service.counting_client(&self.publishing);
        let published = match resolve_immediately(publish(&kv, &request)) {
            Ok(published) => published,
            // A random change may set the value that the customer already has.
            Err(lw_conf::PublishError::Unchanged { .. }) => return,
            Err(error) => panic!("the measurement cannot publish: {error}"),
        };
        self.revision += 1;
        self.pending_revisions.push((self.revision, self.now_ms));
        let mut out = Vec::new();
        self.nodes[node].replica.on_published(published, &mut out);
        self.apply_actions(node, out);
        self.complete_watches();
    }

    /// Completes the pending watches with the new head; the service counted them when they started.
    fn complete_watches(&mut self) {
        let uncounted = self.service.fake.kv();
        for node in 0..self.nodes.len() {
            if self.nodes[node].waiting_watch.take().is_none() {
                continue;
            }
            let event = resolve_immediately(execute(&uncounted, StoreCall::ReadHead));
            self.push(node, SERVICE_DELAY_MS, Event::Service(event));
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = MonoMs(self.now_ms);
        let random = self.rng.random();
        let mut out = Vec::new();
        let replica = &mut self.nodes[node].replica;
        match event {
            Event::Tick => {
                replica.tick(now, random, &mut out);
                self.push(node, TICK_MS, Event::Tick);
            }
            Event::Probe => {
                self.probe(node);
                self.push(node, PROBE_MS, Event::Probe);
            }
            Event::Message { from, bytes } => {
                let Some(message) = ConfMessage::decode(&bytes) else {
                    return;
                };
                let name = self.name(from);
                let replica = &mut self.nodes[node].replica;
                replica.on_message(now, &name, message, &mut out);
            }
            Event::Service(event) => replica.on_store_event(now, random, event, &mut out),
            Event::WatchEnd(sequence) => {
                let waiting = self.nodes[node].waiting_watch;
                if waiting.is_some_and(|(_, watch_sequence)| watch_sequence == sequence) {
                    self.nodes[node].waiting_watch = None;
                    let replica = &mut self.nodes[node].replica;
                    replica.on_store_event(now, random, StoreEvent::Unchanged, &mut out);
                }
            }
        }
        self.apply_actions(node, out);
        if !self.pending_revisions.is_empty()
            && self.revision_of(node) >= self.pending_revisions[0].0
        {
            self.record_in_force();
        }
    }

    fn revision_of(&self, node: usize) -> u64 {
        let mark = self.nodes[node].replica.mark();
        mark.map_or(0, |mark| mark.revision)
    }

    /// Exchanges revisions between a host and a random member of its region.
    fn probe(&mut self, node: usize) {
        let members = &self.regions[self.nodes[node].region];
        let peer = members[self.rng.random_range(0..members.len())];
        if peer == node {
            return;
        }
        for (from, to) in [(node, peer), (peer, node)] {
            let Some(mark) = self.nodes[from].replica.mark() else {
                continue;
            };
            let mut out = Vec::new();
            let name = self.name(from);
            let now = MonoMs(self.now_ms);
            let replica = &mut self.nodes[to].replica;
            replica.on_peer_mark(now, &name, mark, &mut out);
            self.apply_actions(to, out);
        }
    }

    fn apply_actions(&mut self, node: usize, actions: Vec<ConfAction>) {
        for action in actions {
            match action {
                ConfAction::Send { to, message } => self.send(node, &to, &message),
                ConfAction::Call(call) => self.call(node, call),
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, message: &ConfMessage) {
        let Some(to) = self.by_name.get(to).copied() else {
            return;
        };
        let bytes = message.encode();
        let frame = match message {
            ConfMessage::Push { .. } => Message::ConfigPush(bytes.clone()),
            ConfMessage::Pull { .. } => Message::ConfigPull(bytes.clone()),
            ConfMessage::Entries { .. } | ConfMessage::Part(_) => {
                Message::ConfigReply(bytes.clone())
            }
        };
        let size = self.frame_sizer.frame_bytes(&frame) as u64;
        self.traffic.messages += 1;
        self.traffic.bytes += size;
        self.nodes[from].sent_bytes += size;
        self.nodes[to].received_bytes += size;
        self.push(to, PEER_DELAY_MS, Event::Message { from, bytes });
    }

    fn call(&mut self, node: usize, call: StoreCall) {
        let before = self.total_calls();
        let kv = self.service.counting_client(&self.relays);
        let StoreCall::Watch {
            after_version,
            wait_ms,
        } = call
        else {
            let event = resolve_immediately(execute(&kv, call));
            // The calls of one action run one after the other.
            let calls = (self.total_calls() - before).max(1);
            self.push(node, calls * SERVICE_DELAY_MS, Event::Service(event));
            return;
        };
        let poll = StoreCall::Watch {
            after_version,
            wait_ms: 0,
        };
        match resolve_immediately(execute(&kv, poll)) {
            StoreEvent::Unchanged => {
                self.nodes[node].waiting_watch = Some((after_version, self.sequence));
                let end = Event::WatchEnd(self.sequence);
                self.push(node, wait_ms, end);
            }
            event => self.push(node, SERVICE_DELAY_MS, Event::Service(event)),
        }
    }

    fn total_calls(&self) -> u64 {
        let traffic = self.service.fake.traffic();
        traffic.reads + traffic.writes + traffic.refused
    }

    fn record_in_force(&mut self) {
        let Some((revision, published)) = self.pending_revisions.first().copied() else {
            return;
        };
        let lowest = self.nodes.iter().map(|node| node.replica.mark());
        let lowest = lowest
            .map(|mark| mark.map_or(0, |mark| mark.revision))
            .min();
        if lowest.is_some_and(|lowest| lowest >= revision) {
            self.pending_revisions.remove(0);
            self.in_force_ms.push(self.now_ms - published);
            self.record_in_force();
        }
    }

    fn name(&self, node: usize) -> String {
        let region = self.nodes[node].region;
        host_name(region, node - self.regions[region][0])
    }

    fn push(&mut self, node: usize, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(ScheduledEvent {
            at_ms: self.now_ms + delay,
            sequence: self.sequence,
            node,
            event,
        }));
    }
}
