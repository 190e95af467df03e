//! Simulates the membership protocol of a fleet in memory, in virtual time.

use std::collections::VecDeque;
use std::sync::Arc;

use lw_base::{FastMap, MonoMs, WallMs};
use lw_member::{
    MemberAction, MemberMessage, MemberState, MemberUpdate, Membership, RegionLoad, ServiceUse,
};
use lw_peer::Message;

use crate::slopes::frame_sizer::FrameSizer;
use crate::slopes::target::{host_name, region_name};

const TICK_MS: u64 = 100;
const WALL_START_MS: u64 = 1_800_000_000_000;

struct Node {
    membership: Membership,
    host: Arc<str>,
    region: usize,
    incarnation: u64,
    probe_bytes: u64,
    summary_bytes: u64,
}

/// A simulated fleet.
pub(crate) struct MemberFleet {
    now_ms: u64,
    nodes: Vec<Node>,
    by_address: FastMap<Arc<str>, usize>,
    inbox: VecDeque<(usize, usize, MemberMessage)>,
    frame_sizer: FrameSizer,
}

impl MemberFleet {
    /// Starts regions of the given sizes; each host has one seed in its region and one in the next region.
    pub(crate) fn new(sizes: &[usize], seed: u64) -> Self {
        let mut fleet = Self {
            now_ms: 1_000,
            nodes: Vec::new(),
            by_address: FastMap::default(),
            inbox: VecDeque::new(),
            frame_sizer: FrameSizer::new(),
        };
        for (region, size) in sizes.iter().enumerate() {
            for number in 0..*size {
                fleet.add(region, number, sizes.len(), seed);
            }
        }
        fleet
    }

    fn add(&mut self, region: usize, number: usize, regions: usize, seed: u64) {
        let host: Arc<str> = host_name(region, number).into();
        let me = MemberUpdate {
            host: host.clone(),
            zone: format!("zone-{:03}", (region + 45 * (number % 3)) % 113).into(),
            address: address(region, number),
            incarnation: WALL_START_MS + self.now_ms,
            refutation: 0,
            state: MemberState::Alive,
        };
        let index = self.nodes.len();
        let incarnation = me.incarnation;
        self.by_address.insert(me.address.clone(), index);
        let seed = seed.wrapping_add(index as u64);
        let mut membership = Membership::new(&region_name(region), me, seed, MonoMs(self.now_ms));
        membership.set_seeds(vec![address(region, 0)]);
        membership.set_region_seeds(vec![address((region + 1) % regions, 0)]);
        membership.set_revisions(26_000_000, 100_000);
        membership.set_load(region_load());
        self.nodes.push(Node {
            membership,
            host,
            region,
            incarnation,
            probe_bytes: 0,
            summary_bytes: 0,
        });
    }

    pub(crate) fn run_for(&mut self, span_ms: u64) {
        let end = self.now_ms + span_ms;
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            for node in 0..self.nodes.len() {
                let (now, wall) = self.times();
                let mut out = Vec::new();
                self.nodes[node].membership.tick(now, wall, &mut out);
                self.apply_actions(node, out);
            }
            self.deliver();
        }
    }

    pub(crate) fn reset_byte_counts(&mut self) {
        for node in &mut self.nodes {
            node.probe_bytes = 0;
            node.summary_bytes = 0;
        }
    }

    /// Returns the highest number of bytes that a node sent and received for probes, and the same for summaries.
    pub(crate) fn busiest_bytes(&self) -> (u64, u64) {
        let probes = self.nodes.iter().map(|node| node.probe_bytes).max();
        let summaries = self.nodes.iter().map(|node| node.summary_bytes).max();
        (probes.unwrap_or(0), summaries.unwrap_or(0))
    }

    /// Returns the highest number of bytes that a node sent and received for summaries, without the two busiest nodes
    /// of each region, which are its relays.
    pub(crate) fn busiest_member_bytes(&self) -> u64 {
        let mut by_region: FastMap<usize, Vec<u64>> = FastMap::default();
        for node in &self.nodes {
            let bytes = by_region.entry(node.region).or_default();
            bytes.push(node.summary_bytes);
        }
        let third_largest = by_region.values_mut().filter_map(|bytes| {
            bytes.sort_unstable_by(|a, b| b.cmp(a));
            bytes.get(2).copied()
        });
        third_largest.max().unwrap_or(0)
    }

    /// Returns the age of the oldest summary at any node, or `None` if a node lacks a summary.
    pub(crate) fn oldest_summary_ms(&self, regions: usize) -> Option<u64> {
        let (_, wall) = self.times();
        let mut oldest = 0;
        for node in &self.nodes {
            if node.membership.region_summaries().count() < regions {
                return None;
            }
            let ages = node.membership.region_summaries();
            let ages = ages.map(|summary| wall.since_ms(WallMs(summary.version)));
            oldest = oldest.max(ages.max().unwrap_or(0));
        }
        Some(oldest)
    }

    fn times(&self) -> (MonoMs, WallMs) {
        (MonoMs(self.now_ms), WallMs(WALL_START_MS + self.now_ms))
    }

    fn apply_actions(&mut self, from: usize, actions: Vec<MemberAction>) {
        for action in actions {
            let MemberAction::Send {
                address, message, ..
            } = action
            else {
                continue;
            };
            let Some(to) = self.by_address.get(&address).copied() else {
                continue;
            };
            let bytes = self
                .frame_sizer
                .frame_bytes(&Message::Member(message.clone())) as u64;
            let is_summary = matches!(
                message,
                MemberMessage::RegionDigest { .. } | MemberMessage::RegionEntries(_)
            );
            for node in [from, to] {
                let node = &mut self.nodes[node];
                match is_summary {
                    true => node.summary_bytes += bytes,
                    false => node.probe_bytes += bytes,
                }
            }
            self.inbox.push_back((from, to, message));
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.inbox.pop_front() {
            let (now, wall) = self.times();
            let sender = (self.nodes[from].host.clone(), self.nodes[from].incarnation);
            let mut out = Vec::new();
            let membership = &mut self.nodes[to].membership;
            let from = (&sender.0, sender.1);
            membership.on_message(from, message, |_| true, now, wall, &mut out);
            self.apply_actions(to, out);
        }
    }
}

fn address(region: usize, number: usize) -> Arc<str> {
    format!("10.244.{}.{}:7443", 100 + region, 100 + number).into()
}

/// Returns the load of a region with three models and two plain services.
fn region_load() -> RegionLoad {
    let service = |number: u8| ServiceUse {
        service: [number.wrapping_mul(47); 8],
        slots: 2_400 + u32::from(number),
        load_permille: 700 + u16::from(number),
    };
    RegionLoad {
        capacity_slots: 12_000,
        load_permille: 700,
        services: (1..=5).map(service).collect(),
    }
}
