//! Placement on engine stand-ins over HTTP, with the lease on the key-value stand-in.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use lw_base::invariant_count;
use lw_base::prelude::*;
use lw_conf::PublishRequest;
use lw_doc::Document;
use lw_node::{Placement, PlacementOptions};
use lw_plat::{
    EngineCommand, EngineControl, EngineState, HttpTimeouts, PlatformError, WeightStore,
};
use lw_route::Now;
use lw_stand::{EngineOptions, EngineStand, LinkState, ServerHandle, WeightStand};
use uuid::Uuid;

use crate::bed::{Bed, SPEED};

const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect_ms: 500,
    call_ms: 500,
};
/// Loads per second on the clocks of the nodes.
const LOADS_PER_S: f64 = 0.2;

/// What goes wrong with the commands of a host.
#[derive(Default)]
struct Faults {
    /// Commands wait after the check of the lease and before the send.
    held: AtomicBool,
    /// The replies of so many commands are lost.
    replies_to_drop: AtomicU32,
}

struct Lab {
    bed: Bed,
    engines: Vec<EngineStand>,
    weights: WeightStand,
    servers: Vec<ServerHandle>,
    addresses: Vec<String>,
    faults: Vec<Arc<Faults>>,
    placements: Vec<Option<Placement>>,
    options: PlacementOptions,
}

impl Lab {
    /// Starts two hosts with placement and engines that hold `model` in version 1; the first and every second one ignore
    /// fencing numbers.
    async fn start(engines: usize, model: &str) -> Self {
        let local = "127.0.0.1:0".parse().expect("an address");
        // The store allows no more than the deciders' rate with their burst, in real time.
        let weights = WeightStand::new(LOADS_PER_S * f64::from(SPEED) * 1.05);
        let store = weights.start(local).await.expect("a free port");
        for version in ["1", "2", "3"] {
            weights.add("grade", version, "weights");
        }
        let client = WeightStore::over_http(&store.address().to_string(), TIMEOUTS, 1_000);
        let mut lab = Self {
            bed: Bed::new(),
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
            let engine = EngineStand::new(EngineOptions {
                model: model.into(),
                version: if model.is_empty() { "" } else { "1" }.into(),
                fencing: !index.is_multiple_of(2),
                load_lag_ms: 100,
                command_ms: 20,
                weights: Some(client.clone()),
                ..EngineOptions::default()
            });
            let server = engine.start(local).await.expect("a free port");
            lab.addresses.push(server.address().to_string());
            lab.servers.push(server);
            lab.engines.push(engine);
        }
        for name in ["a", "b"] {
            lab.start_host(name);
        }
        lab
    }

    fn start_host(&mut self, name: &str) {
        let faults = Arc::new(Faults::default());
        let own = faults.clone();
        self.bed.customize = Some(Box::new(move |parts| {
            parts.engines = Some(faulty(&own));
        }));
        self.bed.start(name);
        self.faults.push(faults);
        let node = &self.bed.host(name).node;
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
        let node = &self.bed.hosts[host].node;
        let base = node.reader().load();
        let request = PublishRequest {
            base_revision: base.map_or(0, |config| config.mark.revision),
            base_digest: None,
            next: self.document(version),
            operator: "nina".to_owned(),
            operation: Uuid::from_u128(version.parse().expect("a number")),
            wall: self.bed.clock.wall(),
            gateway_addresses: Vec::new(),
            confirmed: true,
            known: None,
        };
        node.publish(request).await.expect("published");
    }

    fn serving(&self, version: Option<&str>) -> usize {
        let states = self.engines.iter().map(EngineStand::state);
        let serving = states.filter(|state| {
            let same = version.is_none_or(|version| state.version == version);
            state.model == "grade" && matches!(&*state.role, "serve" | "") && same
        });
        serving.count()
    }

    fn epoch(&self, host: usize) -> Option<u64> {
        self.placements[host].as_ref()?.status().epoch
    }

    async fn until_held(&self) -> usize {
        let holder = || (0..self.placements.len()).find(|host| self.epoch(*host).is_some());
        self.bed.until("a decider", |_| holder().is_some()).await;
        holder().expect("a decider")
    }

    /// Waits until a decider has commanded every engine.
    async fn until_roles(&self) {
        let commanded = |engine: &EngineStand| engine.state().role == "serve";
        self.bed
            .until("all engines have a role", |_| {
                self.engines.iter().all(commanded)
            })
            .await;
    }

    /// Returns which engines the router of a host sends requests to.
    fn used(&self, host: usize) -> Vec<bool> {
        let view = self.bed.hosts[host].router.view();
        let now = Now {
            mono: self.bed.clock.mono(),
            wall: self.bed.clock.wall(),
        };
        let names = (0..self.engines.len()).map(|index| format!("e{index}"));
        let keys = names.map(|name| view.fleet().targets.key(&name));
        keys.map(|key| key.is_some_and(|key| view.begin(now, key).is_some()))
            .collect()
    }

    fn check(&self) {
        let stale: u64 = self.engines.iter().map(EngineStand::stale_commands).sum();
        assert_eq!(stale, 0, "commands under an old number");
        assert_eq!(invariant_count(Invariant::OneHolder), 0);
        let (served, refused) = self.weights.loads();
        assert_eq!(
            refused, 0,
            "of {served} loads above the rate of the weight store"
        );
    }
}

/// Returns the control interface over HTTP with faults.
fn faulty(faults: &Arc<Faults>) -> EngineControl {
    let http = EngineControl::over_http(TIMEOUTS);
    let (states, loads, faults) = (http.clone(), http.clone(), faults.clone());
    EngineControl::new(
        move |address, command| {
            let (http, faults) = (http.clone(), faults.clone());
            Box::pin(async move {
                while faults.held.load(Ordering::SeqCst) {
                    tokio::time::sleep(std::time::Duration::from_millis(5)).await;
                }
                let result = http.command(&address, command).await;
                let left = &faults.replies_to_drop;
                let take = |left: u32| left.checked_sub(1);
                match left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take) {
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

/// Guards against models that nobody loads after a publish, and routers that send requests to engines without it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_published_model_is_loaded_and_only_its_engine_is_used() {
    let lab = Lab::start(3, "").await;
    lab.publish(0, "2").await;
    lab.bed
        .until("one engine serves", |_| lab.serving(Some("2")) == 1)
        .await;
    let serving: Vec<bool> = lab
        .engines
        .iter()
        .map(|engine| engine.state().role == "serve")
        .collect();
    for host in 0..2 {
        lab.bed
            .until("requests go to the serving engine only", |_| {
                lab.used(host) == serving
            })
            .await;
    }
    lab.check();
}

/// Guards against a rollout that takes all engines at once or exceeds the rate of the weight store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_version_is_rolled_out_with_an_engine_serving_all_the_time() {
    let lab = Lab::start(8, "grade").await;
    lab.publish(0, "1").await;
    lab.until_held().await;
    lab.publish(0, "2").await;
    let mut least = usize::MAX;
    lab.bed
        .until("eight engines with version 2", |_| {
            least = least.min(lab.serving(None));
            lab.serving(Some("2")) == 8
        })
        .await;
    println!(
        "at least {least} engines served, loads {:?}",
        lab.weights.loads()
    );
    assert!(least >= 1);
    lab.check();
}

/// Guards against a region without a decider after a loss, a successor with a lower number, and a first command to an
/// engine without fencing before the commands of the lost decider have ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_decider_is_replaced_after_the_waiting_rule() {
    let mut lab = Lab::start(4, "grade").await;
    lab.publish(0, "1").await;
    let first = lab.until_held().await;
    let epoch = lab.epoch(first).expect("held");
    lab.until_roles().await;
    let next = 1 - first;
    lab.bed.hosts[first].node.kill();
    lab.placements[first] = None;
    let sent = lab.engines[0].commands().len();
    lab.publish(next, "2").await;
    let mut gained = None;
    lab.bed
        .until("a command to an engine without fencing", |bed| {
            if lab.epoch(next).is_some() && gained.is_none() {
                gained = Some(bed.clock.mono());
            }
            lab.engines[0].commands().len() > sent
        })
        .await;
    let waited_ms = lab.bed.clock.mono().since_ms(gained.expect("gained"));
    println!("the first command came {waited_ms} ms after the lease");
    // The moment of gaining is seen up to some polls late.
    assert!(waited_ms >= 17_500, "only {waited_ms} ms");
    assert!(lab.epoch(next).is_some_and(|own| own > epoch));
    lab.bed
        .until("version 2 everywhere", |_| lab.serving(Some("2")) == 4)
        .await;
    lab.check();
}

/// Guards against commands of a decider that was held up between the check of its lease and the send, while another
/// host took over and rolled out a newer version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_decider_changes_nothing_when_it_wakes() {
    let lab = Lab::start(4, "grade").await;
    lab.publish(0, "1").await;
    let paused = lab.until_held().await;
    lab.until_roles().await;
    lab.faults[paused].held.store(true, Ordering::SeqCst);
    lab.publish(paused, "2").await;
    lab.bed.pass_ms(4_000).await;
    lab.bed.hosts[paused].kv_link.set(LinkState::Down);
    let next = 1 - paused;
    lab.bed
        .until("a successor", |_| lab.epoch(next).is_some())
        .await;
    lab.publish(next, "3").await;
    lab.bed
        .until("version 3 everywhere", |_| lab.serving(Some("3")) == 4)
        .await;
    lab.faults[paused].held.store(false, Ordering::SeqCst);
    lab.bed.hosts[paused].kv_link.set(LinkState::Up);
    lab.bed.pass_ms(10_000).await;
    assert_eq!(lab.serving(Some("3")), 4);
    assert_eq!(lab.epoch(paused), None);
    lab.check();
}

/// Guards against engines that stay behind after a command whose reply was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_command_replies_are_repaired() {
    let lab = Lab::start(3, "grade").await;
    for faults in &lab.faults {
        faults.replies_to_drop.store(4, Ordering::SeqCst);
    }
    lab.publish(0, "2").await;
    lab.bed
        .until("version 2 everywhere", |_| lab.serving(Some("2")) == 3)
        .await;
    let sent: usize = lab
        .engines
        .iter()
        .map(|engine| engine.commands().len())
        .sum();
    println!("{sent} commands took effect on 3 engines");
    assert!(sent <= 3 + 3 + 4, "{sent} commands");
    lab.check();
}

/// Guards against requests to an engine that another decider took out of service, on the host that polls it and on the
/// one that is told by the load board.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_host_uses_a_draining_engine() {
    let mut lab = Lab::start(2, "grade").await;
    lab.placements.clear();
    lab.publish(0, "1").await;
    let control = EngineControl::over_http(TIMEOUTS);
    for (role, used) in [("drain", false), ("serve", true), ("standby", false)] {
        let command = EngineCommand {
            fencing: 9,
            model: "grade".into(),
            version: "1".into(),
            role: role.into(),
        };
        let sent = control.command(&lab.addresses[0], command).await;
        sent.expect("the engine takes it");
        let state: EngineState = lab.engines[0].state();
        assert_eq!(state.role, role);
        for host in 0..2 {
            lab.bed
                .until(role, |_| lab.used(host) == [used, true])
                .await;
        }
    }
}
