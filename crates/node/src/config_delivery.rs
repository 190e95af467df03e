//! Sends configuration messages to peers, and delivers new revisions to the host.

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
        // The first byte of the postcard encoding is the index of the variant: push, pull, then the two replies.
        let message = match bytes.first() {
            Some(0) => Message::ConfigPush(bytes),
            Some(1) => Message::ConfigPull(bytes),
            _ => Message::ConfigReply(bytes),
        };
        self.send(to, &address, &message);
    }

    /// Calls `on_config` with the revision in force unless it was delivered before.
    pub(crate) fn deliver_config(&self) {
        let _guard = self.delivery_lock.lock();
        let Some(config) = self.conf.reader().load() else {
            return;
        };
        let revision = config.mark.revision;
        if revision <= self.delivered_revision.load(Ordering::Acquire) {
            return;
        }
        (self.on_config)(&config);
        self.apply_leaving_marks();
        self.delivered_revision.store(revision, Ordering::Release);
        log::info!("node: revision {revision} is in force");
    }

    /// Pulls the configuration from a member with a newer revision, or else from a relay of another region with one.
    pub(crate) fn pull_config(&self) {
        let revision = self.revision();
        let ahead = self.members.lock().ahead_of(revision).cloned();
        let peer = ahead
            .map(|update| update.host)
            .or_else(|| self.remote_relay_ahead(revision));
        let Some(peer) = peer else {
            return;
        };
        // Heartbeats carry no digest, and a higher revision is pulled whatever its digest is.
        let mark = RevisionMark {
            revision: revision + 1,
            digest: Digest([0; 32]),
        };
        self.conf.on_peer_mark(&peer, mark);
    }

    fn remote_relay_ahead(&self, revision: u64) -> Option<std::sync::Arc<str>> {
        let members = self.members.lock();
        let ahead = members
            .region_summaries()
            .filter(|summary| summary.conf_revision > revision);
        let remote_hosts = self.remote_hosts.lock();
        ahead
            .flat_map(|summary| &summary.relays)
            .find_map(|relay| remote_hosts.get(relay).cloned())
    }
}
