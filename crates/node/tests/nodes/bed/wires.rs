//! A network in memory whose links can be cut in one direction.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use lw_node::Node;
use lw_peer::{Network, SendOutcome};
use parking_lot::Mutex;
use tokio::sync::mpsc;

type Taker = Arc<dyn Fn(&[u8]) + Send + Sync>;

#[derive(Default)]
struct State {
    /// Host and closure by address.
    takers: BTreeMap<String, (String, Taker)>,
    /// Sender and receiver of cut links.
    cut: BTreeSet<(String, String)>,
}

#[derive(Clone)]
pub(crate) struct Wires {
    state: Arc<Mutex<State>>,
    frames: mpsc::UnboundedSender<(String, String, Bytes)>,
}

impl Wires {
    pub(crate) fn start() -> Self {
        let (frames, mut queue) = mpsc::unbounded_channel::<(String, String, Bytes)>();
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = state.clone();
        tokio::spawn(async move {
            while let Some((from, address, frame)) = queue.recv().await {
                if let Some(taker) = shared.lock().taker(&from, &address) {
                    taker(&frame);
                }
            }
        });
        Self { state, frames }
    }

    pub(crate) fn network(&self, from: &str) -> Network {
        let (from, frames) = (from.to_owned(), self.frames.clone());
        Network::new(move |address, frame| {
            match frames.send((from.clone(), address.to_owned(), frame)) {
                Ok(()) => SendOutcome::Queued,
                Err(_) => SendOutcome::Unreachable,
            }
        })
    }

    pub(crate) fn attach(&self, host: &str, address: &str, node: &Node) {
        let taker: Taker = Arc::new(node.frame_taker());
        let taker = (host.to_owned(), taker);
        self.state.lock().takers.insert(address.to_owned(), taker);
    }

    pub(crate) fn detach(&self, host: &str) {
        self.state.lock().takers.retain(|_, (name, _)| name != host);
    }

    pub(crate) fn is_cut(&self, from: &str, to: &str) -> bool {
        let link = (from.to_owned(), to.to_owned());
        self.state.lock().cut.contains(&link)
    }

    /// Cuts or restores the links from and to `host`.
    pub(crate) fn set_cut(&self, host: &str, others: &[&str], cut: bool) {
        let mut state = self.state.lock();
        for other in others {
            for link in [(host, *other), (*other, host)] {
                let link = (link.0.to_owned(), link.1.to_owned());
                match cut {
                    true => state.cut.insert(link),
                    false => state.cut.remove(&link),
                };
            }
        }
    }
}

impl State {
    fn taker(&self, from: &str, address: &str) -> Option<Taker> {
        let (host, taker) = self.takers.get(address)?;
        let cut = self.cut.contains(&(from.to_owned(), host.clone()));
        (!cut).then(|| taker.clone())
    }
}
