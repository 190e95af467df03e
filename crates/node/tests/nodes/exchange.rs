//! Exchange of load boards, customer rates and region summaries, and use of the directory and the host list.

use std::collections::BTreeMap;
use std::sync::Arc;

use lw_base::stable_hash;
use lw_node::Transport;
use lw_plat::PlatformError;
use lw_plat::{Directory, EngineControl, EngineLoad, EngineState, HostEntry, HostList, HostState};
use lw_route::{Now, Router};
use parking_lot::Mutex;

use crate::cluster::{Cluster, REGION};

pub(crate) type PollCounts = Arc<Mutex<BTreeMap<String, u32>>>;

/// Returns a control interface whose engines all report 3 queued and 2 running requests, and counts the polls.
pub(crate) fn counting_engines(polls: &PollCounts) -> EngineControl {
    let polls = polls.clone();
    EngineControl::new(
        |_, _| Box::pin(std::future::ready(Err(PlatformError::Absent))),
        |_| Box::pin(std::future::ready(Ok(EngineState::default()))),
        move |address| {
            *polls.lock().entry(address).or_default() += 1;
            let load = EngineLoad {
                queued: 3,
                running: 2,
                ..EngineLoad::default()
            };
            Box::pin(std::future::ready(Ok(load)))
        },
    )
}

/// Guards against targets that no host or every host polls, and against polled loads that do not reach the other hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_target_is_polled_by_one_host_and_all_hosts_know_its_load() {
    let mut cluster = Cluster::new();
    let polls = PollCounts::default();
    let counted = polls.clone();
    cluster.customize = Some(Box::new(move |parts| {
        parts.engines = Some(counting_engines(&counted));
    }));
    cluster.start_all(&["a", "b", "c"]);
    cluster.publish_first_revision().await;
    cluster
        .wait_until("reports of all 12 engines on every host", |cluster| {
            cluster.hosts.iter().all(|host| {
                let view = host.router.view();
                let service = view.fleet().services.key("grade-assistant");
                service.is_some_and(|service| view.service_load(service).requests > 50.0)
            })
        })
        .await;
    polls.lock().clear();
    cluster.advance_ms(10_000).await;
    let polls = polls.lock().clone();
    println!("polls in 10 s: {polls:?}");
    assert_eq!(
        polls.len(),
        15,
        "the engines of the region and no plain services"
    );
    for (address, count) in polls {
        // One poll a second with a jitter of 10%; three polling hosts would make about 30.
        assert!(
            (4..=15).contains(&count),
            "{address} was polled {count} times"
        );
    }
}

/// Guards against customer limits that each host applies to its own requests only, because rates are not exchanged.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn customer_usage_reaches_the_other_hosts() {
    let mut cluster = Cluster::new();
    cluster.start_all(&["a", "b", "c"]);
    cluster
        .wait_until("the customer rates of two other hosts", |cluster| {
            let reported = cluster.host("a").reported_rates.lock().clone();
            let from = |name: &str| {
                let number = stable_hash(name.as_bytes());
                reported.iter().any(|(host, customer, rate)| {
                    *host == number && customer.0 == 5 && (rate - 2.5).abs() < 0.01
                })
            };
            from("b") && from("c")
        })
        .await;
}

/// Guards against regions that do not discover each other, and against a region that keeps an old revision while only
/// its own connection to the key-value service is down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn regions_exchange_summaries_and_revisions() {
    let mut cluster = Cluster::new();
    cluster.start("a");
    cluster.start("b");
    let seed = cluster.host("a").node.peer_address().to_owned();
    cluster.customize = Some(Box::new(move |parts| {
        parts.identity.region = "saurashtra".into();
        parts.identity.zone = "rajkot-1".into();
        parts.region_seeds = vec![seed.clone()];
    }));
    cluster.start_with_seeds("x", Vec::new());
    cluster
        .wait_until("two regions", |cluster| {
            cluster
                .hosts
                .iter()
                .all(|host| host.status().known_regions == 2)
        })
        .await;
    assert_eq!(
        cluster.host("b").node.forward_addresses("saurashtra"),
        ["x:81"]
    );
    let hosts = cluster.host("b").node.entry_hosts("saurashtra");
    assert_eq!(hosts[0].address, "10.0.0.1:8003");
    assert_eq!(cluster.host("b").node.live_hosts(), 2, "x is not a member");
    cluster.host("x").kv_link.set(lw_stand::LinkState::Down);
    cluster.publish_first_revision().await;
}

/// Starts a host in another region whose engines each report 30 requests for their 16 slots.
fn start_full_region(cluster: &mut Cluster) {
    let seed = cluster.host("a").node.peer_address().to_owned();
    let clock = cluster.clock.clone();
    cluster.customize = Some(Box::new(move |parts| {
        parts.identity.region = "saurashtra".into();
        parts.identity.zone = "rajkot-1".into();
        parts.region_seeds = vec![seed.clone()];
        let router = Router::new(clock.mono(), &Arc::default(), "saurashtra", 1);
        parts.router = Arc::new(router);
        let (router, clock) = (parts.router.clone(), clock.clone());
        parts.on_config = Box::new(move |config| router.apply(clock.mono(), &config.fleet));
        parts.engines = Some(EngineControl::new(
            |_, _| Box::pin(std::future::ready(Err(PlatformError::Absent))),
            |_| Box::pin(std::future::ready(Ok(EngineState::default()))),
            |_| {
                let load = EngineLoad {
                    queued: 14,
                    running: 16,
                    ..EngineLoad::default()
                };
                Box::pin(std::future::ready(Ok(load)))
            },
        ));
    }));
    cluster.start_with_seeds("x", Vec::new());
}

/// Guards against load figures in which idle plain services hide full engines of the same region, so that requests are
/// sent to that region.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_engines_are_not_hidden_by_idle_plain_services_of_the_region() {
    let mut cluster = Cluster::new();
    cluster.start("a");
    start_full_region(&mut cluster);
    cluster
        .publish(&cluster.hosts[0], 5_000)
        .await
        .expect("published");
    let utilization_of = |cluster: &Cluster, service: &str| {
        let view = cluster.host("a").router.view();
        let service = view.fleet().services.key(service)?;
        let region = view.fleet().regions.key("saurashtra")?;
        view.region_use(cluster.clock.mono(), region, service)
    };
    // The utilization of the whole region is (3 * 30) / (3 * 16 + 64) = 0.8, which does not show the shortage.
    cluster
        .wait_until("the utilization of both services", |cluster| {
            let engines = utilization_of(cluster, "stock-questions").is_some_and(|used| used > 1.5);
            engines && utilization_of(cluster, "member-portal").is_some_and(|used| used < 0.1)
        })
        .await;
}

/// Guards against callers that are directed to a host that has left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_host_is_out_of_the_directory_and_marked_for_its_peers() {
    let listed: Arc<Mutex<BTreeMap<String, HostEntry>>> = Arc::default();
    let entries = listed.clone();
    let mut cluster = Cluster::new();
    cluster.customize = Some(Box::new(move |parts| {
        let (put, remove, list) = (entries.clone(), entries.clone(), entries.clone());
        parts.directory = Some(Directory::new(
            move |entry| {
                put.lock().insert(entry.host.clone(), entry);
                Box::pin(std::future::ready(Ok(())))
            },
            move |host| {
                remove.lock().remove(&host);
                Box::pin(std::future::ready(Ok(())))
            },
            move |_| {
                Box::pin(std::future::ready(Ok(list
                    .lock()
                    .values()
                    .cloned()
                    .collect())))
            },
        ));
    }));
    cluster.start_all(&["a", "b", "c"]);
    cluster.advance_ms(1_000).await;
    assert!(
        listed.lock().is_empty(),
        "a host without a revision is not listed"
    );
    cluster
        .publish(&cluster.hosts[0], 5_000)
        .await
        .expect("published");
    cluster.wait_until_settled().await;
    cluster
        .wait_until("three listed hosts", |_| listed.lock().len() == 3)
        .await;
    let names = |cluster: &Cluster, at: &str| -> Vec<String> {
        let hosts = cluster.host(at).node.entry_hosts(REGION).into_iter();
        hosts
            .map(|host| format!("{}{}", host.host, if host.leaving { "!" } else { "" }))
            .collect()
    };
    assert_eq!(
        names(&cluster, "b"),
        ["b", "a", "c"],
        "the zone of the host first"
    );
    assert!(cluster.host("a").node.leave(60_000).await);
    assert_eq!(listed.lock().keys().collect::<Vec<_>>(), ["b", "c"]);
    cluster
        .wait_until("the leaving mark of a", |cluster| {
            names(cluster, "b") == ["b", "a!", "c"]
        })
        .await;
    assert_eq!(names(&cluster, "a"), ["c", "b"], "without itself");
    cluster.advance_ms(20_000).await;
    assert_eq!(listed.lock().len(), 2, "no renewal follows the removal");
}

/// Guards against new requests to a target that the host list marks as leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_mark_of_the_host_list_reaches_the_router() {
    let mut cluster = Cluster::new();
    cluster.customize = Some(Box::new(|parts| {
        parts.host_list = Some(HostList::new(|| {
            let entry = HostEntry {
                host: "ga-02".to_owned(),
                region: REGION.to_owned(),
                zone: "ahmedabad-1".to_owned(),
                caller_address: String::new(),
                peer_address: String::new(),
                state: HostState::Leaving,
            };
            Box::pin(std::future::ready(Ok(vec![entry])))
        }));
    }));
    cluster.start("a");
    cluster
        .publish(&cluster.hosts[0], 5_000)
        .await
        .expect("published");
    cluster
        .wait_until("a target without new requests", |cluster| {
            let view = cluster.hosts[0].router.view();
            let now = Now {
                mono: cluster.clock.mono(),
                wall: cluster.clock.wall(),
            };
            let target = |name| view.fleet().targets.key(name);
            let (Some(leaving), Some(live)) = (target("ga-02"), target("ga-03")) else {
                return false;
            };
            view.begin(now, leaving).is_none() && view.begin(now, live).is_some()
        })
        .await;
}

/// Guards against faults over nng that the fake network of the other tests hides, and against uncounted refusals.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_work_over_nng() {
    let mut cluster = Cluster::new();
    cluster.customize = Some(Box::new(|parts| {
        parts.transport = Transport::Nng {
            listen: "127.0.0.1:0".to_owned(),
        };
    }));
    cluster.start_all(&["a", "b", "c"]);
    cluster.wait_until_settled().await;
    cluster
        .publish(&cluster.hosts[1], 5_000)
        .await
        .expect("published");
    cluster.wait_for_revision(1).await;
    let keys = cluster.run_keys("a", 20).await;
    cluster.assert_replayed("b", &keys).await;
    let node = &cluster.host("a").node;
    node.on_frame(b"no frame");
    let refused = node.status().refused_frames;
    assert!(refused.contains(&("truncated", 1)), "{refused:?}");
    assert_eq!(node.status().dropped_frames, 0);
}
