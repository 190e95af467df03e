//! Divides a heartbeat into datagrams.
//!
//! Each datagram is a heartbeat with the address and the status of the sender, so any of them shows that it is alive,
//! whatever the others contain and whether they arrive. What grows with the deployment is divided among them; where there
//! are too many datagrams for one heartbeat, they take turns.

use serde::{Deserialize, Serialize};

use crate::heartbeat::{Heartbeat, HeartbeatError};

/// The largest datagram that passes unfragmented on common network paths, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The number of datagrams of a heartbeat that take turns, for targets and for services.
const MAX_DATAGRAMS_IN_TURN: usize = 3;
/// The room for the lengths of lists and for ranges, in bytes.
const OVERHEAD_BYTES: usize = 64;

/// A range of hashes, both ends included.
///
/// Load: a datagram lists what the sender uses of some services and targets only. The range says for which ones: within
/// it, what is not listed is unused, and outside it nothing is known from this datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HashRange {
    /// The first hash.
    pub first: u32,
    /// The last hash.
    pub last: u32,
}

impl HashRange {
    /// All hashes.
    pub const ALL: Self = Self {
        first: 0,
        last: u32::MAX,
    };
    /// No hash.
    pub const NONE: Self = Self { first: 1, last: 0 };

    /// Returns whether a hash is in the range.
    #[must_use]
    pub fn contains(self, hash: u32) -> bool {
        (self.first..=self.last).contains(&hash)
    }
}

impl Default for HashRange {
    fn default() -> Self {
        Self::ALL
    }
}

/// A heartbeat in datagrams.
#[derive(Clone, Debug)]
pub struct DividedHeartbeat {
    datagrams: Vec<Heartbeat>,
    /// The number of datagrams, from the first one, that are part of each heartbeat.
    always: usize,
    /// The index of the first datagram after those with targets; those after it have services only.
    targets_end: usize,
}

impl DividedHeartbeat {
    /// Divides a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error if serialization fails.
    pub fn new(heartbeat: &Heartbeat) -> Result<Self, HeartbeatError> {
        if heartbeat.encode()?.len() <= MAX_DATAGRAM_BYTES {
            return Ok(Self {
                datagrams: vec![heartbeat.clone()],
                always: 1,
                targets_end: 1,
            });
        }
        let mut divider = Divider::new(heartbeat)?;
        for limit in &heartbeat.limits {
            divider.add(limit, |datagram| datagram.limits.push(*limit))?;
        }
        for report in &heartbeat.parts {
            divider.add(report, |datagram| datagram.parts.push(report.clone()))?;
        }
        for report in &heartbeat.streams {
            divider.add(report, |datagram| datagram.streams.push(report.clone()))?;
        }
        for sighting in &heartbeat.sightings {
            divider.add(sighting, |datagram| datagram.sightings.push(*sighting))?;
        }
        for placed in &heartbeat.placed {
            divider.add(placed, |datagram| datagram.placed.push(*placed))?;
        }
        let always = divider.datagrams.len();
        for leaving in &heartbeat.leaving {
            divider.add(leaving, |datagram| datagram.leaving.push(*leaving))?;
        }
        let mut targets = heartbeat.targets.clone();
        targets.sort_unstable_by_key(|usage| usage.target);
        for usage in &targets {
            divider.add(usage, |datagram| {
                extend(&mut datagram.targets_range, usage.target);
                datagram.targets.push(*usage);
            })?;
        }
        let targets_end = divider.datagrams.len();
        let mut services = heartbeat.status.services.clone();
        services.sort_unstable_by_key(|usage| usage.service);
        for usage in &services {
            divider.add(usage, |datagram| {
                extend(&mut datagram.services_range, usage.service);
                datagram.status.services.push(*usage);
            })?;
        }
        let mut datagrams = divider.datagrams;
        close_gaps(&mut datagrams, |datagram| &mut datagram.services_range);
        close_gaps(&mut datagrams, |datagram| &mut datagram.targets_range);
        Ok(Self {
            datagrams,
            always,
            targets_end,
        })
    }

    /// Returns all datagrams.
    #[must_use]
    pub fn all(&self) -> &[Heartbeat] {
        &self.datagrams
    }

    /// Returns the positions of the datagrams in the heartbeat number `turn` to a recipient: those that are part of each
    /// heartbeat, and some of the others in turn.
    pub fn due(&self, turn: usize) -> impl Iterator<Item = usize> {
        let (always, targets_end, end) = (self.always, self.targets_end, self.datagrams.len());
        let in_turn = move |from: usize, to: usize| {
            let count = to - from;
            let sent = count.min(MAX_DATAGRAMS_IN_TURN);
            (0..sent).map(move |step| from + (turn * sent + step) % count)
        };
        (0..always)
            .chain(in_turn(always, targets_end))
            .chain(in_turn(targets_end, end))
    }
}

/// Fills datagrams one after the other.
struct Divider {
    /// A datagram without lists.
    empty: Heartbeat,
    empty_bytes: usize,
    datagrams: Vec<Heartbeat>,
    /// The size of the last datagram, in bytes.
    bytes: usize,
}

impl Divider {
    fn new(heartbeat: &Heartbeat) -> Result<Self, HeartbeatError> {
        let mut status = heartbeat.status.clone();
        status.services.clear();
        let mut empty = Heartbeat::new(heartbeat.address.clone(), status);
        empty.services_range = HashRange::NONE;
        empty.targets_range = HashRange::NONE;
        let empty_bytes = empty.encode()?.len() + OVERHEAD_BYTES;
        // A receiver accepts the loans of one datagram for each sequence number.
        let mut first = empty.clone();
        first.loans = heartbeat.loans.clone();
        first.loan_sequence = heartbeat.loan_sequence;
        let bytes = first.encode()?.len() + OVERHEAD_BYTES;
        Ok(Self {
            empty,
            empty_bytes,
            datagrams: vec![first],
            bytes,
        })
    }

    /// Adds an item of a list to the last datagram, or to a new one if it has no room.
    fn add(
        &mut self,
        item: &impl Serialize,
        push: impl FnOnce(&mut Heartbeat),
    ) -> Result<(), HeartbeatError> {
        let item_bytes = postcard::to_stdvec(item)?.len();
        if self.bytes + item_bytes > MAX_DATAGRAM_BYTES {
            self.datagrams.push(self.empty.clone());
            self.bytes = self.empty_bytes;
        }
        self.bytes += item_bytes;
        if let Some(last) = self.datagrams.last_mut() {
            push(last);
        }
        Ok(())
    }
}

fn extend(range: &mut HashRange, hash: u32) {
    if *range == HashRange::NONE {
        range.first = hash;
    }
    range.last = hash;
}

/// Extends the ranges of datagrams, which are in ascending order, so that together they contain each hash once.
fn close_gaps(datagrams: &mut [Heartbeat], range_of: fn(&mut Heartbeat) -> &mut HashRange) {
    let mut next_first = 0;
    let mut last_used = 0;
    for (index, datagram) in datagrams.iter_mut().enumerate() {
        let range = range_of(datagram);
        if *range == HashRange::NONE {
            continue;
        }
        range.first = next_first;
        next_first = range.last.saturating_add(1);
        last_used = index;
    }
    let range = range_of(&mut datagrams[last_used]);
    match *range == HashRange::NONE {
        true => *range = HashRange::ALL,
        false => range.last = u32::MAX,
    }
}
