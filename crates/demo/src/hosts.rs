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
use crate::host_placement::HostPlacement;
use crate::platform::PlatformAddresses;

/// The operator's name in the demonstration.
pub(crate) const OPERATOR: &str = "demo";
/// The operator's secret in the demonstration; it protects only listeners on loopback.
pub(crate) const OPERATOR_SECRET: &str = "lacewing-demo-secret";
/// The peer key that all hosts of the demonstration share.
pub(crate) const PEER_KEY: &str = "the peer key of the demonstration";
/// Limit of a wait for a state of the hosts, in seconds.
const WAIT_LIMIT_S: u64 = 60;
/// Interval at which a wait checks its condition.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// A running host.
pub(crate) struct Host {
    pub(crate) placement: HostPlacement,
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
        placements: Vec<HostPlacement>,
        platform: PlatformAddresses,
        list: FakeHostList,
    ) -> Result<Self, DemoError> {
        let mut hosts = Self {
            running: BTreeMap::new(),
            platform,
            list,
        };
        for placement in placements {
            hosts.add(placement).await?;
        }
        Ok(hosts)
    }

    /// Starts a host with the running hosts as its seeds.
    pub(crate) async fn add(&mut self, placement: HostPlacement) -> Result<(), DemoError> {
        let settings = self.settings(&placement)?;
        let started = Daemon::start(settings).await;
        let daemon = started.map_err(|error| DemoError::Host {
            host: placement.host.clone(),
            error,
        })?;
        self.running
            .insert(placement.host.clone(), Host { placement, daemon });
        self.update_host_list();
        Ok(())
    }

    /// Removes a host from the running ones, so that the caller can kill or drain it.
    pub(crate) fn remove(&mut self, host: &str) -> Option<Host> {
        let removed = self.running.remove(host);
        self.update_host_list();
        removed
    }

    /// Returns the running hosts, sorted by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Host> {
        self.running.values()
    }

    /// Returns the caller address of the first host of a region.
    pub(crate) fn caller_address_in(&self, region: &str) -> Option<SocketAddr> {
        let mut hosts = self.iter();
        let host = hosts.find(|host| host.placement.region == region)?;
        Some(host.daemon.addresses().callers)
    }

    /// Returns the addresses of all listeners of the hosts, which targets must not use.
    pub(crate) fn gateway_addresses(&self) -> Vec<SocketAddr> {
        let all = self.iter().map(|host| host.daemon.addresses());
        all.flat_map(|addresses| [addresses.callers, addresses.peers, addresses.admin])
            .collect()
    }

    /// Returns whether each host (of the region, if given) is ready and has the revision or a later one in force.
    pub(crate) fn all_have_revision(&self, region: Option<&str>, revision: u64) -> bool {
        let mut hosts = self.iter();
        hosts.all(|host| {
            let gate = host.daemon.gate();
            let elsewhere = region.is_some_and(|region| host.placement.region != region);
            elsewhere || (gate.state().is_ready() && gate.revision() >= revision)
        })
    }

    /// Waits until each host is ready and has the revision or a later one in force.
    pub(crate) async fn wait_for_revision(&self, revision: u64) -> Result<(), DemoError> {
        wait_until("waiting for all hosts", || {
            self.all_have_revision(None, revision)
        })
        .await
    }

    /// Waits until the directory lists each host with its current address.
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

    /// Drains all hosts, one after the other in each region, and returns a message for each that did not exit with 0.
    pub(crate) async fn drain_all(mut self) -> Vec<String> {
        let mut regions: BTreeMap<String, Vec<Host>> = BTreeMap::new();
        for host in std::mem::take(&mut self.running).into_values() {
            let region = host.placement.region.clone();
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

    fn settings(&self, placement: &HostPlacement) -> Result<Settings, DemoError> {
        let peers = |same_region: bool| {
            let hosts = self.iter();
            let hosts =
                hosts.filter(|host| (host.placement.region == placement.region) == same_region);
            hosts.filter_map(peer_address).collect::<Vec<_>>()
        };
        let platform = &self.platform;
        let free = "127.0.0.1:0";
        let text = json!({
            "host": placement.host, "region": placement.region, "zone": placement.zone,
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
            // The demonstration's callers read the directory before each request, so a short `move_ms` is enough.
            "move_ms": 1_000, "drain_limit_ms": 90_000, "worker_threads": 1,
        });
        Ok(Settings::parse(&placement.host, &text.to_string())?)
    }

    fn update_host_list(&self) {
        let entries = self.iter().map(|host| HostEntry {
            host: host.placement.host.clone(),
            region: host.placement.region.clone(),
            zone: host.placement.zone.clone(),
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
            failed.push(format!(
                "{} ended with {}",
                host.placement.host,
                exit.code()
            ));
        }
    }
    failed
}

async fn wait_until(what: &str, done: impl Fn() -> bool) -> Result<(), DemoError> {
    let limit = Duration::from_secs(WAIT_LIMIT_S);
    let waiting = async {
        while !done() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    let waited = tokio::time::timeout(limit, waiting).await;
    waited.map_err(|_| DemoError::TimedOut {
        what: what.to_owned(),
        limit_s: WAIT_LIMIT_S,
    })
}
