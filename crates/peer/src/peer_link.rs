//! The sending side to one peer.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, SendBufferSize};
use nng::{Error, PipeEvent, Protocol, Socket};
use parking_lot::Mutex;

use crate::network::SendOutcome;

/// Frames that wait for one peer; a peer that is away for longer gets newer state by the protocols' own repeats.
const QUEUE_FRAMES: usize = 256;

/// The first pause before another connection attempt to a peer; it doubles up to [`RECONNECT_MAX`].
const RECONNECT_MIN: Duration = Duration::from_millis(100);

/// The longest pause between connection attempts: a restarted peer answers within the time of a suspicion.
const RECONNECT_MAX: Duration = Duration::from_secs(2);

/// The socket to one peer, and the frames that wait for its connection.
///
/// A publishing socket is used, because a pushing one of the library aborts the process when it sends while the peer
/// closes the connection. A publishing socket drops frames without a connection, so they are kept here until then.
pub(crate) struct PeerLink {
    socket: Socket,
    connections: Arc<AtomicI32>,
    waiting: Mutex<VecDeque<Bytes>>,
}

impl PeerLink {
    /// Starts to connect; `connected` is set whenever a connection is made.
    pub(crate) fn dial(address: &str, connected: Arc<AtomicBool>) -> Result<Self, Error> {
        let socket = Socket::new(Protocol::Pub0)?;
        socket.set_opt::<SendBufferSize>(QUEUE_FRAMES as i32)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        let connections = Arc::new(AtomicI32::new(0));
        let seen = connections.clone();
        socket.pipe_notify(move |_, event| match event {
            PipeEvent::AddPost => {
                seen.fetch_add(1, Ordering::AcqRel);
                connected.store(true, Ordering::Release);
            }
            PipeEvent::RemovePost => {
                seen.fetch_sub(1, Ordering::AcqRel);
            }
            _ => {}
        })?;
        socket.dial_async(&format!("tcp://{address}"))?;
        Ok(Self {
            socket,
            connections,
            waiting: Mutex::default(),
        })
    }

    /// Sends a frame, or keeps it until there is a connection.
    pub(crate) fn send(&self, frame: Bytes) -> SendOutcome {
        let mut waiting = self.waiting.lock();
        if waiting.len() >= QUEUE_FRAMES {
            return SendOutcome::Full;
        }
        waiting.push_back(frame);
        self.send_waiting(&mut waiting)
    }

    /// Sends the frames that waited for the connection.
    pub(crate) fn flush(&self) {
        self.send_waiting(&mut self.waiting.lock());
    }

    fn send_waiting(&self, waiting: &mut VecDeque<Bytes>) -> SendOutcome {
        while self.connections.load(Ordering::Acquire) > 0
            && let Some(frame) = waiting.pop_front()
        {
            if self.socket.try_send(frame.as_ref()).is_err() {
                return SendOutcome::Unreachable;
            }
        }
        SendOutcome::Queued
    }
}
