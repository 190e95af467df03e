//! The outgoing connection to one peer.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, SendBufferSize};
use nng::{Error, PipeEvent, Protocol, Socket};
use parking_lot::Mutex;

use crate::network::SendOutcome;

/// The maximum number of queued frames per peer; further ones are dropped. A peer that was unreachable receives newer
/// state when the protocols repeat their messages.
const QUEUE_FRAMES: usize = 256;

/// The first delay before a peer is dialled again; it doubles up to [`RECONNECT_MAX`].
const RECONNECT_MIN: Duration = Duration::from_millis(100);

/// The longest delay between dials; short enough that a restarted peer responds before its suspicion times out.
const RECONNECT_MAX: Duration = Duration::from_secs(2);

/// The socket to one peer, and the frames that wait until it is connected.
///
/// The socket is of type PUB, because nng aborts the process when a PUSH socket sends while the peer closes the
/// connection. A PUB socket drops frames while it is not connected, so they are queued here until it is.
pub(crate) struct PeerLink {
    socket: Socket,
    /// The number of open connections to the peer.
    connections: Arc<AtomicI32>,
    queue: Mutex<VecDeque<Bytes>>,
}

impl PeerLink {
    /// Starts to connect in the background; sets `connected` whenever a connection is established.
    pub(crate) fn dial(address: &str, connected: Arc<AtomicBool>) -> Result<Self, Error> {
        let socket = Socket::new(Protocol::Pub0)?;
        socket.set_opt::<SendBufferSize>(QUEUE_FRAMES as i32)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        let connections = Arc::new(AtomicI32::new(0));
        let open_connections = connections.clone();
        socket.pipe_notify(move |_, event| match event {
            PipeEvent::AddPost => {
                open_connections.fetch_add(1, Ordering::AcqRel);
                connected.store(true, Ordering::Release);
            }
            PipeEvent::RemovePost => {
                open_connections.fetch_sub(1, Ordering::AcqRel);
            }
            _ => {}
        })?;
        socket.dial_async(&format!("tcp://{address}"))?;
        Ok(Self {
            socket,
            connections,
            queue: Mutex::default(),
        })
    }

    /// Sends a frame, or queues it until there is a connection.
    pub(crate) fn send(&self, frame: Bytes) -> SendOutcome {
        let mut queue = self.queue.lock();
        if queue.len() >= QUEUE_FRAMES {
            return SendOutcome::Full;
        }
        queue.push_back(frame);
        self.send_queued(&mut queue)
    }

    /// Sends the queued frames if there is a connection.
    pub(crate) fn flush(&self) {
        self.send_queued(&mut self.queue.lock());
    }

    fn send_queued(&self, queue: &mut VecDeque<Bytes>) -> SendOutcome {
        while self.connections.load(Ordering::Acquire) > 0
            && let Some(frame) = queue.pop_front()
        {
            if self.socket.try_send(frame.as_ref()).is_err() {
                return SendOutcome::Unreachable;
            }
        }
        SendOutcome::Queued
    }
}
