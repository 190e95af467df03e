//! Decodes received frames and dispatches their messages.

use std::sync::Arc;
use std::time::Instant;

use lw_idem::Instance;
use lw_member::MemberMessage;
use lw_peer::{Message, ReceivedMessage};

use crate::core::Core;

/// The maximum number of hosts of other regions whose names are kept.
const MAX_REMOTE_HOSTS: usize = 256;

impl Core {
    /// Handles a frame that the transport received.
    pub(crate) fn on_frame(self: &Arc<Self>, frame: &[u8]) {
        if self.is_stopped() {
            return;
        }
        let began = Instant::now();
        self.counters.record_received(frame.len());
        if let Ok(received) = self.codec.decode(frame) {
            self.on_received(received);
        }
        self.counters.record_work(began.elapsed());
    }

    fn on_received(self: &Arc<Self>, received: ReceivedMessage) {
        let from = Instance {
            host: received.sender,
            incarnation: received.incarnation,
        };
        match received.message {
            Message::Member(message) => self.on_member_message(&from, message),
            Message::Idem(message) => {
                let mut out = Vec::new();
                self.idem
                    .on_message(&from, message, self.clock.mono(), &mut out);
                self.perform_idem_actions(out);
            }
            Message::ConfigPush(bytes)
            | Message::ConfigPull(bytes)
            | Message::ConfigReply(bytes) => {
                if !self.conf.on_message(&from.host, &bytes) {
                    log::warn!("node: a configuration message from {from} is malformed");
                }
                self.deliver_config();
            }
            Message::LoadBoard(bytes) => self.on_load_board(&from.host, &bytes),
        }
    }

    fn on_member_message(self: &Arc<Self>, from: &Instance, message: MemberMessage) {
        let (now, wall) = (self.clock.mono(), self.clock.wall());
        match &message {
            MemberMessage::RegionDigest { address, .. } => self.record_remote_host(from, address),
            MemberMessage::Probe(payload) | MemberMessage::ProbeAck { payload, .. }
                if payload.map_revision > self.idem.map_revision() =>
            {
                self.map_read_requested.notify_one();
            }
            _ => {}
        }
        let mut out = Vec::new();
        self.members.lock().on_message(
            (&from.host, from.incarnation),
            message,
            |sender_revision| self.idem.on_probe(from, sender_revision, now),
            now,
            wall,
            &mut out,
        );
        self.perform_member_actions(out);
    }

    fn record_remote_host(&self, from: &Instance, address: &Arc<str>) {
        let mut remote_hosts = self.remote_hosts.lock();
        if remote_hosts.len() >= MAX_REMOTE_HOSTS && !remote_hosts.contains_key(address) {
            remote_hosts.clear();
        }
        remote_hosts.insert(address.clone(), from.host.clone());
    }
}
