//! Reads and writes of the shard map.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use lw_base::prelude::*;
use lw_idem::{ProposalResult, ShardMap};
use lw_member::{MemberMessage, ProbePayload};
use lw_peer::Message;
use lw_plat::{KvError, ReconnectBackoff};
use tokio::sync::mpsc;

use crate::core::Core;
use crate::map_store::{map_key, read_map, write_map};
use crate::traffic::add;

/// How often each host reads the map as evidence: 380 hosts make 127 of the service's 2,000 reads/s.
const READ_MS: u64 = 3_000;

/// The least time between two reads, however often a newer map is heard of.
const READ_GAP_MS: u64 = 500;

/// How long one call may take.
const CALL_MS: u64 = 5_000;

/// A map to be written.
pub(crate) struct Proposed {
    /// The map.
    pub(crate) map: Arc<ShardMap>,
    /// The version that must be stored.
    pub(crate) if_version: u64,
}

/// Reads the map until the node ends.
pub(crate) async fn read_maps(core: Arc<Core>) {
    let mut reconnect = ReconnectBackoff::default();
    loop {
        match read_once(&core).await {
            Ok(()) => {
                reconnect.reset();
                core.clock.sleep(READ_GAP_MS).await;
                let rest_ms = core.jittered(READ_MS) - READ_GAP_MS;
                tokio::select! {
                    () = core.clock.sleep(rest_ms) => {}
                    () = core.read_map.notified() => {}
                }
            }
            Err(error) => {
                if reconnect.failures() == 0 {
                    log::warn!("node: the shard map cannot be read: {error}");
                }
                let delay_ms = reconnect.next_delay_ms(&mut *core.rng.lock());
                core.clock.sleep(delay_ms.max(READ_GAP_MS)).await;
            }
        }
    }
}

async fn read_once(core: &Arc<Core>) -> Result<(), KvError> {
    add(&core.traffic.map_reads, 1);
    let _turn = core.map_turn.lock().await;
    let sent_at = core.clock.mono();
    let read = read_map(&core.kv, map_key(&core.identity.region));
    let read = core.clock.limit(CALL_MS, read).await;
    let (version, map) = read.unwrap_or(Err(KvError::ReplyLost))?;
    let (now, wall) = (core.clock.mono(), core.clock.wall());
    let mut out = Vec::new();
    core.idem
        .on_map(version, map.as_ref(), sent_at, now, wall, &mut out);
    core.map_read_at.store(sent_at.0, Ordering::Release);
    core.perform_idem(out);
    Ok(())
}

/// Writes proposed maps until the node ends.
pub(crate) async fn write_maps(core: Arc<Core>, mut proposals: mpsc::UnboundedReceiver<Proposed>) {
    while let Some(proposed) = proposals.recv().await {
        add(&core.traffic.map_writes, 1);
        let _turn = core.map_turn.lock().await;
        let key = map_key(&core.identity.region);
        let write = write_map(&core.kv, key, &proposed.map, proposed.if_version);
        let result = core.clock.limit(CALL_MS, write).await;
        let result = result.unwrap_or(ProposalResult::Unclear);
        log::info!("node: shard map {} is {result:?}", proposed.map.revision);
        let (now, wall) = (core.clock.mono(), core.clock.wall());
        let mut out = Vec::new();
        core.idem.on_proposed(result, now, wall, &mut out);
        core.perform_idem(out);
        if matches!(result, ProposalResult::Written { .. }) {
            core.announce_map();
        }
    }
}

impl Core {
    /// Shows the new map revision to all members, which then read the map at once and not at their next regular read.
    ///
    /// The acknowledgements are ignored, because no probe with this nonce is outstanding.
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

    /// Returns how long ago the key-value service answered, in milliseconds.
    pub(crate) fn service_age_ms(&self, now: MonoMs) -> Option<u64> {
        let at = self.service_at.load(Ordering::Acquire);
        (at > 0).then(|| now.since_ms(MonoMs(at)))
    }
}
