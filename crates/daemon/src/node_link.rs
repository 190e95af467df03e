//! The connection from the HTTP side to the node, which starts after the listeners.

use std::sync::{Arc, OnceLock, Weak};

use lw_base::prelude::*;
use lw_gate::{EntryHost, HostView, KeyedAnswer, KeyedAsk, KeyedRuns};
use lw_node::{IdemAnswer, IdemAsk, Node};
use parking_lot::Mutex;

use crate::control_window::{ControlMetric, ControlSample, ControlWindow};

/// The node of a host, once it has started. It does not keep the node alive.
#[derive(Clone, Default)]
pub(crate) struct NodeLink {
    node: Arc<OnceLock<Weak<Node>>>,
    control: Arc<Mutex<ControlWindow>>,
}

impl NodeLink {
    /// Connects the link; a second call changes nothing.
    pub(crate) fn connect(&self, node: &Arc<Node>) {
        let _ = self.node.set(Arc::downgrade(node));
    }

    /// Returns the node.
    pub(crate) fn node(&self) -> Option<Arc<Node>> {
        self.node.get()?.upgrade()
    }

    /// Takes a sample of the control work.
    pub(crate) fn sample_control(&self, sample: ControlSample) {
        self.control.lock().push(sample);
    }

    /// Returns what control work costs now, next to its budget.
    pub(crate) fn control_figures(&self) -> [ControlMetric; 3] {
        self.control.lock().metrics()
    }

    /// Returns the knowledge of the node about other hosts.
    pub(crate) fn host_view(&self) -> HostView {
        let (hosts, regions, live) = (self.clone(), self.clone(), self.clone());
        HostView {
            entry_hosts: Arc::new(move |region| {
                let hosts = hosts.node().map(|node| node.entry_hosts(region));
                hosts.into_iter().flatten().map(entry_host).collect()
            }),
            forward_addresses: Arc::new(move |region| {
                let node = regions.node();
                node.map_or_else(Vec::new, |node| node.forward_addresses(region))
            }),
            live_hosts: Arc::new(move || live.node().map_or(1, |node| node.live_hosts())),
        }
    }

    /// Returns the decisions of the node on requests that must not run twice.
    pub(crate) fn keyed_runs(&self) -> KeyedRuns {
        let (link, waiting) = (self.clone(), self.clone());
        let runs = KeyedRuns::new(move |ask| {
            let node = link.node();
            async move {
                match node {
                    Some(node) => keyed_answer(node.submit(idem_ask(ask)).await),
                    None => KeyedAnswer::Refuse {
                        kind: ErrorKind::NotReady,
                        outcome: match ask.first_attempt {
                            true => Outcome::NotRun,
                            false => Outcome::Unknown,
                        },
                    },
                }
            }
        });
        runs.waiting(move |ask, former| {
            let node = waiting.node();
            async move {
                match node {
                    Some(node) => node.wait_for_owner(ask.key, &former, ask.deadline).await,
                    None => false,
                }
            }
        })
    }
}

fn entry_host(host: lw_node::EntryHost) -> EntryHost {
    EntryHost {
        address: host.address,
        zone: host.zone.to_string(),
        leaving: host.leaving,
    }
}

fn idem_ask(ask: KeyedAsk) -> IdemAsk {
    IdemAsk {
        key: ask.key,
        issued: ask.issued,
        digest: ask.digest,
        first_attempt: ask.first_attempt,
        deadline: ask.deadline,
        forwarded: ask.forwarded,
    }
}

fn keyed_answer(answer: IdemAnswer) -> KeyedAnswer {
    match answer {
        IdemAnswer::Run(permit) => KeyedAnswer::Run(Box::new(move |ending| permit.end(ending))),
        IdemAnswer::Replay(ending) => KeyedAnswer::Replay(ending),
        IdemAnswer::Refuse { kind, outcome } => KeyedAnswer::Refuse { kind, outcome },
        IdemAnswer::Forward { host, address } => KeyedAnswer::Forward { host, address },
    }
}
