//! Hosts of a fault-injection run, whose processes may be killed and replaced.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Instant;

use lw_daemon::Daemon;
use lw_gate::Gate;
use lw_node::Node;
use lw_stand::KvLink;
use parking_lot::Mutex;

/// The lifecycle state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessState {
    Live,
    Leaving,
    Killed,
}

/// A running process of a host, as seen by callers.
#[derive(Clone)]
pub(crate) struct Process {
    pub(crate) host: usize,
    pub(crate) region: &'static str,
    pub(crate) address: SocketAddr,
    pub(crate) gate: Arc<Gate>,
    pub(crate) node: Arc<Node>,
    pub(crate) started: Instant,
    state: Arc<AtomicU8>,
}

impl Process {
    pub(crate) fn new(host: usize, region: &'static str, daemon: &Daemon) -> Option<Self> {
        Some(Self {
            host,
            region,
            address: daemon.addresses().callers,
            gate: daemon.gate().clone(),
            node: daemon.node()?.clone(),
            started: Instant::now(),
            state: Arc::default(),
        })
    }

    pub(crate) fn set_state(&self, state: ProcessState) {
        self.state.store(state as u8, Ordering::Release);
    }

    pub(crate) fn state(&self) -> ProcessState {
        match self.state.load(Ordering::Acquire) {
            0 => ProcessState::Live,
            1 => ProcessState::Leaving,
            _ => ProcessState::Killed,
        }
    }
}

/// A host; it keeps its name when its process is replaced.
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) region: &'static str,
    pub(crate) zone: &'static str,
    pub(crate) link: KvLink,
    pub(crate) daemon: Mutex<Option<Daemon>>,
    pub(crate) process: Mutex<Option<Process>>,
}
