//! Load boards, customer usage, summaries, the directory and the host list.

use std::collections::BTreeMap;
use std::sync::Arc;

use lw_base::stable_hash;
use lw_node::Transport;
use lw_plat::PlatformError;
use lw_plat::{Directory, EngineControl, EngineLoad, EngineState, HostEntry, HostList, HostState};
use lw_route::{Now, Router};
use parking_lot::Mutex;

use crate::bed::{Bed, REGION};

pub(crate) type Polls = Arc<Mutex<BTreeMap<String, u32>>>;

/// Engines that all report three waiting and two running requests, and count the polls.
pub(crate) fn engines(polls: &Polls) -> EngineControl {
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

/// Guards against targets that nobody or everybody polls, and hosts without the load that others polled.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_target_is_polled_by_one_host_and_all_hosts_know_its_load() {
    let mut bed = Bed::new();
    let polls = Polls::default();
    let counted = polls.clone();
    bed.customize = Some(Box::new(move |parts| {
        parts.engines = Some(engines(&counted));
    }));
    bed.start_all(&["a", "b", "c"]);
    bed.publish_first().await;
    bed.until("reports of all 12 engines on every host", |bed| {
        bed.hosts.iter().all(|host| {
            let view = host.router.view();
            let service = view.fleet().services.key("grade-assistant");
            service.is_some_and(|service| view.service_load(service).requests > 50.0)
        })
    })
    .await;
    polls.lock().clear();
    bed.pass_ms(10_000).await;
    let polls = polls.lock().clone();
    println!("polls in 10 s: {polls:?}");
    assert_eq!(
        polls.len(),
        15,
        "the engines of the region and no plain services"
    );
    for (address, count) in polls {
        // One poll a second, with a jitter of a tenth; three pollers would make about 30.
        assert!(
            (4..=15).contains(&count),
            "{address} was polled {count} times"
        );
    }
}

/// Guards against limits that every host applies for itself, because it does not hear of the use on other hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn customer_usage_reaches_the_other_hosts() {
    let mut bed = Bed::new();
    bed.start_all(&["a", "b", "c"]);
    bed.until("the use on two other hosts", |bed| {
        let told = bed.host("a").given.lock().clone();
        let from = |name: &str| {
            let number = stable_hash(name.as_bytes());
            told.iter().any(|(host, customer, rate)| {
                *host == number && customer.0 == 5 && (rate - 2.5).abs() < 0.01
            })
        };
        from("b") && from("c")
    })
    .await;
}

/// Guards against regions that do not find each other, and against a region that stays behind when only its own
/// connection to the key-value service is down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn regions_exchange_summaries_and_revisions() {
    let mut bed = Bed::new();
    bed.start("a");
    bed.start("b");
    let seed = bed.host("a").node.peer_address().to_owned();
    bed.customize = Some(Box::new(move |parts| {
        parts.identity.region = "saurashtra".into();
        parts.identity.zone = "rajkot-1".into();
        parts.region_seeds = vec![seed.clone()];
    }));
    bed.start_with_seeds("x", Vec::new());
    bed.until("two regions", |bed| {
        bed.hosts
            .iter()
            .all(|host| host.status().known_regions == 2)
    })
    .await;
    assert_eq!(bed.host("b").node.forward_addresses("saurashtra"), ["x:81"]);
    let hosts = bed.host("b").node.entry_hosts("saurashtra");
    assert_eq!(hosts[0].address, "10.0.0.1:8003");
    assert_eq!(bed.host("b").node.live_hosts(), 2, "x is no member");
    bed.host("x").kv_link.set(lw_stand::LinkState::Down);
    bed.publish_first().await;
}

/// Starts the host of another region whose engines all report 30 requests at their 16 slots.
fn start_full_region(bed: &mut Bed) {
    let seed = bed.host("a").node.peer_address().to_owned();
    let clock = bed.clock.clone();
    bed.customize = Some(Box::new(move |parts| {
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
    bed.start_with_seeds("x", Vec::new());
}

/// Guards against full engines that idle plain services of the same region hide, so that requests spill into them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_region_with_full_engines_and_idle_plain_services_is_short_for_the_engines() {
    let mut bed = Bed::new();
    bed.start("a");
    start_full_region(&mut bed);
    bed.publish(&bed.hosts[0], 5_000).await.expect("published");
    let use_of = |bed: &Bed, service: &str| {
        let view = bed.host("a").router.view();
        let service = view.fleet().services.key(service)?;
        let region = view.fleet().regions.key("saurashtra")?;
        view.region_use(bed.clock.mono(), region, service)
    };
    // The region as a whole is used at (3 * 30) / (3 * 16 + 64) = 0.8, which is not short.
    bed.until("the use of both services", |bed| {
        let engines = use_of(bed, "stock-questions").is_some_and(|used| used > 1.5);
        engines && use_of(bed, "member-portal").is_some_and(|used| used < 0.1)
    })
    .await;
}

/// Guards against callers that are sent to a host that has left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_host_is_out_of_the_directory_and_marked_for_its_peers() {
    let listed: Arc<Mutex<BTreeMap<String, HostEntry>>> = Arc::default();
    let entries = listed.clone();
    let mut bed = Bed::new();
    bed.customize = Some(Box::new(move |parts| {
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
    bed.start_all(&["a", "b", "c"]);
    bed.pass_ms(1_000).await;
    assert!(
        listed.lock().is_empty(),
        "a host without a revision is not listed"
    );
    bed.publish(&bed.hosts[0], 5_000).await.expect("published");
    bed.settle().await;
    bed.until("three listed hosts", |_| listed.lock().len() == 3)
        .await;
    let names = |bed: &Bed, at: &str| -> Vec<String> {
        let hosts = bed.host(at).node.entry_hosts(REGION).into_iter();
        hosts
            .map(|host| format!("{}{}", host.host, if host.leaving { "!" } else { "" }))
            .collect()
    };
    assert_eq!(names(&bed, "b"), ["b", "a", "c"], "the own zone first");
    assert!(bed.host("a").node.leave(60_000).await);
    assert_eq!(listed.lock().keys().collect::<Vec<_>>(), ["b", "c"]);
    bed.until("a marked host", |bed| names(bed, "b") == ["b", "a!", "c"])
        .await;
    assert_eq!(names(&bed, "a"), ["c", "b"], "without itself");
    bed.pass_ms(20_000).await;
    assert_eq!(listed.lock().len(), 2, "no renewal follows the removal");
}

/// Guards against new work for a target that the host list marks as leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_mark_of_the_host_list_reaches_the_router() {
    let mut bed = Bed::new();
    bed.customize = Some(Box::new(|parts| {
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
    bed.start("a");
    bed.publish(&bed.hosts[0], 5_000).await.expect("published");
    bed.until("a target without new work", |bed| {
        let view = bed.hosts[0].router.view();
        let now = Now {
            mono: bed.clock.mono(),
            wall: bed.clock.wall(),
        };
        let target = |name| view.fleet().targets.key(name);
        let (Some(leaving), Some(live)) = (target("ga-02"), target("ga-03")) else {
            return false;
        };
        view.begin(now, leaving).is_none() && view.begin(now, live).is_some()
    })
    .await;
}

/// Guards against a transport of the tests that hides what nng does, and against uncounted refusals.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_work_over_nng() {
    let mut bed = Bed::new();
    bed.customize = Some(Box::new(|parts| {
        parts.transport = Transport::Nng {
            listen: "127.0.0.1:0".to_owned(),
        };
    }));
    bed.start_all(&["a", "b", "c"]);
    bed.settle().await;
    bed.publish(&bed.hosts[1], 5_000).await.expect("published");
    bed.until_revision(1).await;
    let keys = bed.run_keys("a", 20).await;
    bed.assert_replayed("b", &keys).await;
    let node = &bed.host("a").node;
    node.on_frame(b"no frame");
    let refused = node.status().refused_frames;
    assert!(refused.contains(&("truncated", 1)), "{refused:?}");
    assert_eq!(node.status().dropped_frames, 0);
}
