//! Placement on simulated engines over HTTP, with the lease in the simulated key-value service.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use lw_base::prelude::*;
use lw_base::violation_count;
use lw_conf::PublishRequest;
use lw_doc::Document;
use lw_node::{Placement, PlacementOptions};
use lw_plat::{
    EngineCommand, EngineControl, EngineState, HttpTimeouts, PlatformError, WeightStore,
};
use lw_route::Now;
use lw_stand::{EngineOptions, FakeEngine, FakeWeightStore, LinkState, ServerHandle};
use uuid::Uuid;

use crate::cluster::{Cluster, SPEED};

const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect_ms: 500,
    call_ms: 500,
};
/// The rate of weight loads per second on the clocks of the nodes.
const LOADS_PER_S: f64 = 0.2;

/// The faults that are injected into the commands of a host.
#[derive(Default)]
struct Faults {
    /// Whether commands block between the check of the lease and the send.
    block_commands: AtomicBool,
    /// The number of next command replies that are lost.
    replies_to_drop: AtomicU32,
}

struct Fixture {
    cluster: Cluster,
    engines: Vec<FakeEngine>,
    weights: FakeWeightStore,
    servers: Vec<ServerHandle>,
    addresses: Vec<String>,
    faults: Vec<Arc<Faults>>,
    placements: Vec<Option<Placement>>,
    options: PlacementOptions,
}

impl Fixture {
    /// Starts two hosts with placement, and engines that have loaded version 1 of `model`. Engines with an even index
    /// ignore fencing tokens.
    async fn start(engines: usize, model: &str) -> Self {
        let local = "127.0.0.1:0".parse().expect("an address");
        // The store refuses loads above the rate of the controllers in real time, with a margin for their burst.
        let weights = FakeWeightStore::new(LOADS_PER_S * f64::from(SPEED) * 1.05);
        let store = weights.start(local).await.expect("a free port");
        for version in ["1", "2", "3"] {
            weights.add("grade", version, "weights");
        }
        let client = WeightStore::over_http(&store.address().to_string(), TIMEOUTS, 1_000);
        let mut fixture = Self {
            cluster: Cluster::new(),
            engines: Vec::new(),
            weights,
            servers: vec![store],
            addresses: Vec::new(),
            faults: Vec::new(),
            placements: Vec::new(),
            options: PlacementOptions {
                weight_loads_per_s: LOADS_PER_S,
                weight_burst: 1,
                ..PlacementOptions::default()
            },
        };
        for index in 0..engines {
            let engine = FakeEngine::new(EngineOptions {
                model: model.into(),
                version: if model.is_empty() { "" } else { "1" }.into(),
                fencing: !index.is_multiple_of(2),
                load_lag_ms: 100,
                command_ms: 20,
                weights: Some(client.clone()),
                ..EngineOptions::default()
            });
            let server = engine.start(local).await.expect("a free port");
            fixture.addresses.push(server.address().to_string());
            fixture.servers.push(server);
            fixture.engines.push(engine);
        }
        for name in ["a", "b"] {
            fixture.start_host(name);
        }
        fixture
    }

    fn start_host(&mut self, name: &str) {
        let faults = Arc::new(Faults::default());
        let own = faults.clone();
        self.cluster.customize = Some(Box::new(move |parts| {
            parts.engines = Some(control_with_faults(&own));
        }));
        self.cluster.start(name);
        self.faults.push(faults);
        let node = &self.cluster.host(name).node;
        self.placements
            .push(node.start_placement(self.options.clone()));
    }

    fn document(&self, version: &str) -> Document {
        let targets = self.addresses.iter().enumerate().map(|(index, address)| {
            let target = serde_json::json!({
                "service": "grade", "zone": "ahmedabad-1", "address": address,
                "fencing": !index.is_multiple_of(2), "slots": 4,
            });
            (format!("e{index}"), target)
        });
        let targets: serde_json::Map<_, _> = targets.collect();
        serde_json::from_value(serde_json::json!({
            "format": 1,
            "regions": {"gujarat-east": {"zones": ["ahmedabad-1", "vadodara-1"]}},
            "services": {"grade": {"kind": "model", "priority": "batch", "regions": ["gujarat-east"],
                "deadline_ms": 1_000}},
            "targets": targets,
            "engine": {"models": {"grade": {"version": version}}},
        }))
        .expect("a document")
    }

    async fn publish(&self, host: usize, version: &str) {
        let node = &self.cluster.hosts[host].node;
        let base = node.reader().load();
        let request = PublishRequest {
            base_revision: base.map_or(0, |config| config.mark.revision),
            base_digest: None,
            next: self.document(version),
            operator: "nina".to_owned(),
            operation: Uuid::from_u128(version.parse().expect("a number")),
            wall: self.cluster.clock.wall(),
            gateway_addresses: Vec::new(),
            confirmed: true,
            known: None,
        };
        node.publish(request).await.expect("published");
    }

    fn serving_count(&self, version: Option<&str>) -> usize {
        let states = self.engines.iter().map(FakeEngine::state);
        let serving = states.filter(|state| {
            let same = version.is_none_or(|version| state.version == version);
            state.model == "grade" && matches!(&*state.role, "serve" | "") && same
        });
        serving.count()
    }

    fn epoch(&self, host: usize) -> Option<u64> {
        self.placements[host].as_ref()?.status().epoch
    }

    async fn wait_for_controller(&self) -> usize {
        let holder = || (0..self.placements.len()).find(|host| self.epoch(*host).is_some());
        self.cluster
            .wait_until("a controller", |_| holder().is_some())
            .await;
        holder().expect("a controller")
    }

    /// Waits until a controller has assigned a role to every engine.
    async fn wait_for_roles(&self) {
        let commanded = |engine: &FakeEngine| engine.state().role == "serve";
        self.cluster
            .wait_until("all engines have a role", |_| {
                self.engines.iter().all(commanded)
            })
            .await;
    }

    /// Returns for each engine whether the router of a host sends requests to it.
    fn routable(&self, host: usize) -> Vec<bool> {
        let view = self.cluster.hosts[host].router.view();
        let now = Now {
            mono: self.cluster.clock.mono(),
            wall: self.cluster.clock.wall(),
        };
        let names = (0..self.engines.len()).map(|index| format!("e{index}"));
        let keys = names.map(|name| view.fleet().targets.key(&name));
        keys.map(|key| key.is_some_and(|key| view.begin(now, key).is_some()))
            .collect()
    }

    fn assert_no_violations(&self) {
        let stale: u64 = self.engines.iter().map(FakeEngine::stale_commands).sum();
        assert_eq!(stale, 0, "commands with an outdated epoch");
        assert_eq!(violation_count(Invariant::OneHolder), 0);
        let (served, refused) = self.weights.loads();
        assert_eq!(
            refused, 0,
            "of {served} loads above the rate of the weight store"
        );
    }
}

/// Returns the control interface over HTTP with the injected faults.
fn control_with_faults(faults: &Arc<Faults>) -> EngineControl {
    let http = EngineControl::over_http(TIMEOUTS);
    let (states, loads, faults) = (http.clone(), http.clone(), faults.clone());
    EngineControl::new(
        move |address, command| {
            let (http, faults) = (http.clone(), faults.clone());
            Box::pin(async move {
                while faults.block_commands.load(Ordering::SeqCst) {
                    tokio::time::sleep(std::time::Duration::from_millis(5)).await;
                }
                let result = http.command(&address, command).await;
                let remaining = &faults.replies_to_drop;
                let decrement = |count: u32| count.checked_sub(1);
                match remaining.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement) {
                    Ok(_) => Err(PlatformError::ReplyLost),
                    Err(_) => result,
                }
            })
        },
        move |address| {
            let http = states.clone();
            Box::pin(async move { http.state(&address).await })
        },
        move |address| {
            let http = loads.clone();
            Box::pin(async move { http.load(&address).await })
        },
    )
}

/// Guards against published models that no engine loads, and routers that send requests to engines without the model.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_published_model_is_loaded_and_only_its_engine_is_used() {
    let fixture = Fixture::start(3, "").await;
    fixture.publish(0, "2").await;
    fixture
        .cluster
        .wait_until("one engine serves", |_| {
            fixture.serving_count(Some("2")) == 1
        })
        .await;
    let serving: Vec<bool> = fixture
        .engines
        .iter()
        .map(|engine| engine.state().role == "serve")
        .collect();
    for host in 0..2 {
        fixture
            .cluster
            .wait_until("requests go to the serving engine only", |_| {
                fixture.routable(host) == serving
            })
            .await;
    }
    fixture.assert_no_violations();
}

/// Guards against a rollout that drains all engines at once or exceeds the rate of the weight store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_version_is_rolled_out_with_an_engine_serving_all_the_time() {
    let fixture = Fixture::start(8, "grade").await;
    fixture.publish(0, "1").await;
    fixture.wait_for_controller().await;
    fixture.publish(0, "2").await;
    let mut least = usize::MAX;
    fixture
        .cluster
        .wait_until("eight engines with version 2", |_| {
            least = least.min(fixture.serving_count(None));
            fixture.serving_count(Some("2")) == 8
        })
        .await;
    println!(
        "at least {least} engines served, loads {:?}",
        fixture.weights.loads()
    );
    assert!(least >= 1);
    fixture.assert_no_violations();
}

/// Guards against a region without a controller after a host failure, a successor with a lower epoch, and a first
/// command to an engine without fencing before the commands of the failed controller have ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_controller_is_replaced_after_its_commands_have_ended() {
    let mut fixture = Fixture::start(4, "grade").await;
    fixture.publish(0, "1").await;
    let first = fixture.wait_for_controller().await;
    let epoch = fixture.epoch(first).expect("the first host has the lease");
    fixture.wait_for_roles().await;
    let successor = 1 - first;
    fixture.cluster.hosts[first].node.kill();
    fixture.placements[first] = None;
    let sent = fixture.engines[0].commands().len();
    fixture.publish(successor, "2").await;
    let mut acquired_at = None;
    fixture
        .cluster
        .wait_until("a command to an engine without fencing", |cluster| {
            if fixture.epoch(successor).is_some() && acquired_at.is_none() {
                acquired_at = Some(cluster.clock.mono());
            }
            fixture.engines[0].commands().len() > sent
        })
        .await;
    let waited_ms = fixture
        .cluster
        .clock
        .mono()
        .since_ms(acquired_at.expect("the successor has the lease"));
    println!("the first command came {waited_ms} ms after the lease");
    // The test observes the new lease some polls after its acquisition, which shortens the measured wait.
    assert!(waited_ms >= 17_500, "only {waited_ms} ms");
    assert!(fixture.epoch(successor).is_some_and(|own| own > epoch));
    fixture
        .cluster
        .wait_until("version 2 everywhere", |_| {
            fixture.serving_count(Some("2")) == 4
        })
        .await;
    fixture.assert_no_violations();
}

/// Guards against effects of commands that a controller sends late because it paused between the check of its lease and
/// the send, while another host took over and rolled out a newer version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_controller_changes_nothing_after_it_resumes() {
    let fixture = Fixture::start(4, "grade").await;
    fixture.publish(0, "1").await;
    let paused = fixture.wait_for_controller().await;
    fixture.wait_for_roles().await;
    fixture.faults[paused]
        .block_commands
        .store(true, Ordering::SeqCst);
    fixture.publish(paused, "2").await;
    fixture.cluster.advance_ms(4_000).await;
    fixture.cluster.hosts[paused].kv_link.set(LinkState::Down);
    let successor = 1 - paused;
    fixture
        .cluster
        .wait_until("a successor", |_| fixture.epoch(successor).is_some())
        .await;
    fixture.publish(successor, "3").await;
    fixture
        .cluster
        .wait_until("version 3 everywhere", |_| {
            fixture.serving_count(Some("3")) == 4
        })
        .await;
    fixture.faults[paused]
        .block_commands
        .store(false, Ordering::SeqCst);
    fixture.cluster.hosts[paused].kv_link.set(LinkState::Up);
    fixture.cluster.advance_ms(10_000).await;
    assert_eq!(fixture.serving_count(Some("3")), 4);
    assert_eq!(fixture.epoch(paused), None);
    fixture.assert_no_violations();
}

/// Guards against engines that keep the old version after a command whose reply was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_command_replies_are_repaired() {
    let fixture = Fixture::start(3, "grade").await;
    for faults in &fixture.faults {
        faults.replies_to_drop.store(4, Ordering::SeqCst);
    }
    fixture.publish(0, "2").await;
    fixture
        .cluster
        .wait_until("version 2 everywhere", |_| {
            fixture.serving_count(Some("2")) == 3
        })
        .await;
    let sent: usize = fixture
        .engines
        .iter()
        .map(|engine| engine.commands().len())
        .sum();
    println!("{sent} commands took effect on 3 engines");
    assert!(sent <= 3 + 3 + 4, "{sent} commands");
    fixture.assert_no_violations();
}

/// Guards against requests to an engine that a controller took out of service, both on the host that polls it and on
/// the host that receives its state in a load board.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_host_uses_a_draining_engine() {
    let mut fixture = Fixture::start(2, "grade").await;
    fixture.placements.clear();
    fixture.publish(0, "1").await;
    let control = EngineControl::over_http(TIMEOUTS);
    for (role, used) in [("drain", false), ("serve", true), ("standby", false)] {
        let command = EngineCommand {
            fencing: 9,
            model: "grade".into(),
            version: "1".into(),
            role: role.into(),
        };
        let sent = control.command(&fixture.addresses[0], command).await;
        sent.expect("the engine accepts the command");
        let state: EngineState = fixture.engines[0].state();
        assert_eq!(state.role, role);
        for host in 0..2 {
            fixture
                .cluster
                .wait_until(role, |_| fixture.routable(host) == [used, true])
                .await;
        }
    }
}
