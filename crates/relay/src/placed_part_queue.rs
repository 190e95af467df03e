//! Queues placed prompt parts for the heartbeats to the hosts of the region.

use lw_mesh::PlacedPart;

/// The maximum number of placed parts in one heartbeat, which bounds its datagram; older parts stay queued.
const MAX_PARTS_PER_HEARTBEAT: usize = 24;

/// Prompt parts that this host has placed and that the hosts of the region may not have received yet.
///
/// Each heartbeat reaches only some hosts of a large region, in round-robin order. If each part were sent only once,
/// half of the hosts that cover a target would not know that it has cached the part, and would place a second copy
/// elsewhere.
#[derive(Debug, Default)]
pub struct PlacedPartQueue {
    /// The parts, each with the number of heartbeats that still include it.
    parts: Vec<(usize, PlacedPart)>,
}

impl PlacedPartQueue {
    /// Queues a placed part for the next `heartbeats` heartbeats.
    pub fn push(&mut self, part: PlacedPart, heartbeats: usize) {
        let is_same =
            |queued: &PlacedPart| queued.target == part.target && queued.part == part.part;
        match self.parts.iter_mut().find(|(_, queued)| is_same(queued)) {
            Some((remaining_heartbeats, _)) => *remaining_heartbeats = heartbeats,
            None => self.parts.push((heartbeats, part)),
        }
    }

    /// Returns the parts for the next heartbeat.
    pub fn take_batch(&mut self) -> Vec<PlacedPart> {
        let batch = self.parts.iter_mut().take(MAX_PARTS_PER_HEARTBEAT).map(
            |(remaining_heartbeats, part)| {
                *remaining_heartbeats -= 1;
                *part
            },
        );
        let batch = batch.collect();
        self.parts
            .retain(|(remaining_heartbeats, _)| *remaining_heartbeats > 0);
        batch
    }
}
