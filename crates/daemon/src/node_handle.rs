//! Late binding of the node: the HTTP handlers that call it start before it does.

use std::sync::{Arc, OnceLock, Weak};

use lw_base::prelude::*;
use lw_gate::{EntryHost, HostView, IdempotencyHooks, KeyedDecision, KeyedRequest};
use lw_node::{Node, SubmitDecision, SubmitRequest};
use parking_lot::Mutex;

use crate::control_window::{ControlMetric, ControlSample, ControlWindow};

/// Weak reference to the node of a host; empty until the node has started. Also holds the samples of control work.
#[derive(Clone, Default)]
pub(crate) struct NodeHandle {
    node: Arc<OnceLock<Weak<Node>>>,
    control: Arc<Mutex<ControlWindow>>,
}

impl NodeHandle {
    /// Sets the node; has no effect if it is already set.
    pub(crate) fn set(&self, node: &Arc<Node>) {
        let _ = self.node.set(Arc::downgrade(node));
    }

    /// Returns the node, or `None` before it has started and after it was dropped.
    pub(crate) fn node(&self) -> Option<Arc<Node>> {
        self.node.get()?.upgrade()
    }

    /// Adds a sample of control work.
    pub(crate) fn sample_control(&self, sample: ControlSample) {
        self.control.lock().push(sample);
    }

    /// Returns the current usage of control work, each value with its budget.
    pub(crate) fn control_metrics(&self) -> [ControlMetric; 3] {
        self.control.lock().metrics()
    }

    /// Returns the view of other hosts that the gate reads.
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

    /// Returns the callbacks through which the gate asks the node how to handle requests with idempotency keys.
    pub(crate) fn idempotency_hooks(&self) -> IdempotencyHooks {
        let (submit_handle, wait_handle) = (self.clone(), self.clone());
        let hooks = IdempotencyHooks::new(move |request| {
            let node = submit_handle.node();
            async move {
                match node {
                    Some(node) => keyed_decision(node.submit(submit_request(request)).await),
                    None => KeyedDecision::Refuse {
                        kind: ErrorKind::NotReady,
                        outcome: match request.first_attempt {
                            true => Outcome::NotRun,
                            false => Outcome::Unknown,
                        },
                    },
                }
            }
        });
        hooks.with_owner_wait(move |request, former_owner| {
            let node = wait_handle.node();
            async move {
                match node {
                    Some(node) => {
                        node.wait_for_owner(request.key, &former_owner, request.deadline)
                            .await
                    }
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

fn submit_request(request: KeyedRequest) -> SubmitRequest {
    SubmitRequest {
        key: request.key,
        issued: request.issued,
        digest: request.digest,
        first_attempt: request.first_attempt,
        deadline: request.deadline,
        forwarded: request.forwarded,
    }
}

fn keyed_decision(decision: SubmitDecision) -> KeyedDecision {
    match decision {
        SubmitDecision::Run(permit) => {
            KeyedDecision::Run(Box::new(move |ending| permit.end(ending)))
        }
        SubmitDecision::Replay(ending) => KeyedDecision::Replay(ending),
        SubmitDecision::Refuse { kind, outcome } => KeyedDecision::Refuse { kind, outcome },
        SubmitDecision::Forward { host, address } => KeyedDecision::Forward { host, address },
    }
}
