//! Real host processes that are killed or stopped while the platform's store is restored from copies that lack the last
//! configurations.

#[path = "../soak/hosts.rs"]
mod hosts;
#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use hosts::HostProcess;
use support::{EraHeader, FakeStore, configuration, entry, on_one_thread, start_target};

const HOSTS: u8 = 4;
/// The time within which a change must be in force on a host that runs.
const MAX_APPLY_TIME: Duration = Duration::from_secs(3);
/// The interval of the configurations.
const INTERVAL: Duration = Duration::from_millis(200);
const LAST_VERSION: u64 = 42;
/// A killed host starts again after this time.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Hosts stop one after the other at this interval.
const STOP_INTERVAL: Duration = Duration::from_millis(1_500);

/// What happens to the hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disruption {
    /// All hosts but one are killed as the store is restored.
    HerdKill,
    /// All hosts are killed as the store is restored.
    KillAll,
    /// Hosts stop one after the other and start again.
    RollingStop,
}

struct Case {
    network: u8,
    disruption: Disruption,
}

/// A host and the number of its processes so far.
struct Watched {
    process: RefCell<HostProcess>,
    incarnation: Cell<u32>,
}

impl Watched {
    fn kill(&self) {
        self.incarnation.set(self.incarnation.get() + 1);
        self.process.borrow_mut().signal(Signal::KILL);
    }

    fn start(&self) {
        self.incarnation.set(self.incarnation.get() + 1);
        self.process.borrow_mut().start();
    }
}

/// Returns the prefix of the only route that a version has.
fn prefix(version: u64) -> String {
    format!("/v{version}/")
}

fn write_version(store: &FakeStore, version: u64) {
    store.write("op/config", &configuration(version, &[&prefix(version)]));
}

/// Returns the status of a request, or `None` if the host does not answer.
async fn status_of(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nlacewingstile-attempt-id: a1\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok()?;
    text.split(' ').nth(1)?.parse().ok()
}

/// Returns the first version in rising order that a host serves. A version that comes into force meanwhile is found as well.
async fn version_of(address: SocketAddr) -> Option<u64> {
    for version in 1..=LAST_VERSION {
        if status_of(address, &format!("{}1", prefix(version))).await? == 200 {
            return Some(version);
        }
    }
    None
}

/// Checks until `is_over` that no process of a host returns to an older version.
async fn watch_versions(host: Rc<Watched>, is_over: Rc<Cell<bool>>) {
    let address = host.process.borrow().address();
    let (mut incarnation, mut in_force) = (0, 0);
    while !is_over.get() {
        let before = host.incarnation.get();
        if before != incarnation {
            (incarnation, in_force) = (before, 0);
        }
        let version = version_of(address).await;
        if let Some(version) = version
            && host.incarnation.get() == incarnation
        {
            assert!(version >= in_force, "{version} after {in_force}");
            in_force = version;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn restart_later(hosts: Vec<Rc<Watched>>) {
    tokio::time::sleep(RESTART_DELAY).await;
    hosts.iter().for_each(|host| host.start());
}

/// Stops the hosts one after the other and starts each again when its process has ended.
async fn stop_in_turn(hosts: Vec<Rc<Watched>>, is_over: Rc<Cell<bool>>) {
    for host in hosts.iter().cycle() {
        if is_over.get() {
            return;
        }
        host.process.borrow_mut().signal(Signal::TERM);
        let stopped = host.clone();
        tokio::task::spawn_local(async move {
            while stopped.process.borrow_mut().is_running() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            stopped.start();
        });
        tokio::time::sleep(STOP_INTERVAL).await;
    }
}

// Guards against a host that returns to an older configuration, or stays at one, because the hosts that knew a newer one
// were killed or stopped while the store lost it.
#[test_case(&Case { network: 150, disruption: Disruption::HerdKill }; "all hosts but one are killed")]
#[test_case(&Case { network: 151, disruption: Disruption::KillAll }; "all hosts are killed")]
#[test_case(&Case { network: 152, disruption: Disruption::RollingStop }; "hosts stop in turn")]
fn versions_only_rise_while_hosts_end_beside_restores(case: &Case) {
    on_one_thread(async {
        let store = FakeStore::start().await;
        store.era_header.replace(EraHeader::Current);
        write_version(&store, 1);
        let target = start_target("one").await;
        store.write("servers/i-1", &entry(target, "ready"));
        let hosts: Vec<Rc<Watched>> = (1..=HOSTS)
            .map(|number| {
                Rc::new(Watched {
                    process: RefCell::new(HostProcess::new(case.network, number, store.address)),
                    incarnation: Cell::new(1),
                })
            })
            .collect();
        hosts.iter().for_each(|host| host.start());
        for host in &hosts {
            let address = host.process.borrow().address();
            while version_of(address).await != Some(1) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        let is_over = Rc::new(Cell::new(false));
        let watches = hosts
            .iter()
            .map(|host| tokio::task::spawn_local(watch_versions(host.clone(), is_over.clone())));
        let watches: Vec<_> = watches.collect();
        if case.disruption == Disruption::RollingStop {
            tokio::task::spawn_local(stop_in_turn(hosts.clone(), is_over.clone()));
        }
        let mut copy = store.copy();
        for version in 2..=LAST_VERSION {
            write_version(&store, version);
            tokio::time::sleep(INTERVAL).await;
            match version % 10 {
                2 => copy = store.copy(),
                6 => {
                    store.restore(copy.clone());
                    let killed = match case.disruption {
                        Disruption::HerdKill => hosts[1..].to_vec(),
                        Disruption::KillAll => hosts.clone(),
                        Disruption::RollingStop => Vec::new(),
                    };
                    killed.iter().for_each(|host| host.kill());
                    tokio::task::spawn_local(restart_later(killed));
                    // The hosts that are left read the older version before the next one is written.
                    tokio::time::sleep(3 * INTERVAL).await;
                }
                _ => {}
            }
        }
        let written_at = Instant::now();
        let mut behind: Vec<SocketAddr> = hosts
            .iter()
            .filter(|host| host.process.borrow_mut().is_running())
            .map(|host| host.process.borrow().address())
            .collect();
        // A host that stops may end meanwhile.
        while !behind.is_empty() && written_at.elapsed() < MAX_APPLY_TIME {
            let mut still_behind = Vec::new();
            for address in behind {
                let status = status_of(address, &format!("{}1", prefix(LAST_VERSION))).await;
                if status.is_some_and(|status| status != 200) {
                    still_behind.push(address);
                }
            }
            behind = still_behind;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(behind.is_empty(), "{behind:?}");
        is_over.set(true);
        for watch in watches {
            watch.await.expect("the versions rise");
        }
    });
}
