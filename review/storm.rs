//! The configuration has grown, and versions come in quick succession; right after the last one is acknowledged, all
//! processes of the gateway are killed and started again. Reads that may be old are 3 s behind.

use std::sync::Mutex;

use crate::*;

const ZONE: &str = "north-hall";
const LAG: Duration = Duration::from_secs(3);
/// Routes that were added: 350 at a time, four times.
const ADDED_ROUTES: usize = 4 * 350;
const STORM_FROM: f64 = 14.0;
const STORM_GAP: f64 = 0.15;
const STORM_S: f64 = 4.0;
/// `stable_window_ms` and `config_apply_ms`, in seconds.
const STABLE_S: f64 = 5.0;
const APPLY_S: f64 = 3.0;
const END: f64 = 50.0;

struct Sent {
    at: f64,
    path: &'static str,
    status: u16,
}

pub fn play() -> i32 {
    let record = Record::create();
    let store = Store::start(&record);
    store.set_lag(LAG);
    store.only_old.store(true, Ordering::SeqCst);
    record.say(&format!("trouble: {}", has_trouble()));
    let workers = [PlainWorker::start("i-d1a40c37", &record), PlainWorker::start("i-e0917ac4", &record)];
    for worker in &workers {
        store.put(&format!("servers/{}", worker.id), &worker.entry("portal", ZONE, "ready"));
    }
    for step in 0..=4 {
        store.put("op/config", &configuration(3 + 2 * step as u64, step * 350, 2_000, false));
    }
    record.sleep_until(4.0);
    let mut fleet = Fleet::new(&store, &[(ZONE, "north"); 3]);
    for index in 0..3 {
        fleet.start(index);
    }
    if !fleet.wait_ready(Duration::from_secs(10)) {
        record.say("the machines do not get ready");
        return 2;
    }
    let fronts: Vec<SocketAddr> = (0..3).map(|index| fleet.front(index)).collect();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = ["/old/", "/new/", "/stays/"]
        .into_iter()
        .map(|path| {
            let (record, fronts, sent) = (record.clone(), fronts.clone(), sent.clone());
            thread::spawn(move || ask_on(path, &record, &fronts, &sent))
        })
        .collect();

    let versions = (STORM_S / STORM_GAP) as u64;
    let mut acknowledged = 0.0;
    for number in 0..versions {
        record.sleep_until(STORM_FROM + STORM_GAP * number as f64);
        let is_last = number + 1 == versions;
        // Versions change a time-out; the last one also drops a route and adds one.
        let text = configuration(20 + 3 * number, ADDED_ROUTES, 1_500 + 10 * number, is_last);
        store.put("op/config", &text);
        acknowledged = record.now();
        record.line(&format!("operator: version {} is acknowledged, {} bytes", 20 + 3 * number, text.len()));
    }
    record.say("the last version is acknowledged: /old/ is dropped, /new/ is there");
    let mut in_touch = acknowledged;
    if has_trouble() {
        for index in 0..3 {
            fleet.kill(index);
        }
        record.say("all processes of the gateway are killed");
        record.sleep_until(acknowledged + 0.8);
        for index in 0..3 {
            fleet.start(index);
        }
        record.say("all processes of the gateway are started again");
        in_touch = record.now() + STABLE_S;
    }
    record.sleep_until(END);
    for client in clients {
        let _ = client.join();
    }
    for index in 0..3 {
        for line in fleet.log_lines(index, "loaded a configuration").iter().rev().take(3) {
            record.line(&format!("log of {}: {line}", fleet.machines[index].name));
        }
        for line in fleet.log_lines(index, "the platform does not answer") {
            record.line(&format!("log of {}: {line}", fleet.machines[index].name));
        }
    }
    let from = in_touch.max(acknowledged + APPLY_S);
    let sent = sent.lock().unwrap();
    let count = |path: &str, status: u16, from: f64, to: f64| {
        sent.iter().filter(|sent| sent.path == path && sent.status == status && sent.at > from && sent.at < to).count()
    };
    record.say(&format!("before the last version: /old/ answered 200 {} times, /new/ 404 {} times", count("/old/", 200, 0.0, acknowledged), count("/new/", 404, 0.0, acknowledged)));
    let (ran_old, denied_new) = (count("/old/", 200, from, END), count("/new/", 404, from, END));
    record.say(&format!("sent later than {from:.1} s (machines in touch, {APPLY_S} s after the acknowledgement): /old/ run {ran_old} times, /new/ refused with 404 {denied_new} times"));
    record.say(&format!("and as the last version says: /old/ 404 {} times, /new/ 200 {} times", count("/old/", 404, from, END), count("/new/", 200, from, END)));
    if count("/old/", 200, 0.0, acknowledged) < 20 || count("/stays/", 200, from, END) < 20 {
        return 2;
    }
    let broken = ran_old + denied_new > 0;
    record.say(if broken { "CONFIG is broken" } else { "CONFIG holds" });
    i32::from(broken)
}

fn ask_on(path: &'static str, record: &Record, fronts: &[SocketAddr], sent: &Mutex<Vec<Sent>>) {
    for number in 0.. {
        record.sleep_until(7.0 + 0.1 * number as f64);
        if record.now() > END - 4.0 {
            return;
        }
        let id = format!("{:02x}{number:010x}", path.len());
        let head = format!("GET {path}{number} HTTP/1.1\r\nHost: orders.example\r\nLacewingstile-Attempt-Id: {id}\r\nLacewingstile-Time-Remaining: 4000\r\nConnection: close\r\n\r\n");
        let (at, to) = (record.now(), fronts[number % fronts.len()]);
        let answer = send_request(to, &head, b"", Duration::from_secs(4));
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        record.line(&format!("client: {path}{number} sent at {at:.3} to {to}, answer {status}"));
        sent.lock().unwrap().push(Sent { at, path, status });
    }
}

fn configuration(version: u64, added: usize, timeout_ms: u64, is_last: bool) -> String {
    let route = |name: &str, prefix: &str| {
        format!("{{\"name\":\"{name}\",\"host\":\"orders.example\",\"prefix\":\"{prefix}\",\"kind\":\"idempotent\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":400,\"priority\":2,\"service\":\"portal\",\"max_attempts\":2,\"sticky\":false,\"resumable\":false,\"target_gap_ms\":1200,\"home_regions\":[]}}")
    };
    let mut routes = vec![route("r-stays", "/stays/")];
    routes.push(match is_last {
        true => route("r-new", "/new/"),
        false => route("r-old", "/old/"),
    });
    routes.extend((0..added).map(|index| route(&format!("r-{index:07}"), &format!("/added{index:05}/"))));
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"portal\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}
