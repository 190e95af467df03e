//! A host of a run, which may be killed and replaced.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Instant;

use lw_daemon::Daemon;
use lw_gate::Gate;
use lw_node::Node;
use lw_stand::KvLink;
use parking_lot::Mutex;

/// What became of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Live,
    Leaving,
    Killed,
}

/// A process of a host as callers see it.
#[derive(Clone)]
pub(crate) struct Process {
    pub(crate) host: usize,
    pub(crate) region: &'static str,
    pub(crate) address: SocketAddr,
    pub(crate) gate: Arc<Gate>,
    pub(crate) node: Arc<Node>,
    pub(crate) started: Instant,
    fate: Arc<AtomicU8>,
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
            fate: Arc::default(),
        })
    }

    pub(crate) fn set_fate(&self, fate: Fate) {
        self.fate.store(fate as u8, Ordering::Release);
    }

    pub(crate) fn fate(&self) -> Fate {
        match self.fate.load(Ordering::Acquire) {
            0 => Fate::Live,
            1 => Fate::Leaving,
            _ => Fate::Killed,
        }
    }
}

/// A host: its name stays when its process is replaced.
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) region: &'static str,
    pub(crate) zone: &'static str,
    pub(crate) link: KvLink,
    pub(crate) daemon: Mutex<Option<Daemon>>,
    pub(crate) process: Mutex<Option<Process>>,
}
