//! Simulates several `Membership` instances, connected by a network that drops messages and cuts links.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test binary uses a part of the harness"
)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use lw_base::{MonoMs, WallMs};
use lw_member::{MemberAction, MemberMessage, MemberState, MemberUpdate, Membership};
use lw_peer::{Codec, Message, PeerKeys};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const WALL_START: u64 = 1_800_000_000_000;

/// The bytes per message for the headers of IP, TCP and nng and a share of the TCP acknowledgements.
const OVERHEAD_BYTES: u64 = 100;

pub struct Node {
    pub membership: Membership,
    pub incarnation: u64,
    pub running: bool,
    pub wall_offset: i64,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub changes: Vec<(u64, MemberUpdate)>,
    name: Arc<str>,
    region: String,
    codec: Codec,
}

pub struct Simulation {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub cut_links: BTreeSet<(usize, usize)>,
    pub loss_ratio: f64,
    pub rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    messages: BTreeMap<u64, (usize, usize, u64, MemberMessage)>,
    last_message_id: u64,
}

/// Returns the address of a host, which is as long as the three addresses of a real host together.
fn address_of(index: usize) -> String {
    format!("{index:034}")
}

impl Simulation {
    /// Builds `regions` regions with `hosts` hosts each. The seed of every host is the first host of its region.
    pub fn new(regions: usize, hosts: usize, seed: u64) -> Self {
        let mut sim = Self {
            now: 1_000,
            nodes: Vec::new(),
            cut_links: BTreeSet::new(),
            loss_ratio: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            last_message_id: 0,
        };
        for region in 0..regions {
            for host in 0..hosts {
                let index = region * hosts + host;
                let mut node = sim.node(index, &format!("region-number-{region:02}"));
                let seed = address_of(region * hosts);
                node.membership.set_seeds(vec![seed.as_str().into()]);
                let next = address_of((region + 1) % regions * hosts);
                node.membership.set_region_seeds(vec![next.as_str().into()]);
                sim.nodes.push(node);
            }
        }
        sim
    }

    fn node(&mut self, index: usize, region: &str) -> Node {
        let name: Arc<str> = format!("host-number-{index:03}").into();
        let me = MemberUpdate {
            host: name.clone(),
            zone: format!("zone-{}", index % 3).into(),
            address: address_of(index).into(),
            incarnation: self.now,
            refutation: 0,
            state: MemberState::Alive,
        };
        Node {
            membership: Membership::new(region, me, self.rng.random(), MonoMs(self.now)),
            incarnation: self.now,
            running: true,
            wall_offset: 0,
            sent_bytes: 0,
            received_bytes: 0,
            changes: Vec::new(),
            codec: Codec::new(&name, self.now, PeerKeys::new(b"key")),
            name,
            region: region.to_owned(),
        }
    }

    pub fn restart(&mut self, index: usize, seed: usize) {
        let region = self.nodes[index].region.clone();
        self.nodes[index] = self.node(index, &region);
        let seed = address_of(seed);
        self.nodes[index]
            .membership
            .set_seeds(vec![seed.as_str().into()]);
    }

    pub fn run_for(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            self.now += 10;
            self.deliver();
            for index in 0..self.nodes.len() {
                if (self.now / 10 + index as u64).is_multiple_of(10) && self.nodes[index].running {
                    let (now, wall) = self.clocks(index);
                    let mut out = Vec::new();
                    self.nodes[index].membership.tick(now, wall, &mut out);
                    self.perform(index, out);
                }
            }
        }
    }

    fn clocks(&self, index: usize) -> (MonoMs, WallMs) {
        let wall = (WALL_START + self.now).cast_signed() + self.nodes[index].wall_offset;
        (MonoMs(self.now), WallMs(wall.cast_unsigned()))
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, message_id))) = self.queue.peek().copied() {
            if at > self.now {
                return;
            }
            self.queue.pop();
            let (from, to, incarnation, message) = self.messages.remove(&message_id).unwrap();
            if !self.nodes[to].running {
                continue;
            }
            let (now, wall) = self.clocks(to);
            let name = self.nodes[from].name.clone();
            let mut out = Vec::new();
            self.nodes[to].membership.on_message(
                (&name, incarnation),
                message,
                |_| true,
                now,
                wall,
                &mut out,
            );
            self.perform(to, out);
        }
    }

    fn perform(&mut self, from: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send {
                    host,
                    address,
                    message,
                } => self.transmit(from, &host, &address, message),
                MemberAction::Changed(update) => {
                    self.nodes[from].changes.push((self.now, update));
                }
                MemberAction::Acknowledged { .. } => {}
            }
        }
    }

    fn transmit(&mut self, from: usize, host: &str, address: &str, message: MemberMessage) {
        let to: usize = address.parse().unwrap();
        let frame = self.nodes[from]
            .codec
            .encode(host, &Message::Member(message.clone()))
            .unwrap();
        let bytes = frame.len() as u64 + OVERHEAD_BYTES;
        self.nodes[from].sent_bytes += bytes;
        if self.cut_links.contains(&(from, to)) || self.rng.random_bool(self.loss_ratio) {
            return;
        }
        self.nodes[to].received_bytes += bytes;
        self.last_message_id += 1;
        let delay = self.rng.random_range(1..30);
        let incarnation = self.nodes[from].incarnation;
        self.messages
            .insert(self.last_message_id, (from, to, incarnation, message));
        self.queue
            .push(Reverse((self.now + delay, self.last_message_id)));
    }

    pub fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        let name = &self.nodes[of].name;
        let mut members = self.nodes[at].membership.members();
        members
            .find(|update| update.host == *name)
            .map(|update| update.state)
    }

    /// Returns the number of running hosts that see `of` in `state`.
    pub fn count_seen_as(&self, of: usize, state: MemberState) -> usize {
        (0..self.nodes.len())
            .filter(|at| *at != of && self.nodes[*at].running && self.state(*at, of) == Some(state))
            .count()
    }

    pub fn all_alive(&self) -> bool {
        (0..self.nodes.len())
            .all(|of| self.count_seen_as(of, MemberState::Alive) == self.nodes.len() - 1)
    }

    /// Returns the state of every host as every other host sees it, for messages of failed tests.
    pub fn state_table(&self) -> String {
        let hosts = 0..self.nodes.len();
        let row = |at: usize| -> Vec<_> { hosts.clone().map(|of| self.state(at, of)).collect() };
        let rows = hosts.clone().map(|at| format!("\n{at}: {:?}", row(at)));
        rows.collect()
    }

    /// Restores all links and ends the message loss.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.loss_ratio = 0.0;
    }

    /// Cuts all links between the first `count` hosts and the others.
    pub fn split(&mut self, count: usize) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if (a < count) != (b < count) {
                    self.cut_links.insert((a, b));
                }
            }
        }
    }
}
