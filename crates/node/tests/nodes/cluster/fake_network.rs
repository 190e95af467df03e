//! An in-memory network whose links can be cut in one direction.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use lw_node::Node;
use lw_peer::{Network, SendOutcome};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;

type FrameHandler = Arc<dyn Fn(&[u8]) + Send + Sync>;

#[derive(Default)]
struct State {
    /// The host name and frame handler by address.
    handlers: BTreeMap<String, (String, FrameHandler)>,
    /// The sender and receiver of each cut link.
    cut: BTreeSet<(String, String)>,
    /// The probability that a frame is lost.
    loss: f64,
    rng: Option<ChaCha8Rng>,
    /// The number of frames that were put into the queue.
    queued_frames: u64,
    /// The number of frames that were taken from the queue and handled or lost.
    handled_frames: u64,
}

#[derive(Clone)]
pub(crate) struct FakeNetwork {
    state: Arc<Mutex<State>>,
    /// The queue of frames, each with the name of its sender and the address of its receiver.
    frames: mpsc::UnboundedSender<(String, String, Bytes)>,
}

impl FakeNetwork {
    pub(crate) fn start() -> Self {
        let (frames, mut queue) = mpsc::unbounded_channel::<(String, String, Bytes)>();
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = state.clone();
        tokio::spawn(async move {
            while let Some((from, address, frame)) = queue.recv().await {
                let handler = shared.lock().handler(&from, &address);
                if let Some(handler) = handler {
                    handler(&frame);
                }
                shared.lock().handled_frames += 1;
            }
        });
        Self { state, frames }
    }

    pub(crate) fn network(&self, from: &str) -> Network {
        let (from, frames) = (from.to_owned(), self.frames.clone());
        let state = self.state.clone();
        Network::new(move |address, frame| {
            state.lock().queued_frames += 1;
            match frames.send((from.clone(), address.to_owned(), frame)) {
                Ok(()) => SendOutcome::Queued,
                Err(_) => SendOutcome::Unreachable,
            }
        })
    }

    /// Waits until every frame that was sent before this call has been handled or lost.
    pub(crate) async fn wait_until_delivered(&self) {
        let queued_frames = self.state.lock().queued_frames;
        while self.state.lock().handled_frames < queued_frames {
            tokio::task::yield_now().await;
        }
    }

    pub(crate) fn attach(&self, host: &str, address: &str, node: &Node) {
        let handler: FrameHandler = Arc::new(node.frame_handler());
        let handler = (host.to_owned(), handler);
        self.state
            .lock()
            .handlers
            .insert(address.to_owned(), handler);
    }

    pub(crate) fn detach(&self, host: &str) {
        self.state
            .lock()
            .handlers
            .retain(|_, (name, _)| name != host);
    }

    pub(crate) fn is_cut(&self, from: &str, to: &str) -> bool {
        let link = (from.to_owned(), to.to_owned());
        self.state.lock().cut.contains(&link)
    }

    pub(crate) fn set_loss(&self, loss: f64) {
        let mut state = self.state.lock();
        state.loss = loss;
        state.rng = Some(ChaCha8Rng::seed_from_u64(11));
    }

    /// Cuts or restores the links from and to `host`.
    pub(crate) fn set_cut(&self, host: &str, others: &[&str], cut: bool) {
        for other in others {
            self.set_cut_one_way(host, other, cut);
            self.set_cut_one_way(other, host, cut);
        }
    }

    /// Cuts or restores the link from one host to another.
    pub(crate) fn set_cut_one_way(&self, from: &str, to: &str, cut: bool) {
        let mut state = self.state.lock();
        let link = (from.to_owned(), to.to_owned());
        match cut {
            true => state.cut.insert(link),
            false => state.cut.remove(&link),
        };
    }
}

impl State {
    fn handler(&mut self, from: &str, address: &str) -> Option<FrameHandler> {
        let loss = self.loss;
        if self.rng.as_mut().is_some_and(|rng| rng.random_bool(loss)) {
            return None;
        }
        let (host, handler) = self.handlers.get(address)?;
        let cut = self.cut.contains(&(from.to_owned(), host.clone()));
        (!cut).then(|| handler.clone())
    }
}
