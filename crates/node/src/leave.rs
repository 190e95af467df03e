//! Planned stops.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use lw_member::MemberState;

use crate::core::Core;

/// How often the hand-over is looked at.
const POLL_MS: u64 = 100;

/// How often the map is read meanwhile; other hosts write the views that replace this one as a backup.
const READ_MS: u64 = 1_000;

impl Core {
    /// Leaves the directory, tells the peers, and hands over the shards within `limit_ms`.
    ///
    /// Returns true when no shard depends on this host any more.
    pub(crate) async fn leave(self: &Arc<Self>, limit_ms: u64) -> bool {
        self.leaving.store(true, Ordering::Release);
        let until = self.clock.mono().plus_ms(limit_ms);
        self.clock.limit(limit_ms, self.unregister()).await;
        let mut out = Vec::new();
        self.members.lock().leave(&mut out);
        self.perform_members(out);
        self.idem.leave();
        let mut read_at = self.clock.mono();
        while self.idem.shard_counts() != (0, 0) {
            let now = self.clock.mono();
            if now >= until {
                return false;
            }
            if !self.has_successor() {
                // Nobody is there to take the shards; waiting cannot help.
                return false;
            }
            if now >= read_at {
                read_at = now.plus_ms(READ_MS);
                self.read_map.notify_one();
            }
            self.clock.sleep(POLL_MS).await;
        }
        true
    }

    fn has_successor(&self) -> bool {
        let members = self.members.lock();
        members
            .members()
            .any(|update| matches!(update.state, MemberState::Alive | MemberState::Suspect))
    }
}
