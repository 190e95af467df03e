//! Hands over the shards of a node before a planned stop.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use lw_member::MemberState;

use crate::core::Core;

/// The period of checks whether the handover is complete.
const POLL_PERIOD_MS: u64 = 100;

/// The period of map reads during the handover, because other hosts write the views that replace this one as a backup.
const MAP_READ_PERIOD_MS: u64 = 1_000;

impl Core {
    /// Removes the host from the directory, announces the leave to the peers, and hands over the shards, within
    /// `limit_ms`.
    ///
    /// Returns true once this host is neither owner nor backup of a shard.
    pub(crate) async fn leave(self: &Arc<Self>, limit_ms: u64) -> bool {
        self.leaving.store(true, Ordering::Release);
        let until = self.clock.mono().plus_ms(limit_ms);
        self.clock.timeout(limit_ms, self.unregister()).await;
        let mut out = Vec::new();
        self.members.lock().leave(&mut out);
        self.perform_member_actions(out);
        self.idem.leave();
        let mut next_read_at = self.clock.mono();
        while self.idem.shard_counts() != (0, 0) {
            let now = self.clock.mono();
            if now >= until {
                return false;
            }
            if !self.has_successor() {
                // No other host can take over the shards, so the handover cannot complete.
                return false;
            }
            if now >= next_read_at {
                next_read_at = now.plus_ms(MAP_READ_PERIOD_MS);
                self.map_read_requested.notify_one();
            }
            self.clock.sleep(POLL_PERIOD_MS).await;
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
