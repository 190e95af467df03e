//! Queues placed prompt parts for the heartbeats to the hosts of the region.

use std::collections::VecDeque;

use lw_base::prelude::*;
use lw_mesh::PlacedPart;

/// The maximum number of placed parts in one heartbeat, which bounds its datagram; older parts stay queued.
const MAX_PARTS_PER_HEARTBEAT: usize = 24;
/// The maximum number of queued parts. Beyond it, the one that waits longest is dropped: other hosts may then place a second copy of
/// it elsewhere.
const MAX_QUEUED_PARTS: usize = 512;

/// Prompt parts that this host has placed and that the hosts of the region may not have received yet.
///
/// Each heartbeat reaches only some hosts of a large region, in round-robin order. If each part were sent only once,
/// half of the hosts that cover a target would not know that it has cached the part, and would place a second copy
/// elsewhere.
///
/// Load: each request may place a dozen parts, some thousands a second, where heartbeats announce some dozens.
#[derive(Debug, Default)]
pub struct PlacedPartQueue {
    /// The target and the part, in the order of their first use.
    order: VecDeque<(u32, u64)>,
    /// The parts in `order`, each with the number of heartbeats that still include it.
    parts: FastMap<(u32, u64), (usize, PlacedPart)>,
}

impl PlacedPartQueue {
    /// Queues a placed part for the next `heartbeats` heartbeats.
    pub fn push(&mut self, part: PlacedPart, heartbeats: usize) {
        if heartbeats == 0 {
            return;
        }
        let key = (part.target, part.part);
        if let Some((remaining_heartbeats, _)) = self.parts.get_mut(&key) {
            *remaining_heartbeats = heartbeats;
            return;
        }
        if self.order.len() >= MAX_QUEUED_PARTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.parts.remove(&oldest);
        }
        self.order.push_back(key);
        self.parts.insert(key, (heartbeats, part));
    }

    /// Returns the parts for the next heartbeat.
    pub fn take_batch(&mut self) -> Vec<PlacedPart> {
        let mut batch = Vec::with_capacity(MAX_PARTS_PER_HEARTBEAT.min(self.order.len()));
        for key in self.order.iter().take(MAX_PARTS_PER_HEARTBEAT) {
            if let Some((remaining_heartbeats, part)) = self.parts.get_mut(key) {
                *remaining_heartbeats -= 1;
                batch.push(*part);
            }
        }
        self.parts
            .retain(|_, (remaining_heartbeats, _)| *remaining_heartbeats > 0);
        self.order.retain(|key| self.parts.contains_key(key));
        batch
    }

    /// Returns the number of queued parts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no part is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
