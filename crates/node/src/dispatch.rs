//! Received messages.

use std::sync::Arc;
use std::time::Instant;

use lw_idem::Instance;
use lw_member::MemberMessage;
use lw_peer::{Message, ReceivedMessage};

use crate::core::Core;

/// How many hosts of other regions are remembered by name.
const MAX_STRANGERS: usize = 256;

impl Core {
    /// Takes a frame from the transport.
    pub(crate) fn on_frame(self: &Arc<Self>, frame: &[u8]) {
        if self.is_stopped() {
            return;
        }
        let began = Instant::now();
        self.traffic.received(frame.len());
        if let Ok(received) = self.codec.decode(frame) {
            self.on_received(received);
        }
        self.traffic.busy(began.elapsed());
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
                self.perform_idem(out);
            }
            Message::ConfigPush(bytes)
            | Message::ConfigPull(bytes)
            | Message::ConfigReply(bytes) => {
                if !self.conf.on_message(&from.host, &bytes) {
                    log::warn!("node: a configuration message of {from} is malformed");
                }
                self.deliver_config();
            }
            Message::LoadBoard(bytes) => self.on_load_board(&from.host, &bytes),
        }
    }

    fn on_member_message(self: &Arc<Self>, from: &Instance, message: MemberMessage) {
        let (now, wall) = (self.clock.mono(), self.clock.wall());
        match &message {
            MemberMessage::RegionDigest { address, .. } => self.meet_stranger(from, address),
            MemberMessage::Probe(payload) | MemberMessage::ProbeAck { payload, .. }
                if payload.map_revision > self.idem.map_revision() =>
            {
                self.read_map.notify_one();
            }
            _ => {}
        }
        let mut out = Vec::new();
        self.members.lock().on_message(
            (&from.host, from.incarnation),
            message,
            |shown_revision| self.idem.on_probe(from, shown_revision, now),
            now,
            wall,
            &mut out,
        );
        self.perform_members(out);
    }

    fn meet_stranger(&self, from: &Instance, address: &Arc<str>) {
        let mut strangers = self.strangers.lock();
        if strangers.len() >= MAX_STRANGERS && !strangers.contains_key(address) {
            strangers.clear();
        }
        strangers.insert(address.clone(), from.host.clone());
    }
}
