//! Encodes, authenticates and decodes frames.

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

/// The first byte of every frame: the version of the frame format.
pub const FRAME_VERSION: u8 = 1;

/// The maximum size of a frame, including its tag.
pub const FRAME_BYTES_MAX: usize = 64 * 1024;

/// The message of a frame that passed all checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// The name of the sender.
    pub sender: Arc<str>,
    /// The incarnation of the sender's process.
    pub incarnation: u64,
    /// The message.
    pub message: Message,
}

#[derive(Serialize, Deserialize)]
struct FrameHeader {
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
    /// The replay window of each sender.
    windows: Mutex<FastMap<Arc<str>, ReplayWindow>>,
    refusals: FrameRefusalCounts,
}

impl Codec {
    /// Creates the codec of `host`; `incarnation` must increase with every start of the process.
    #[must_use]
    pub fn new(host: &str, incarnation: u64, keys: PeerKeys) -> Self {
        Self {
            host: host.into(),
            incarnation,
            next_sequence: AtomicU64::new(1),
            keys: RwLock::new(keys),
            windows: Mutex::new(FastMap::default()),
            refusals: FrameRefusalCounts::default(),
        }
    }

    /// Replaces the keys, during a key rotation.
    pub fn set_keys(&self, keys: PeerKeys) {
        *self.keys.write() = keys;
    }

    /// Returns the counts of rejected frames.
    #[must_use]
    pub fn refusals(&self) -> &FrameRefusalCounts {
        &self.refusals
    }

    /// Encodes a message to the host `receiver`; the name is empty for a seed host of which only the address is known.
    ///
    /// # Errors
    ///
    /// Returns [`FrameRefusal::TooLarge`] when the frame exceeds [`FRAME_BYTES_MAX`].
    pub fn encode(&self, receiver: &str, message: &Message) -> Result<Bytes, FrameRefusal> {
        let header = FrameHeader {
            sender: self.host.clone(),
            receiver: receiver.into(),
            incarnation: self.incarnation,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
            kind: message.kind(),
        };
        let frame = postcard::to_extend(&header, vec![FRAME_VERSION])
            .and_then(|frame| postcard::to_extend(message, frame));
        let mut frame = frame.map_err(|_| FrameRefusal::Malformed)?;
        if frame.len() + TAG_BYTES > FRAME_BYTES_MAX {
            return Err(FrameRefusal::TooLarge);
        }
        let tag = self.keys.read().tag(&frame);
        frame.extend_from_slice(&tag);
        Ok(frame.into())
    }

    /// Checks and decodes a frame; counts rejected frames by reason.
    ///
    /// # Errors
    ///
    /// Returns the reason why the frame was rejected.
    pub fn decode(&self, frame: &[u8]) -> Result<ReceivedMessage, FrameRefusal> {
        let result = self.check(frame);
        if let Err(refusal) = result {
            self.refusals.add(refusal);
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
        self.decode_signed(&signed[1..])
    }

    fn decode_signed(&self, signed: &[u8]) -> Result<ReceivedMessage, FrameRefusal> {
        let (header, body) = postcard::take_from_bytes::<FrameHeader>(signed)
            .map_err(|_| FrameRefusal::Malformed)?;
        let (message, rest) =
            postcard::take_from_bytes::<Message>(body).map_err(|_| FrameRefusal::Malformed)?;
        if !rest.is_empty() || message.kind() != header.kind {
            return Err(FrameRefusal::Malformed);
        }
        // Only the address of a seed host is known at first, so membership messages may omit the receiver.
        let receiver_omitted = header.receiver.is_empty() && matches!(message, Message::Member(_));
        if !(receiver_omitted || header.receiver == self.host) {
            return Err(FrameRefusal::Misdirected);
        }
        if !self.is_new(&header) {
            return Err(FrameRefusal::Replayed);
        }
        Ok(ReceivedMessage {
            sender: header.sender,
            incarnation: header.incarnation,
            message,
        })
    }

    fn is_new(&self, header: &FrameHeader) -> bool {
        self.windows
            .lock()
            .entry(header.sender.clone())
            .or_insert_with(|| ReplayWindow::new(header.incarnation))
            .accept(header.incarnation, header.sequence)
    }
}
