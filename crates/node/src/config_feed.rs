//! Configuration: messages to peers, and delivery of new revisions.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use lw_conf::RevisionMark;
use lw_doc::Digest;
use lw_peer::Message;

use crate::core::Core;

impl Core {
    /// Sends an encoded configuration message.
    pub(crate) fn send_conf(&self, to: &str, bytes: Bytes) {
        let Some((address, _)) = self.address_of(to) else {
            return;
        };
        // The first byte of the postcard form is the variant: push, pull, then the two replies.
        let message = match bytes.first() {
            Some(0) => Message::ConfigPush(bytes),
            Some(1) => Message::ConfigPull(bytes),
            _ => Message::ConfigReply(bytes),
        };
        self.send(to, &address, &message);
    }

    /// Tells the host about a new revision in force.
    pub(crate) fn deliver_config(&self) {
        let _turn = self.delivery.lock();
        let Some(config) = self.conf.reader().load() else {
            return;
        };
        let revision = config.mark.revision;
        if revision <= self.delivered.load(Ordering::Acquire) {
            return;
        }
        (self.on_config)(&config);
        self.mark_targets();
        self.delivered.store(revision, Ordering::Release);
        log::info!("node: revision {revision} is in force");
    }

    /// Pulls from a member that is ahead, or from a relay of another region when no member is.
    pub(crate) fn pull_config(&self) {
        let revision = self.revision();
        let ahead = self.members.lock().ahead_of(revision).cloned();
        let peer = ahead
            .map(|update| update.host)
            .or_else(|| self.stranger_ahead(revision));
        let Some(peer) = peer else {
            return;
        };
        // Heartbeats carry no digest; for a higher revision none is needed.
        let mark = RevisionMark {
            revision: revision + 1,
            digest: Digest([0; 32]),
        };
        self.conf.on_peer_mark(&peer, mark);
    }

    fn stranger_ahead(&self, revision: u64) -> Option<std::sync::Arc<str>> {
        let members = self.members.lock();
        let ahead = members
            .region_summaries()
            .filter(|summary| summary.conf_revision > revision);
        let strangers = self.strangers.lock();
        ahead
            .flat_map(|summary| &summary.relays)
            .find_map(|relay| strangers.get(relay).cloned())
    }
}
