//! The transport over nng: a host has one SUB socket for receiving, and one PUB socket for each peer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::Bytes;
use lw_base::FastMap;
use nng::options::protocol::pubsub::Subscribe;
use nng::options::{Options, RecvBufferSize, RecvMaxSize, RecvTimeout};
use nng::{Error, Protocol, Socket};
use parking_lot::Mutex;

use crate::codec::FRAME_BYTES_MAX;
use crate::network::{Network, SendOutcome};
use crate::peer_link::PeerLink;

/// The number of received frames that may wait for the receiving thread; further ones are dropped. The default of nng,
/// 128, is less than the send queue of one peer.
const RECEIVE_QUEUE_FRAMES: i32 = 4_096;

/// The interval at which the receiving thread checks for shutdown, and its delay after a receive error.
const POLL_MS: u64 = 200;

struct SharedState {
    peers: Mutex<FastMap<String, Arc<PeerLink>>>,
    /// Set when a connection to a peer is established; the receiving thread clears it and sends the queued frames.
    connected: Arc<AtomicBool>,
    /// Set when the transport is dropped, to end the receiving thread.
    stopping: AtomicBool,
    /// The number of outgoing frames that were dropped.
    dropped: AtomicU64,
}

/// A listening nng transport, which shuts down when dropped.
pub struct NngNetwork {
    shared: Arc<SharedState>,
    address: String,
    receive_thread: Option<JoinHandle<()>>,
}

impl NngNetwork {
    /// Listens on `address` (`127.0.0.1:0` picks a free port) and passes every received frame to `on_frame`.
    ///
    /// # Errors
    ///
    /// Returns the nng error when the address cannot be used, and [`Error::OutOfMemory`] when the receiving thread
    /// cannot be started.
    pub fn listen(address: &str, on_frame: impl Fn(&[u8]) + Send + 'static) -> Result<Self, Error> {
        let socket = Socket::new(Protocol::Sub0)?;
        socket.set_opt::<Subscribe>(Vec::new())?;
        socket.set_opt::<RecvBufferSize>(RECEIVE_QUEUE_FRAMES)?;
        socket.set_opt::<RecvMaxSize>(FRAME_BYTES_MAX)?;
        socket.set_opt::<RecvTimeout>(Some(Duration::from_millis(POLL_MS)))?;
        let listener = nng::ListenerBuilder::new(&socket, &format!("tcp://{address}"))?;
        let listener = listener.start().map_err(|(_, error)| error)?;
        let url = listener.get_opt::<nng::options::Url>()?;
        let shared = Arc::new(SharedState {
            peers: Mutex::new(FastMap::default()),
            connected: Arc::default(),
            stopping: AtomicBool::new(false),
            dropped: AtomicU64::new(0),
        });
        let receiver_state = shared.clone();
        let receive_thread = thread::Builder::new()
            .name("peer-receive".to_owned())
            .spawn(move || receive(&socket, &receiver_state, &on_frame))
            .map_err(|_| Error::OutOfMemory)?;
        Ok(Self {
            shared,
            address: url.trim_start_matches("tcp://").to_owned(),
            receive_thread: Some(receive_thread),
        })
    }

    /// Returns the address that the transport listens on.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns the number of outgoing frames that were dropped: full queue, invalid address or failed send.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Returns the sending side.
    #[must_use]
    pub fn network(&self) -> Network {
        let shared = self.shared.clone();
        Network::new(move |address, frame| {
            let outcome = send(&shared, address, &frame);
            if outcome != SendOutcome::Queued {
                shared.dropped.fetch_add(1, Ordering::Relaxed);
            }
            outcome
        })
    }

    /// Closes the sockets to all peers whose address is not in `addresses`.
    pub fn keep_only(&self, addresses: &[&str]) {
        self.shared
            .peers
            .lock()
            .retain(|address, _| addresses.contains(&address.as_str()));
    }
}

impl Drop for NngNetwork {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.receive_thread.take() {
            // The panic hook has already reported a panic of `on_frame`.
            let _ = thread.join();
        }
    }
}

fn receive(socket: &Socket, shared: &SharedState, on_frame: &impl Fn(&[u8])) {
    while !shared.stopping.load(Ordering::Relaxed) {
        if shared.connected.swap(false, Ordering::AcqRel) {
            flush_links(shared);
        }
        match socket.recv() {
            Ok(frame) => on_frame(frame.as_slice()),
            Err(Error::TimedOut) => {}
            Err(Error::Closed) => return,
            Err(error) => {
                log::warn!("peer: receiving a frame failed: {error}");
                thread::sleep(Duration::from_millis(POLL_MS));
            }
        }
    }
}

fn flush_links(shared: &SharedState) {
    let links: Vec<Arc<PeerLink>> = shared.peers.lock().values().cloned().collect();
    for link in links {
        link.flush();
    }
}

fn send(shared: &SharedState, address: &str, frame: &Bytes) -> SendOutcome {
    match link_to(shared, address) {
        Some(link) => link.send(frame.clone()),
        None => SendOutcome::Unreachable,
    }
}

fn link_to(shared: &SharedState, address: &str) -> Option<Arc<PeerLink>> {
    let mut peers = shared.peers.lock();
    if let Some(link) = peers.get(address) {
        return Some(link.clone());
    }
    let link = PeerLink::dial(address, shared.connected.clone())
        .inspect_err(|error| log::warn!("peer: cannot dial {address}: {error}"))
        .ok()?;
    let link = Arc::new(link);
    peers.insert(address.to_owned(), link.clone());
    Some(link)
}
