//! Two in-process regions with hosts, targets and a key-value service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use lw_daemon::{Daemon, Settings};
use lw_plat::{HttpTimeouts, http_kv};
use lw_stand::{FakeKv, KvLink, ServerHandle};
use parking_lot::Mutex;
use serde_json::json;

use crate::faults::host::{Host, Process};
use crate::faults::observations::Observations;
use crate::faults::targets::Targets;

/// Region and zone of each host: four hosts in one region, three in the other.
const HOSTS: [(&str, &str); 7] = [
    ("east", "east-1"),
    ("east", "east-2"),
    ("east", "east-1"),
    ("east", "east-2"),
    ("west", "west-1"),
    ("west", "west-2"),
    ("west", "west-1"),
];

/// Timeouts of calls to the key-value service, as in the daemon.
const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect_ms: 500,
    call_ms: 3_000,
};

/// The hosts, targets and shared state of one run.
pub(crate) struct TestCluster {
    pub(crate) observations: Arc<Observations>,
    pub(crate) kv: FakeKv,
    pub(crate) targets: Targets,
    pub(crate) hosts: Vec<Host>,
    pub(crate) next_number: AtomicU64,
    pub(crate) stopped: AtomicBool,
    /// Regions whose hosts are currently partitioned from the key-value service.
    pub(crate) cut_regions: Mutex<Vec<&'static str>>,
    /// Number of lookups with a complete answer, by region.
    pub(crate) complete_lookups: [AtomicU64; 2],
    kv_server: ServerHandle,
}

impl TestCluster {
    pub(crate) async fn start() -> std::io::Result<Self> {
        let observations = Arc::new(Observations::default());
        let targets = Targets::start(&observations).await?;
        let kv = FakeKv::default();
        let kv_server = kv.start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let hosts = HOSTS
            .iter()
            .enumerate()
            .map(|(number, (region, zone))| Host {
                name: format!("{region}-host-{number}"),
                region,
                zone,
                link: KvLink::default(),
                daemon: Mutex::default(),
                process: Mutex::default(),
            });
        let cluster = Self {
            observations,
            kv,
            targets,
            hosts: hosts.collect(),
            next_number: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            cut_regions: Mutex::default(),
            complete_lookups: Default::default(),
            kv_server,
        };
        for host in 0..cluster.hosts.len() {
            cluster.start_host(host).await?;
        }
        Ok(cluster)
    }

    /// Starts the process of a host that has none.
    ///
    /// Fails if the daemon does not start.
    pub(crate) async fn start_host(&self, number: usize) -> std::io::Result<()> {
        let host = &self.hosts[number];
        let settings = self.settings(host)?;
        let kv = http_kv(&self.kv_server.address().to_string(), TIMEOUTS);
        let daemon = Daemon::start_with(settings, Some(host.link.attach(kv)));
        let daemon = daemon.await.map_err(std::io::Error::other)?;
        *host.process.lock() = Process::new(number, host.region, &daemon);
        *host.daemon.lock() = Some(daemon);
        Ok(())
    }

    fn settings(&self, host: &Host) -> std::io::Result<Settings> {
        let seeds = |same_region: bool| {
            let processes = self.processes().into_iter();
            let chosen = processes.filter(|process| (process.region == host.region) == same_region);
            chosen
                .map(|process| process.node.peer_address().to_owned())
                .collect::<Vec<_>>()
        };
        let local = "127.0.0.1:0";
        let text = json!({
            "host": host.name, "region": host.region, "zone": host.zone,
            "listen": {"callers": local, "peers": local, "nng": local, "admin": local},
            "platform": {"key_value": self.kv_server.address().to_string()},
            "peer_key": "a key of the hosts of a run", "seeds": seeds(true), "region_seeds": seeds(false),
            "log_level": "error", "drain_limit_ms": 20_000, "worker_threads": 1,
        });
        Settings::parse("settings of a run", &text.to_string()).map_err(std::io::Error::other)
    }

    /// Returns the running processes that callers may use.
    pub(crate) fn processes(&self) -> Vec<Process> {
        let hosts = self.hosts.iter();
        hosts
            .filter_map(|host| host.process.lock().clone())
            .collect()
    }

    /// Returns a number that is unique among the requests and publications of the run.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the counter of lookups that a region answered completely.
    pub(crate) fn complete_lookups(&self, region: &str) -> &AtomicU64 {
        &self.complete_lookups[usize::from(region == "west")]
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Kills all hosts.
    pub(crate) async fn stop(&self) {
        for host in &self.hosts {
            let daemon = host.daemon.lock().take();
            if let Some(daemon) = daemon {
                daemon.kill().await;
            }
        }
    }
}
