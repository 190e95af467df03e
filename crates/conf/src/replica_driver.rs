//! Drives a replica: calls its tick periodically, sends its messages and performs its calls to the key-value service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use lw_base::MonoMs;
use lw_plat::Kv;
use parking_lot::Mutex;
use tokio::task::JoinSet;

use crate::action::{ConfAction, StoreCall, StoreEvent};
use crate::config::ConfigReader;
use crate::execute::execute;
use crate::head::RevisionMark;
use crate::message::ConfMessage;
use crate::publish::publish;
use crate::publish_error::PublishError;
use crate::publish_request::{PublishRequest, Published};
use crate::replica::Replica;

const TICK_MS: u64 = 100;

/// Sends a message to the host of the given name; the message may be lost.
pub type SendMessage = Box<dyn Fn(&str, Bytes) + Send + Sync>;

/// The I/O that a [`ReplicaDriver`] uses.
pub struct ReplicaDriverParts {
    /// The key-value service.
    pub kv: Kv,
    /// Sends messages to other hosts.
    pub send: SendMessage,
    /// The monotonic clock.
    pub now: Box<dyn Fn() -> MonoMs + Send + Sync>,
    /// A source of random numbers.
    pub random: Box<dyn Fn() -> u64 + Send + Sync>,
}

/// Drives the replica of a host and performs its actions.
pub struct ReplicaDriver {
    replica: Mutex<Replica>,
    reader: ConfigReader,
    parts: ReplicaDriverParts,
    calls: tokio::sync::mpsc::UnboundedSender<StoreCall>,
    queue: Mutex<Option<tokio::sync::mpsc::UnboundedReceiver<StoreCall>>>,
}

impl ReplicaDriver {
    /// Creates the driver of `host`; [`Self::run`] starts it.
    #[must_use]
    pub fn new(host: &str, parts: ReplicaDriverParts) -> Arc<Self> {
        let replica = Replica::new(host);
        // At most one call is outstanding, so the channel stays short.
        let (calls, queue) = tokio::sync::mpsc::unbounded_channel();
        Arc::new(Self {
            reader: replica.reader(),
            replica: Mutex::new(replica),
            parts,
            calls,
            queue: Mutex::new(Some(queue)),
        })
    }

    /// Returns a reader of the revision in force.
    #[must_use]
    pub fn reader(&self) -> ConfigReader {
        self.reader.clone()
    }

    /// Returns the revision and digest in force, for heartbeats.
    #[must_use]
    pub fn mark(&self) -> Option<RevisionMark> {
        self.replica.lock().mark()
    }

    /// Returns true when the host may serve requests, see [`Replica::ready`].
    #[must_use]
    pub fn ready(&self) -> bool {
        self.replica.lock().ready()
    }

    /// Returns true when the host is the first relay of its region.
    #[must_use]
    pub fn is_first_relay(&self) -> bool {
        self.replica.lock().is_first_relay()
    }

    /// Sets the live hosts of the host's region.
    pub fn set_hosts(&self, region: &str, hosts: &[String]) {
        self.replica.lock().set_hosts(region, hosts);
    }

    /// Handles the revision that a heartbeat of `peer` carries.
    pub fn on_peer_mark(&self, peer: &str, mark: RevisionMark) {
        let now = (self.parts.now)();
        self.update(|replica, out| replica.on_peer_mark(now, peer, mark, out));
    }

    /// Handles a message of the host `from`. Returns false when it is malformed.
    pub fn on_message(&self, from: &str, bytes: &[u8]) -> bool {
        let Some(message) = ConfMessage::decode(bytes) else {
            return false;
        };
        let now = (self.parts.now)();
        self.update(|replica, out| replica.on_message(now, from, message, out));
        true
    }

    /// Publishes a document and pushes it immediately.
    ///
    /// # Errors
    ///
    /// See [`publish`].
    pub async fn publish(&self, request: PublishRequest) -> Result<Published, PublishError> {
        let known = self.reader.load();
        let base = known.as_ref().map(|config| config.mark);
        let base = base.filter(|mark| mark.revision == request.base_revision);
        let request = PublishRequest {
            base_digest: request.base_digest.or(base.map(|mark| mark.digest)),
            known,
            ..request
        };
        let published = publish(&self.parts.kv, &request).await?;
        let own = published.clone();
        self.update(|replica, out| replica.on_published(own, out));
        Ok(published)
    }

    /// Runs until the future is dropped. A second call returns immediately.
    pub async fn run(&self) {
        let Some(mut queue) = self.queue.lock().take() else {
            return;
        };
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut running: JoinSet<StoreEvent> = JoinSet::new();
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                Some(call) = queue.recv() => {
                    let kv = self.parts.kv.clone();
                    running.spawn(async move { execute(&kv, call).await });
                }
                Some(event) = running.join_next() => self.on_call_completed(event),
            }
        }
    }

    fn tick(&self) {
        let (now, random) = ((self.parts.now)(), (self.parts.random)());
        self.update(|replica, out| replica.tick(now, random, out));
    }

    fn on_call_completed(&self, event: Result<StoreEvent, tokio::task::JoinError>) {
        let event = event.unwrap_or_else(|error| StoreEvent::Failed(error.to_string()));
        let (now, random) = ((self.parts.now)(), (self.parts.random)());
        self.update(|replica, out| replica.on_store_event(now, random, event, out));
    }

    fn update(&self, decide: impl FnOnce(&mut Replica, &mut Vec<ConfAction>)) {
        let mut out = Vec::new();
        decide(&mut self.replica.lock(), &mut out);
        for action in out {
            match action {
                ConfAction::Send { to, message } => (self.parts.send)(&to, message.encode()),
                // The channel is closed only after the future of `run` was dropped, and then no calls are needed.
                ConfAction::Call(call) => drop(self.calls.send(call)),
            }
        }
    }
}
