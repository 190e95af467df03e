//! Reads the shard map periodically and writes proposed maps.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use lw_base::prelude::*;
use lw_idem::{ProposalResult, ShardMap};
use lw_member::{MemberMessage, ProbePayload};
use lw_peer::Message;
use lw_plat::{KvError, ReconnectBackoff};
use tokio::sync::mpsc;

use crate::control_counters::add;
use crate::core::Core;
use crate::map_store::{map_key, read_map, write_map};

/// The period of map reads. Each read is evidence that this host still owns its shards; 380 hosts make 127 of the
/// 2,000 reads/s that the key-value service allows.
const READ_PERIOD_MS: u64 = 3_000;

/// The minimum interval between two reads, however often peers announce a newer map.
const MIN_READ_INTERVAL_MS: u64 = 500;

/// The timeout of one call to the key-value service.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// A proposed map that waits to be written.
pub(crate) struct MapProposal {
    /// The map.
    pub(crate) map: Arc<ShardMap>,
    /// The stored version that the write replaces.
    pub(crate) if_version: u64,
}

/// Reads the map until the node ends.
pub(crate) async fn read_maps(core: Arc<Core>) {
    let mut reconnect = ReconnectBackoff::default();
    loop {
        match read_once(&core).await {
            Ok(()) => {
                reconnect.reset();
                core.clock.sleep(MIN_READ_INTERVAL_MS).await;
                let remaining_ms = core.jittered(READ_PERIOD_MS) - MIN_READ_INTERVAL_MS;
                tokio::select! {
                    () = core.clock.sleep(remaining_ms) => {}
                    () = core.map_read_requested.notified() => {}
                }
            }
            Err(error) => {
                if reconnect.failures() == 0 {
                    log::warn!("node: the shard map cannot be read: {error}");
                }
                let delay_ms = reconnect.next_delay_ms(&mut *core.rng.lock());
                core.clock.sleep(delay_ms.max(MIN_READ_INTERVAL_MS)).await;
            }
        }
    }
}

async fn read_once(core: &Arc<Core>) -> Result<(), KvError> {
    add(&core.counters.map_reads, 1);
    let _guard = core.map_lock.lock().await;
    let sent_at = core.clock.mono();
    let read = read_map(&core.kv, map_key(&core.identity.region));
    let read = core.clock.timeout(CALL_TIMEOUT_MS, read).await;
    let (version, map) = read.unwrap_or(Err(KvError::ReplyLost))?;
    let (now, wall) = (core.clock.mono(), core.clock.wall());
    let mut out = Vec::new();
    core.idem
        .on_map(version, map.as_ref(), sent_at, now, wall, &mut out);
    core.map_read_sent_at_ms.store(sent_at.0, Ordering::Release);
    core.perform_idem_actions(out);
    Ok(())
}

/// Writes proposed maps until the node ends.
pub(crate) async fn write_maps(
    core: Arc<Core>,
    mut proposals: mpsc::UnboundedReceiver<MapProposal>,
) {
    while let Some(proposal) = proposals.recv().await {
        add(&core.counters.map_writes, 1);
        let _guard = core.map_lock.lock().await;
        let key = map_key(&core.identity.region);
        let write = write_map(&core.kv, key, &proposal.map, proposal.if_version);
        let result = core.clock.timeout(CALL_TIMEOUT_MS, write).await;
        let result = result.unwrap_or(ProposalResult::Unclear);
        log::info!("node: shard map {} is {result:?}", proposal.map.revision);
        let (now, wall) = (core.clock.mono(), core.clock.wall());
        let mut out = Vec::new();
        core.idem.on_proposed(result, now, wall, &mut out);
        core.perform_idem_actions(out);
        if matches!(result, ProposalResult::Written { .. }) {
            core.announce_map();
        }
    }
}

impl Core {
    /// Announces the new map revision to all members, which then read the map before their next periodic read.
    ///
    /// The announcement is a probe; its acknowledgements are ignored, because no probe with this nonce is outstanding.
    fn announce_map(&self) {
        let message = Message::Member(MemberMessage::Probe(ProbePayload {
            nonce: u64::MAX,
            wall: self.clock.wall(),
            conf_revision: self.revision(),
            map_revision: self.idem.map_revision(),
            updates: Vec::new(),
        }));
        for (host, address) in self.live_members() {
            self.send(&host, &address, &message);
        }
    }

    /// Returns the milliseconds since the last answer of the key-value service, or `None` without an answer.
    pub(crate) fn kv_answer_age_ms(&self, now: MonoMs) -> Option<u64> {
        let at = self.kv_answered_at_ms.load(Ordering::Acquire);
        (at > 0).then(|| now.since_ms(MonoMs(at)))
    }
}
