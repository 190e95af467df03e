//! Bytes of region summaries per relay, by number of regions.
//!
//! Messages and frames are those of the crates `member` and `peer`. The schedule is the one of design 5.8: a relay
//! sends a digest to two random other regions a second, the receiver answers with its newer entries and its own
//! digest, and the sender answers that with its newer entries. Each relay renews the summary of its region every
//! [`RENEW_S`] seconds, which keeps ages below 15 s, and passes what is new to its half of the members every 2 s.

use lw_member::{MemberMessage, RegionSummary};
use lw_peer::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::slopes::slope::Slope;
use crate::slopes::target::{REGIONS, largest_region, region_name};
use crate::slopes::wire::Wire;

const SIZES: [usize; 4] = [5, 15, 30, REGIONS];
const RELAYS: usize = 2;
/// Seconds between two summaries of one region.
const RENEW_S: u64 = 5;
/// Seconds between two messages of a relay to its members.
const MEMBERS_S: u64 = 2;
/// Regions that a relay contacts each second by design, and half of it for comparison.
const CONTACTS: [usize; 2] = [2, 1];
const WARM_UP_S: u64 = 30;
const SPAN_S: u64 = 60;
const VERSION_START: u64 = 1_800_000_000_000;

/// The relays of all regions and what each knows.
struct Gossip {
    wire: Wire,
    regions: usize,
    contacts: usize,
    /// By relay and region, the version; relays `2 * r` and `2 * r + 1` belong to region `r`.
    versions: Vec<Vec<u64>>,
    /// By relay and region, what its members were told.
    told: Vec<Vec<u64>>,
    bytes: Vec<u64>,
    member_bytes: u64,
    rng: ChaCha8Rng,
}

struct Row {
    relay_bytes_per_s: f64,
    member_bytes_per_s: f64,
    oldest_s: f64,
}

pub(crate) fn measure(seed: u64) -> Vec<Slope> {
    let [rows, fewer] =
        CONTACTS.map(|contacts| SIZES.map(|size| (size as f64, run(size, contacts, seed))));
    let slope = |id, what, unit, rows: &[(f64, Row)], value: &dyn Fn(&Row) -> f64| {
        let points = rows.iter().map(|(regions, row)| (*regions, value(row)));
        Slope::new(id, what, unit, "regions", points, REGIONS as f64)
    };
    let members = (largest_region() - RELAYS) as f64 / RELAYS as f64;
    vec![
        slope(
            "summaries.relay_bytes_per_s",
            "digests and entries sent and received by a relay, mean",
            "bytes/s",
            &rows,
            &|row| row.relay_bytes_per_s,
        ),
        slope(
            "summaries.member_bytes_per_s",
            "entries that a member receives",
            "bytes/s",
            &rows,
            &|row| row.member_bytes_per_s,
        ),
        slope(
            "summaries.relay_with_members_bytes_per_s",
            "a relay of the largest region, with what it sends to half of the members",
            "bytes/s",
            &rows,
            &|row| row.relay_bytes_per_s + members * row.member_bytes_per_s,
        ),
        slope(
            "summaries.oldest_s",
            "age of the oldest summary at a relay",
            "s",
            &rows,
            &|row| row.oldest_s,
        ),
        slope(
            "summaries.one_contact_relay_with_members_bytes_per_s",
            "the same relay if it contacts one region a second",
            "bytes/s",
            &fewer,
            &|row| row.relay_bytes_per_s + members * row.member_bytes_per_s,
        ),
        slope(
            "summaries.one_contact_oldest_s",
            "age of the oldest summary in that case",
            "s",
            &fewer,
            &|row| row.oldest_s,
        ),
    ]
}

fn run(regions: usize, contacts: usize, seed: u64) -> Row {
    let mut gossip = Gossip {
        wire: Wire::new(),
        regions,
        contacts,
        versions: vec![vec![VERSION_START; regions]; regions * RELAYS],
        told: vec![vec![VERSION_START; regions]; regions * RELAYS],
        bytes: vec![0; regions * RELAYS],
        member_bytes: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    let mut oldest_s = 0;
    for second in 1..=WARM_UP_S + SPAN_S {
        gossip.step(second);
        if second == WARM_UP_S {
            gossip.bytes.fill(0);
            gossip.member_bytes = 0;
        }
        if second > WARM_UP_S {
            oldest_s = oldest_s.max(gossip.oldest_s(second));
        }
    }
    let relays = (regions * RELAYS) as f64;
    Row {
        relay_bytes_per_s: gossip.bytes.iter().sum::<u64>() as f64 / relays / SPAN_S as f64,
        // Each relay serves its own half of the members.
        member_bytes_per_s: gossip.member_bytes as f64 / relays / SPAN_S as f64,
        oldest_s: oldest_s as f64,
    }
}

impl Gossip {
    fn step(&mut self, second: u64) {
        for relay in 0..self.versions.len() {
            let own = relay / RELAYS;
            if (second + own as u64).is_multiple_of(RENEW_S) {
                self.versions[relay][own] = VERSION_START + second * 1_000;
            }
            for _ in 0..self.contacts {
                let step = self.rng.random_range(1..self.regions);
                let other = (own + step) % self.regions;
                let peer = other * RELAYS + self.rng.random_range(0..RELAYS);
                self.exchange(relay, peer);
            }
            if (second + relay as u64).is_multiple_of(MEMBERS_S) {
                self.tell_members(relay);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        self.send(from, to, &self.digest(from, true));
        let newer = self.newer(to, from);
        self.send_entries(to, from, &newer);
        self.send(to, from, &self.digest(to, false));
        let newer = self.newer(from, to);
        self.send_entries(from, to, &newer);
    }

    fn newer(&self, holder: usize, other: usize) -> Vec<usize> {
        let newer = |region: &usize| self.versions[holder][*region] > self.versions[other][*region];
        (0..self.regions).filter(newer).collect()
    }

    fn send_entries(&mut self, from: usize, to: usize, regions: &[usize]) {
        if regions.is_empty() {
            return;
        }
        for region in regions {
            self.versions[to][*region] = self.versions[from][*region];
        }
        self.send(from, to, &self.entries(from, regions));
    }

    fn tell_members(&mut self, relay: usize) {
        let news = (0..self.regions)
            .filter(|region| self.versions[relay][*region] > self.told[relay][*region]);
        let news: Vec<usize> = news.collect();
        if !news.is_empty() {
            let message = self.entries(relay, &news);
            self.member_bytes += self.wire.bytes(&Message::Member(message)) as u64;
        }
        self.told[relay] = self.versions[relay].clone();
    }

    fn send(&mut self, from: usize, to: usize, message: &MemberMessage) {
        let bytes = self.wire.bytes(&Message::Member(message.clone())) as u64;
        self.bytes[from] += bytes;
        self.bytes[to] += bytes;
    }

    fn digest(&self, relay: usize, reply: bool) -> MemberMessage {
        let versions = self.versions[relay].iter().enumerate();
        MemberMessage::RegionDigest {
            versions: versions
                .map(|(region, version)| (region_name(region).into(), *version))
                .collect(),
            reply,
        }
    }

    fn entries(&self, relay: usize, regions: &[usize]) -> MemberMessage {
        let summary = |region: &usize| RegionSummary {
            region: region_name(*region).into(),
            version: self.versions[relay][*region],
            capacity_slots: 12_000,
            load_permille: 700,
            conf_revision: 26_000_000,
            relays: vec!["10.244.112.207:7443".into(), "10.244.111.206:7443".into()],
        };
        MemberMessage::RegionEntries(regions.iter().map(summary).collect())
    }

    fn oldest_s(&self, second: u64) -> u64 {
        let oldest = self.versions.iter().flatten().min().copied();
        let now = VERSION_START + second * 1_000;
        oldest.map_or(0, |oldest| (now - oldest) / 1_000)
    }
}
