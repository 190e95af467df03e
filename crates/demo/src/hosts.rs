//! The gateway hosts of the demonstration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use lw_daemon::{Daemon, Exit, Settings};
use lw_doc::Digest;
use lw_plat::{HostEntry, HostState};
use lw_stand::FakeHostList;
use serde_json::json;

use crate::demo_error::DemoError;
use crate::host_plan::HostPlan;
use crate::platform::PlatformAddresses;

/// The name of the operator of the demonstration.
pub(crate) const OPERATOR: &str = "demo";
/// The secret of the operator of the demonstration; it guards listeners on loopback only.
pub(crate) const OPERATOR_SECRET: &str = "lacewing-demo-secret";
/// The key that the hosts of the demonstration share.
pub(crate) const PEER_KEY: &str = "the peer key of the demonstration";
/// The longest wait for a state of the hosts.
const WAIT_LIMIT_S: u64 = 60;
const POLL: Duration = Duration::from_millis(20);

/// A running host.
pub(crate) struct Host {
    pub(crate) plan: HostPlan,
    pub(crate) daemon: Daemon,
}

/// The running hosts by name.
pub(crate) struct Hosts {
    running: BTreeMap<String, Host>,
    platform: PlatformAddresses,
    list: FakeHostList,
}

impl Hosts {
    /// Starts all hosts.
    pub(crate) async fn start(
        plans: Vec<HostPlan>,
        platform: PlatformAddresses,
        list: FakeHostList,
    ) -> Result<Self, DemoError> {
        let mut hosts = Self {
            running: BTreeMap::new(),
            platform,
            list,
        };
        for plan in plans {
            hosts.add(plan).await?;
        }
        Ok(hosts)
    }

    /// Starts a host, which joins the running ones.
    pub(crate) async fn add(&mut self, plan: HostPlan) -> Result<(), DemoError> {
        let settings = self.settings(&plan)?;
        let started = Daemon::start(settings).await;
        let daemon = started.map_err(|error| DemoError::Host {
            host: plan.host.clone(),
            error,
        })?;
        self.running
            .insert(plan.host.clone(), Host { plan, daemon });
        self.update_list();
        Ok(())
    }

    /// Takes a host out, so that it can be killed or drained.
    pub(crate) fn take(&mut self, host: &str) -> Option<Host> {
        let taken = self.running.remove(host);
        self.update_list();
        taken
    }

    /// Returns the running hosts in the order of their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Host> {
        self.running.values()
    }

    /// Returns the address for callers of the first host of a region.
    pub(crate) fn callers_in(&self, region: &str) -> Option<SocketAddr> {
        let mut hosts = self.iter();
        let host = hosts.find(|host| host.plan.region == region)?;
        Some(host.daemon.addresses().callers)
    }

    /// Returns the addresses of all listeners, which no target may have.
    pub(crate) fn gateway_addresses(&self) -> Vec<SocketAddr> {
        let all = self.iter().map(|host| host.daemon.addresses());
        all.flat_map(|addresses| [addresses.callers, addresses.peers, addresses.admin])
            .collect()
    }

    /// Returns whether each host serves and has the revision, or a later one, in force.
    pub(crate) fn all_have(&self, region: Option<&str>, revision: u64) -> bool {
        let mut hosts = self.iter();
        hosts.all(|host| {
            let gate = host.daemon.gate();
            let elsewhere = region.is_some_and(|region| host.plan.region != region);
            elsewhere || (gate.state().is_ready() && gate.revision() >= revision)
        })
    }

    /// Waits until each host serves with the revision.
    pub(crate) async fn wait_for(&self, revision: u64) -> Result<(), DemoError> {
        wait_until("waiting for all hosts", || self.all_have(None, revision)).await
    }

    /// Waits until each host is in the directory with its present address.
    pub(crate) async fn wait_for_directory(&self) -> Result<(), DemoError> {
        wait_until("waiting for the directory", || {
            let listed = self.list.directory();
            self.iter().all(|host| {
                let address = host.daemon.addresses().callers.to_string();
                listed.iter().any(|entry| entry.caller_address == address)
            })
        })
        .await
    }

    /// Performs a planned stop of all hosts, one after the other in each region; returns those that did not exit 0.
    pub(crate) async fn drain_all(mut self) -> Vec<String> {
        let mut regions: BTreeMap<String, Vec<Host>> = BTreeMap::new();
        for host in std::mem::take(&mut self.running).into_values() {
            let region = host.plan.region.clone();
            regions.entry(region).or_default().push(host);
        }
        let tasks: Vec<_> = regions
            .into_values()
            .map(drain_region)
            .map(tokio::spawn)
            .collect();
        let mut failed = Vec::new();
        for task in tasks {
            failed.extend(task.await.unwrap_or_else(|error| vec![error.to_string()]));
        }
        failed
    }

    fn settings(&self, plan: &HostPlan) -> Result<Settings, DemoError> {
        let peers = |same_region: bool| {
            let hosts = self.iter();
            let hosts = hosts.filter(|host| (host.plan.region == plan.region) == same_region);
            hosts.filter_map(peer_address).collect::<Vec<_>>()
        };
        let platform = &self.platform;
        let free = "127.0.0.1:0";
        let text = json!({
            "host": plan.host, "region": plan.region, "zone": plan.zone,
            "listen": {"callers": free, "peers": free, "nng": free, "admin": free},
            "platform": {
                "key_value": platform.key_value, "host_list": platform.host_list,
                "directory": platform.host_list, "weights": platform.weights,
            },
            "peer_key": PEER_KEY,
            "operators": [{
                "name": OPERATOR, "token_digest": Digest::of(OPERATOR_SECRET.as_bytes()),
            }],
            "seeds": peers(true), "region_seeds": peers(false),
            // Callers of the demonstration look at the directory before each request.
            "move_ms": 1_000, "drain_limit_ms": 90_000, "worker_threads": 1,
        });
        Ok(Settings::parse(&plan.host, &text.to_string())?)
    }

    fn update_list(&self) {
        let entries = self.iter().map(|host| HostEntry {
            host: host.plan.host.clone(),
            region: host.plan.region.clone(),
            zone: host.plan.zone.clone(),
            caller_address: host.daemon.addresses().callers.to_string(),
            peer_address: peer_address(host).unwrap_or_default(),
            state: HostState::Live,
        });
        self.list.set_hosts(entries.collect());
    }
}

fn peer_address(host: &Host) -> Option<String> {
    let node = host.daemon.node()?;
    Some(node.peer_address().to_owned())
}

async fn drain_region(hosts: Vec<Host>) -> Vec<String> {
    let mut failed = Vec::new();
    for host in hosts {
        let exit = host.daemon.drain().await;
        if exit != Exit::Ok {
            failed.push(format!("{} ended with {}", host.plan.host, exit.code()));
        }
    }
    failed
}

async fn wait_until(what: &str, done: impl Fn() -> bool) -> Result<(), DemoError> {
    let limit = Duration::from_secs(WAIT_LIMIT_S);
    let waiting = async {
        while !done() {
            tokio::time::sleep(POLL).await;
        }
    };
    let waited = tokio::time::timeout(limit, waiting).await;
    waited.map_err(|_| DemoError::TimedOut {
        what: what.to_owned(),
        limit_s: WAIT_LIMIT_S,
    })
}
