//! The cases of the second review that are scripts. See `claim.txt` in the folder of each case.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::{
    HostProcess, Requests, Run, Runs, SERVE, SIGCONT, SIGSTOP, SILENT, Store, TURN_AWAY, Worker,
    World, send, signal, start_hosts, wait_ready,
};

/// Plays a case. Returns whether the rule held.
pub fn play(case: &str, world: &Arc<World>) -> Result<bool, String> {
    match case {
        "watchers" => watchers(world),
        "regress" => regress(world),
        "cold" => cold(world),
        "parts" => parts(world),
        "services" => services(world),
        _ => Err(format!("there is no case {case}")),
    }
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A configuration; `routes` and `services` are lists in JSON without their brackets.
fn config(version: u64, routes: &[String], services: &[String]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

fn plain_route(name: &str, kind: &str, service: &str) -> String {
    format!(
        r#"{{"name":"r-{name}","host":"shop.example","prefix":"/{name}/","kind":"{kind}","timeout_ms":2000,"target_latency_ms":400,"priority":2,"service":"{service}","max_attempts":1,"sticky":false,"resumable":false,"home_regions":[]}}"#
    )
}

fn plain_service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_conns":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}"#
    )
}

fn engine_service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":4.5,"engine":{{"slots":64,"kv_token_cap":292591,"kv_token_bytes":18432,"link_mbps":88000.0,"moves":true,"backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}"#
    )
}

fn register(store: &Store, workers: &[Arc<Worker>]) {
    for worker in workers {
        store.put(&worker.key(), &worker.entry("ready"));
    }
}

fn count_statuses(world: &World, requests: &Requests, runs: &Runs) {
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    for sent in requests.lock().unwrap().iter() {
        *statuses.entry(sent.status).or_default() += 1;
    }
    let mut statuses: Vec<_> = statuses.into_iter().collect();
    statuses.sort_unstable();
    for (status, count) in statuses {
        world.note(&format!("{count} requests were answered with {status}"));
    }
    world.keep(requests, runs);
}

fn run_of<'a>(runs: &'a [Run], id: &str) -> Option<&'a Run> {
    runs.iter().find(|run| run.id == id)
}

/// The store turns the machines away that watch it; the others act on an old configuration.
fn watchers(world: &Arc<World>) -> Result<bool, String> {
    const APPLY_MS: u64 = 3_000;
    let store = Store::new(world);
    let runs = Runs::default();
    let runs_seen = runs.clone();
    let requests = Requests::default();
    let workers: Vec<_> = ["hall-n", "hall-n", "hall-n", "hall-s"]
        .iter()
        .map(|zone| Worker::start(world, &runs, "portal", zone, 6, 20, 0))
        .collect();
    register(&store, &workers);
    let services = [plain_service("portal")];
    let (keep, old, new) = (
        plain_route("keep", "non_idempotent", "portal"),
        plain_route("old", "non_idempotent", "portal"),
        plain_route("new", "non_idempotent", "portal"),
    );
    // Until it is added, requests on it belong to /keep/, which has no homes.
    let private = plain_route("keep/private", "non_idempotent", "portal")
        .replace(r#""home_regions":[]"#, r#""home_regions":["south"]"#);
    store.put("op/config", &config(11, &[keep.clone(), old], &services));
    let mut machines = vec![("hall-n", "north"); 11];
    machines.push(("hall-s", "south"));
    let hosts = start_hosts(world, &store, &machines)?;
    wait_ready(world, &hosts)?;
    pause(8_000);
    let now_ms = world.now_ms();
    let is_watching = |host: &&HostProcess| {
        let at_ms = host.door.watched_at.load(Ordering::SeqCst);
        at_ms > 0 && now_ms.saturating_sub(at_ms) < 4_500
    };
    let watching: Vec<&HostProcess> = hosts.iter().filter(is_watching).collect();
    let names: Vec<&str> = watching.iter().map(|host| host.name.as_str()).collect();
    world.note(&format!(
        "{} of {} machines watch the store: {}",
        names.len(),
        hosts.len(),
        names.join(" ")
    ));
    if watching.len() as f64 > 0.355 * hosts.len() as f64 {
        return Err("more machines watch the store than a disruption may turn away".to_owned());
    }
    let in_touch: Vec<&HostProcess> = hosts
        .iter()
        .filter(|host| host.region == "north" && !names.contains(&host.name.as_str()))
        .collect();
    // A worker registers, so that each watch has just been answered.
    let late = Worker::start(world, &runs, "portal", "hall-n", 6, 20, 0);
    store.put(&late.key(), &late.entry("ready"));
    world.note("a further worker has registered");
    pause(300);
    if world.has_trouble {
        for host in &watching {
            host.door.mode.store(TURN_AWAY, Ordering::SeqCst);
        }
        world.note("the store turns these machines away (503), and serves the others");
    }
    pause(200);
    store.put("op/config", &config(14, &[keep, new, private], &services));
    let acknowledged_ms = world.now_ms();
    world.note("the store has acknowledged version 14: /old/ is dropped; /new/, and /keep/private/ with the home south, are added",
    );
    for turn in 0..200_u64 {
        let host = in_touch[world.draw(in_touch.len() as u64) as usize];
        let lines = [
            "POST /keep/a",
            "POST /old/a",
            "POST /new/a",
            "POST /keep/private/a",
        ];
        let line = lines[(turn % 4) as usize];
        send(world, &requests, host, line, "", 2_000);
        pause(40);
    }
    for host in &watching {
        host.door.mode.store(SERVE, Ordering::SeqCst);
    }
    world.note("the store serves all machines again");
    pause(2_500);
    let zone_of = |id: &str| {
        let known = workers.iter().chain([&late]).find(|worker| worker.id == id);
        known.map_or("", |worker| worker.zone.as_str())
    };
    let runs = runs.lock().unwrap().clone();
    let mut all = requests.lock().unwrap().clone();
    all.sort_by_key(|sent| sent.at_ms);
    let (mut broken, mut last_ms, mut away) = (0, 0, 0);
    for sent in &all {
        let after_ms = sent.at_ms.saturating_sub(acknowledged_ms);
        let is_old_run = sent.path.starts_with("/old/") && run_of(&runs, &sent.id).is_some();
        let is_private_away = sent.path.starts_with("/keep/private/")
            && run_of(&runs, &sent.id).is_some_and(|run| zone_of(&run.worker) == "hall-n");
        let is_new_refused = sent.path.starts_with("/new/") && sent.status == 404;
        if is_old_run || is_new_refused || is_private_away {
            last_ms = last_ms.max(after_ms);
        }
        if after_ms > APPLY_MS && (is_old_run || is_new_refused || is_private_away) {
            broken += 1;
            away += usize::from(is_private_away);
            let what = match (is_old_run, is_private_away) {
                (true, _) => "a worker ran it, though its route was dropped",
                (_, true) => "a worker in the north ran it, though its route has the home south",
                _ => "it was refused with 404, though its route is there",
            };
            if broken <= 20 {
                world.note(&format!(
                    "{} to {} at {}, sent {after_ms} ms after the acknowledgement: {what}",
                    sent.path, sent.host, sent.id
                ));
            }
        }
    }
    count_statuses(world, &requests, &runs_seen);
    world.note(&format!(
        "the old version was last seen on a request sent {last_ms} ms after the acknowledgement"
    ));
    world.note(&format!("{broken} requests sent more than {APPLY_MS} ms after it to machines in touch were handled as only version 11 allows"));
    world.note(&format!(
        "{away} of them reached workers outside the home of their route, which breaks HOME too"
    ));
    Ok(broken == 0)
}

/// The store turns one machine away. A machine that has the new configuration forwards requests to it.
fn regress(world: &Arc<World>) -> Result<bool, String> {
    const SLACK_MS: u64 = 250;
    let store = Store::new(world);
    let runs = Runs::default();
    let runs_seen = runs.clone();
    let requests = Requests::default();
    let mut workers = Vec::new();
    for service in ["alpha", "beta"] {
        for zone in ["hall-n", "hall-s", "hall-s"] {
            workers.push(Worker::start(world, &runs, service, zone, 64, 30, 4));
        }
    }
    register(&store, &workers);
    let services = [engine_service("alpha"), engine_service("beta")];
    let route = |service: &str| {
        format!(
            r#"{{"name":"r-query","host":"shop.example","prefix":"/query/","kind":"streaming","timeout_ms":8000,"target_latency_ms":1500,"priority":1,"service":"{service}","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":1200,"home_regions":[]}}"#
        )
    };
    store.put("op/config", &config(21, &[route("alpha")], &services));
    let machines = [
        ("hall-n", "north"),
        ("hall-s", "south"),
        ("hall-s", "south"),
    ];
    let hosts = start_hosts(world, &store, &machines)?;
    wait_ready(world, &hosts)?;
    pause(6_000);
    let [entry, turned_away, _] = &hosts[..] else {
        return Err("three hosts are needed".to_owned());
    };
    let mut acknowledged_ms = 0;
    for turn in 0..500_u64 {
        if turn == 100 && world.has_trouble {
            turned_away.door.mode.store(TURN_AWAY, Ordering::SeqCst);
            world.note(&format!(
                "the store turns {} away (503), and serves the others",
                turned_away.name
            ));
        }
        if turn == 140 {
            store.put("op/config", &config(24, &[route("beta")], &services));
            acknowledged_ms = world.now_ms();
            world.note(
                "the store has acknowledged version 24: the route has moved from alpha to beta",
            );
        }
        let (shared, own) = (turn % 40, 1_000 + turn);
        let extra = format!(
            "Lacewingstile-Model: m\r\nLacewingstile-Token-Count: 13680,80\r\nLacewingstile-Prompt-Prefix: {:x}:13300,{own:x}:380\r\n",
            0x5c1e_0000 + shared
        );
        send(world, &requests, entry, "POST /query/a", &extra, 8_000);
        pause(if turn < 140 { 25 } else { 10 });
    }
    turned_away.door.mode.store(SERVE, Ordering::SeqCst);
    pause(1_500);
    let runs = runs.lock().unwrap().clone();
    let all = requests.lock().unwrap().clone();
    let seen = all
        .iter()
        .filter_map(|sent| run_of(&runs, &sent.id))
        .filter(|run| run.service == "beta");
    let Some(seen_ms) = seen.map(|run| run.at_ms).min() else {
        return Err("no request was run by the new service".to_owned());
    };
    world.note(&format!(
        "a worker first saw the effect of version 24, on a request to {}, {} ms after the acknowledgement",
        entry.name,
        seen_ms.saturating_sub(acknowledged_ms)
    ));
    let mut broken = 0;
    let mut all = all;
    all.sort_by_key(|sent| sent.at_ms);
    for sent in &all {
        let Some(run) = run_of(&runs, &sent.id) else {
            continue;
        };
        if run.service == "alpha" && sent.at_ms > seen_ms + SLACK_MS {
            broken += 1;
            if broken <= 20 {
                world.note(&format!(
                    "{} sent to {} {} ms after that was run by {} of the old service alpha in {}",
                    sent.id,
                    sent.host,
                    sent.at_ms - seen_ms,
                    run.worker,
                    workers
                        .iter()
                        .find(|worker| worker.id == run.worker)
                        .map_or("", |worker| worker.zone.as_str())
                ));
            }
        }
    }
    count_statuses(world, &requests, &runs_seen);
    world.note(&format!(
        "{broken} requests to {} were run as only version 21 allows, more than {SLACK_MS} ms later",
        entry.name
    ));
    Ok(broken == 0)
}

/// The store falls silent, and a worker becomes cold again.
fn cold(world: &Arc<World>) -> Result<bool, String> {
    const PER_S: f64 = 4.5 * 1.5 + 3.0;
    let store = Store::new(world);
    let runs = Runs::default();
    let runs_seen = runs.clone();
    let requests = Requests::default();
    let workers: Vec<_> = (0..2)
        .map(|_| Worker::start(world, &runs, "advisor", "hall-n", 64, 30, 4))
        .collect();
    register(&store, &workers);
    let route = r#"{"name":"r-query","host":"shop.example","prefix":"/query/","kind":"streaming","timeout_ms":5000,"target_latency_ms":1000,"priority":0,"service":"advisor","max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":1200,"home_regions":[]}"#;
    store.put(
        "op/config",
        &config(31, &[route.to_owned()], &[engine_service("advisor")]),
    );
    let hosts = start_hosts(world, &store, &[("hall-n", "north"); 3])?;
    wait_ready(world, &hosts)?;
    pause(8_000);
    let (mut cold_from_ms, mut cold_until_ms) = (0, 0);
    for turn in 0..360_u64 {
        if turn == 100 && world.has_trouble {
            for host in &hosts {
                host.door.mode.store(SILENT, Ordering::SeqCst);
            }
            world.note("the store is silent");
        }
        if turn == 110 {
            cold_from_ms = world.now_ms();
            cold_until_ms = cold_from_ms + 3_000;
            workers[0]
                .cold_until_ms
                .store(cold_until_ms, Ordering::SeqCst);
            if !world.has_trouble {
                store.put(&workers[0].key(), &workers[0].entry("ready"));
            }
            world.note(&format!(
                "{} is cold again for 3 s, and says so in its health answers",
                workers[0].id
            ));
        }
        if turn == 310 {
            for host in &hosts {
                host.door.mode.store(SERVE, Ordering::SeqCst);
            }
            world.note("the store answers again");
        }
        let host = &hosts[world.draw(hosts.len() as u64) as usize];
        let extra = format!(
            "Lacewingstile-Model: m\r\nLacewingstile-Token-Count: 383,40\r\nLacewingstile-Prompt-Prefix: {:x}:55,{:x}:37,{:x}:291\r\n",
            0x51 + turn % 20,
            0x7000 + turn % 200,
            0x10_0000 + turn
        );
        send(world, &requests, host, "POST /query/a", &extra, 5_000);
        pause(20);
    }
    pause(1_500);
    let runs = runs.lock().unwrap().clone();
    let all = requests.lock().unwrap().clone();
    let sent_at: HashMap<&str, u64> = all
        .iter()
        .map(|sent| (sent.id.as_str(), sent.at_ms))
        .collect();
    let mut times: Vec<(u64, u64)> = runs
        .iter()
        .filter(|run| {
            run.worker == workers[0].id && run.at_ms >= cold_from_ms && run.at_ms < cold_until_ms
        })
        .map(|run| {
            (
                run.at_ms,
                sent_at.get(run.id.as_str()).copied().unwrap_or(0),
            )
        })
        .collect();
    times.sort_unstable();
    let (mut most, mut most_at) = (0, 0);
    for (index, (from_ms, _)) in times.iter().enumerate() {
        let inside = times[index..]
            .iter()
            .filter(|(at_ms, sent_ms)| *at_ms < from_ms + 1_000 && *sent_ms >= *from_ms);
        let count = inside.count();
        if count > most {
            (most, most_at) = (count, *from_ms);
        }
    }
    count_statuses(world, &requests, &runs_seen);
    world.note(&format!(
        "the cold worker answered {} health checks and got {} requests in its 3 s",
        workers[0].checks.load(Ordering::SeqCst),
        times.len()
    ));
    world.note(&format!(
        "in the second from {} ms after it became cold it got {most} requests that were sent in it; the most is {PER_S}",
        most_at.saturating_sub(cold_from_ms)
    ));
    Ok(most as f64 <= PER_S)
}

/// Holds a process to a share of a core as the platform does: "the core runs at full speed until the quota is used up, and
/// then runs not at all for the rest of that tenth of a second".
fn keep_to_share(world: &Arc<World>, host: &HostProcess, share: f64, ended: &Arc<AtomicBool>) {
    const PERIOD_MS: u64 = 100;
    let (world, pid, ended) = (world.clone(), host.pid, ended.clone());
    thread::spawn(move || {
        let used_ns = || -> u64 {
            let text =
                std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
            text.split(' ')
                .next()
                .and_then(|first| first.parse().ok())
                .unwrap_or(0)
        };
        let quota_ns = (share * PERIOD_MS as f64 * 1e6) as u64;
        let (mut period, mut from_ns, mut is_stopped) = (0, used_ns(), false);
        while !ended.load(Ordering::SeqCst) {
            let now = world.now_ms() / PERIOD_MS;
            if now != period {
                // What was used beyond the quota is taken from the next one.
                from_ns = (from_ns + quota_ns * (now - period)).min(used_ns());
                period = now;
                if is_stopped && used_ns() < from_ns + quota_ns {
                    signal(pid, SIGCONT);
                    is_stopped = false;
                }
            }
            if !is_stopped && used_ns() >= from_ns + quota_ns {
                signal(pid, SIGSTOP);
                is_stopped = true;
            }
            pause(1);
        }
        signal(pid, SIGCONT);
    });
}

/// Prompts with many shared parts, at a constant rate and without any disruption.
fn parts(world: &Arc<World>) -> Result<bool, String> {
    const RATE_PER_S: u64 = 250;
    const TIMEOUT_MS: u64 = 4_000;
    const LENGTH_MS: u64 = 75_000;
    let store = Store::new(world);
    let runs = Runs::default();
    let runs_seen = runs.clone();
    let requests = Requests::default();
    let workers: Vec<_> = (0..6)
        .map(|_| Worker::start(world, &runs, "advisor", "hall-n", 64, 30, 2))
        .collect();
    register(&store, &workers);
    let route = format!(
        r#"{{"name":"r-query","host":"shop.example","prefix":"/query/","kind":"streaming","timeout_ms":{TIMEOUT_MS},"target_latency_ms":1000,"priority":0,"service":"advisor","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":1200,"home_regions":[]}}"#
    );
    store.put(
        "op/config",
        &config(41, &[route], &[engine_service("advisor")]),
    );
    let hosts = start_hosts(world, &store, &[("hall-n", "north"); 2])?;
    wait_ready(world, &hosts)?;
    let ended = Arc::new(AtomicBool::new(false));
    for host in &hosts {
        keep_to_share(world, host, 0.25, &ended);
    }
    pause(6_000);
    let begin_ms = world.now_ms();
    let mut next_note_ms = 10_000;
    let mut turn = 0;
    while world.now_ms() - begin_ms < LENGTH_MS {
        // 15 of 400 shared parts of 300 tokens, or as many tokens in one shared part; the last part is the request's own.
        let shared: Vec<String> = match world.has_trouble {
            true => (0..15)
                .map(|_| format!("{:x}:300", 0x5c1e_0000 + world.draw(400)))
                .collect(),
            false => vec![format!("{:x}:4500", 0x5c1e_0000 + world.draw(400))],
        };
        let extra = format!(
            "Lacewingstile-Model: m\r\nLacewingstile-Token-Count: 4700,40\r\nLacewingstile-Prompt-Prefix: {},{:x}:200\r\n",
            shared.join(","),
            0x7000_0000 + turn
        );
        send(
            world,
            &requests,
            &hosts[0],
            "POST /query/a",
            &extra,
            2 * TIMEOUT_MS,
        );
        turn += 1;
        let due_ms = begin_ms + turn * 1_000 / RATE_PER_S;
        pause(due_ms.saturating_sub(world.now_ms()));
        if world.now_ms() - begin_ms >= next_note_ms {
            let all = requests.lock().unwrap();
            let recent = all
                .iter()
                .filter(|sent| sent.answered_ms + 1_000 >= world.now_ms());
            let (mut count, mut longest_ms) = (0, 0);
            for sent in recent {
                count += 1;
                longest_ms = longest_ms.max(sent.answered_ms - sent.at_ms);
            }
            drop(all);
            world.note(&format!(
                "{turn} requests were sent; in the last second {count} ended, the longest after {longest_ms} ms"
            ));
            next_note_ms += 10_000;
        }
    }
    pause(2 * TIMEOUT_MS + 1_500);
    ended.store(true, Ordering::SeqCst);
    pause(20);
    let all = requests.lock().unwrap().clone();
    let took_ms = |sent: &crate::Sent| sent.answered_ms - sent.at_ms;
    let unanswered: Vec<_> = all
        .iter()
        .filter(|sent| sent.status == 0 || took_ms(sent) > TIMEOUT_MS)
        .collect();
    let without = unanswered
        .iter()
        .filter(|sent| sent.status == 0 || took_ms(sent) > TIMEOUT_MS + 500)
        .count();
    count_statuses(world, &requests, &runs_seen);
    world.note(&format!(
        "{} of {} requests were unanswered at the route's timeout of {TIMEOUT_MS} ms; {without} of these had no answer half a second later",
        unanswered.len(),
        all.len()
    ));
    Ok(unanswered.len() < 8 || without * 2 <= unanswered.len())
}

/// A version adds many services whose workers are in one region.
fn services(world: &Arc<World>) -> Result<bool, String> {
    let added: usize = if world.has_trouble { 300 } else { 60 };
    let store = Store::new(world);
    let runs = Runs::default();
    let runs_seen = runs.clone();
    let requests = Requests::default();
    let mut workers: Vec<_> = ["hall-n", "hall-s"]
        .iter()
        .map(|zone| Worker::start(world, &runs, "portal", zone, 6, 20, 0))
        .collect();
    // Its workers are in the south only, from the first version on.
    workers.extend((0..2).map(|_| Worker::start(world, &runs, "archive", "hall-s", 6, 20, 0)));
    register(&store, &workers);
    let first_routes = [
        plain_route("first", "idempotent", "portal"),
        plain_route("archive", "idempotent", "archive"),
    ];
    let first_services = [plain_service("portal"), plain_service("archive")];
    store.put("op/config", &config(51, &first_routes, &first_services));
    let machines = [
        ("hall-n", "north"),
        ("hall-n", "north"),
        ("hall-s", "south"),
        ("hall-s", "south"),
    ];
    let hosts = start_hosts(world, &store, &machines)?;
    wait_ready(world, &hosts)?;
    pause(6_000);
    let mut added_workers = Vec::new();
    let (mut routes, mut all_services) = (first_routes.to_vec(), first_services.to_vec());
    for index in 0..added {
        let name = format!("shop-{index}");
        added_workers.push(Worker::start(world, &runs, &name, "hall-s", 6, 20, 0));
        routes.push(plain_route(&name, "idempotent", &name));
        all_services.push(plain_service(&name));
    }
    register(&store, &added_workers);
    let mut steady_ms = u64::MAX;
    for turn in 0..800_u64 {
        if turn == 150 {
            store.put("op/config", &config(53, &routes, &all_services));
            steady_ms = world.now_ms() + 8_000;
            world.note(&format!("the store has acknowledged version 53, which adds {added} services with a route each"));
        }
        // To the machines of the north.
        let host = &hosts[(turn % 2) as usize];
        let line = match (turn / 2) % 3 {
            0 => "GET /first/a".to_owned(),
            1 => "GET /archive/a".to_owned(),
            _ if turn >= 150 => format!("GET /shop-{}/a", world.draw(added as u64)),
            _ => "GET /first/a".to_owned(),
        };
        send(world, &requests, host, &line, "", 4_000);
        pause(40);
    }
    pause(5_000);
    count_statuses(world, &requests, &runs_seen);
    let all = requests.lock().unwrap().clone();
    let share = |prefix: &str, is_steady: bool| {
        let sent: Vec<_> = all
            .iter()
            .filter(|sent| sent.path.starts_with(prefix) && (sent.at_ms >= steady_ms) == is_steady)
            .collect();
        let served = sent.iter().filter(|sent| sent.status == 200).count();
        (served, sent.len())
    };
    for (prefix, what) in [
        ("/first/", "the first route"),
        ("/archive/", "the first route to the south"),
        ("/shop-", "the added routes"),
    ] {
        let ((before, of), (after, of_steady)) = (share(prefix, false), share(prefix, true));
        world.note(&format!("{what}: {before} of {of} served earlier, {after} of {of_steady} from 8 s after the version on"));
    }
    let ((first, of_first), (later, of_later)) = (share("/first/", true), share("/shop-", true));
    let first_share = first as f64 / of_first.max(1) as f64;
    let later_share = later as f64 / of_later.max(1) as f64;
    Ok(of_later < 20 || later_share >= first_share / 4.0)
}
