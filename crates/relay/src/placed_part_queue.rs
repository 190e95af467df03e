//! What hosts of a region tell one another of placed parts.

use lw_mesh::PlacedPart;

/// The placed parts of one beat, which keeps its datagram small; older ones wait for the next beat.
const MOST_PLACED: usize = 24;

/// Parts of prompts that this host has placed, until the hosts of the region have heard of them.
///
/// A beat goes to some hosts of the region in turn. When each part was told once, half of the hosts that cover a target
/// did not know what it keeps, and placed a second copy elsewhere.
#[derive(Debug, Default)]
pub struct PlacedPartQueue {
    /// The parts with the beats in which they are still told.
    parts: Vec<(usize, PlacedPart)>,
}

impl PlacedPartQueue {
    /// Notes a placed part that is to be told in the next `beats` beats.
    pub fn push(&mut self, part: PlacedPart, beats: usize) {
        let same = |known: &PlacedPart| known.target == part.target && known.part == part.part;
        match self.parts.iter_mut().find(|(_, known)| same(known)) {
            Some((left, _)) => *left = beats,
            None => self.parts.push((beats, part)),
        }
    }

    /// Returns the parts for the next beat.
    pub fn take_batch(&mut self) -> Vec<PlacedPart> {
        let told = self.parts.iter_mut().take(MOST_PLACED).map(|(left, part)| {
            *left -= 1;
            *part
        });
        let told = told.collect();
        self.parts.retain(|(left, _)| *left > 0);
        told
    }
}
