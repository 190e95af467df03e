//! The frame codec.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use lw_base::FastMap;
use parking_lot::{Mutex, RwLock};
use serde::{Deserialize, Serialize};

use crate::frame_refusal::{FrameRefusal, FrameRefusalCounts};
use crate::message::Message;
use crate::peer_keys::{PeerKeys, TAG_BYTES};
use crate::replay_window::ReplayWindow;

/// The version byte of frames.
pub const FRAME_VERSION: u8 = 1;

/// The largest frame.
pub const FRAME_BYTES_MAX: usize = 64 * 1024;

/// A frame that passed all checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// The name of the sender.
    pub sender: Arc<str>,
    /// The incarnation of the sender.
    pub incarnation: u64,
    /// The message.
    pub message: Message,
}

#[derive(Serialize, Deserialize)]
struct Head {
    sender: Arc<str>,
    receiver: Arc<str>,
    incarnation: u64,
    sequence: u64,
    kind: u8,
}

/// Encodes and decodes the frames of one host.
pub struct Codec {
    host: Arc<str>,
    incarnation: u64,
    next_sequence: AtomicU64,
    keys: RwLock<PeerKeys>,
    windows: Mutex<FastMap<Arc<str>, ReplayWindow>>,
    counts: FrameRefusalCounts,
}

impl Codec {
    /// Builds the codec of the host `host`; `incarnation` must rise with every start of the process.
    #[must_use]
    pub fn new(host: &str, incarnation: u64, keys: PeerKeys) -> Self {
        Self {
            host: host.into(),
            incarnation,
            next_sequence: AtomicU64::new(1),
            keys: RwLock::new(keys),
            windows: Mutex::new(FastMap::default()),
            counts: FrameRefusalCounts::default(),
        }
    }

    /// Replaces the keys, for a key change.
    pub fn set_keys(&self, keys: PeerKeys) {
        *self.keys.write() = keys;
    }

    /// Returns the counts of refused frames.
    #[must_use]
    pub fn refusals(&self) -> &FrameRefusalCounts {
        &self.counts
    }

    /// Encodes a message for the host `receiver`; the name is empty for a seed that is known by address only.
    ///
    /// # Errors
    ///
    /// Returns [`FrameRefusal::TooLarge`] when the frame exceeds [`FRAME_BYTES_MAX`].
    pub fn encode(&self, receiver: &str, message: &Message) -> Result<Bytes, FrameRefusal> {
        let head = Head {
            sender: self.host.clone(),
            receiver: receiver.into(),
            incarnation: self.incarnation,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
            kind: message.kind(),
        };
        let frame = postcard::to_extend(&head, vec![FRAME_VERSION])
            .and_then(|frame| postcard::to_extend(message, frame));
        let mut frame = frame.map_err(|_| FrameRefusal::Malformed)?;
        if frame.len() + TAG_BYTES > FRAME_BYTES_MAX {
            return Err(FrameRefusal::TooLarge);
        }
        let tag = self.keys.read().tag(&frame);
        frame.extend_from_slice(&tag);
        Ok(frame.into())
    }

    /// Checks and decodes a frame; a refused frame is counted by reason.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal.
    pub fn decode(&self, frame: &[u8]) -> Result<ReceivedMessage, FrameRefusal> {
        let result = self.check(frame);
        if let Err(refusal) = result {
            self.counts.add(refusal);
        }
        result
    }

    fn check(&self, frame: &[u8]) -> Result<ReceivedMessage, FrameRefusal> {
        if frame.len() > FRAME_BYTES_MAX {
            return Err(FrameRefusal::TooLarge);
        }
        if frame.len() <= TAG_BYTES + 1 {
            return Err(FrameRefusal::Truncated);
        }
        if frame[0] != FRAME_VERSION {
            return Err(FrameRefusal::Version);
        }
        let (signed, tag) = frame.split_at(frame.len() - TAG_BYTES);
        if !self.keys.read().accepts(signed, tag) {
            return Err(FrameRefusal::Key);
        }
        self.open(&signed[1..])
    }

    fn open(&self, signed: &[u8]) -> Result<ReceivedMessage, FrameRefusal> {
        let (head, body) =
            postcard::take_from_bytes::<Head>(signed).map_err(|_| FrameRefusal::Malformed)?;
        let (message, rest) =
            postcard::take_from_bytes::<Message>(body).map_err(|_| FrameRefusal::Malformed)?;
        if !rest.is_empty() || message.kind() != head.kind {
            return Err(FrameRefusal::Malformed);
        }
        // A seed is known by address only, so membership messages may leave the receiver open.
        let open = head.receiver.is_empty() && matches!(message, Message::Member(_));
        if !(open || head.receiver == self.host) {
            return Err(FrameRefusal::Misdirected);
        }
        if !self.is_new(&head) {
            return Err(FrameRefusal::Replayed);
        }
        Ok(ReceivedMessage {
            sender: head.sender,
            incarnation: head.incarnation,
            message,
        })
    }

    fn is_new(&self, head: &Head) -> bool {
        self.windows
            .lock()
            .entry(head.sender.clone())
            .or_insert_with(|| ReplayWindow::new(head.incarnation))
            .accept(head.incarnation, head.sequence)
    }
}
