//! Two replicas of the store answer reads that may be old, one of them 3 s behind. The workers of a service are replaced
//! one after the other (planned work); then all processes of the gateway are killed and started again.

use std::sync::Mutex;

use crate::*;

const ZONE: &str = "north-hall";
const LAG: Duration = Duration::from_secs(3);
/// `recovery_s` of the settings.
const RECOVERY_S: f64 = 12.0;
const END: f64 = 50.0;

struct Sent {
    at: f64,
    served: bool,
}

pub fn play() -> i32 {
    let record = Record::create();
    let store = Store::start(&record);
    store.set_lag(LAG);
    record.say(&format!("trouble: {}", has_trouble()));
    // A model service with many workers makes the listing of all keys longer than a page. It gets no requests here.
    let models: Vec<Arc<PlainWorker>> = (0..520).map(|index| PlainWorker::start(&format!("i-{:08x}", 0x1000_0000 + index * 0x0040_0000), &record)).collect();
    for model in &models {
        store.put(&format!("servers/{}", model.id), &model.entry("advisor", ZONE, "ready"));
    }
    let portal = |name: &str| PlainWorker::start(name, &record);
    let old = [portal("i-d1a40c37"), portal("i-d83b1f02"), portal("i-e0917ac4")];
    for worker in &old {
        store.put(&format!("servers/{}", worker.id), &worker.entry("portal", ZONE, "ready"));
    }
    store.put("op/config", &configuration(7, 2_000));
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
    let clients = start_clients(&record, fronts, &sent);

    // Planned work: three new workers start, 0.85 s apart, and each old one drains when its successor is there.
    let new: Arc<Mutex<Vec<Arc<PlainWorker>>>> = Arc::default();
    let replacing = {
        let (record, store, old, new) = (record.clone(), store.clone(), old.clone(), new.clone());
        thread::spawn(move || replace(&record, &store, &old, &new))
    };
    record.sleep_until(22.0);
    if has_trouble() {
        // The final fault: right after a change was acknowledged, all processes are killed.
        store.put("op/config", &configuration(9, 1_900));
        record.say("version 9 is acknowledged; all processes of the gateway are killed");
        for index in 0..3 {
            fleet.kill(index);
        }
        record.sleep_until(22.8);
        for index in 0..3 {
            fleet.start(index);
        }
        record.say("all processes of the gateway are started again");
    } else {
        record.sleep_until(22.8);
    }
    let back = record.now();
    record.sleep_until(END);
    let _ = replacing.join();
    for client in clients {
        let _ = client.join();
    }
    for worker in old.iter().chain(new.lock().unwrap().iter()) {
        record.say(&format!("worker {} ran {} requests", worker.id, worker.runs.load(Ordering::SeqCst)));
    }
    for index in 0..3 {
        if let Some(line) = fleet.log_lines(index, "no target in an allowed region").last() {
            record.line(&format!("last such line of {}: {line}", fleet.machines[index].name));
        }
    }
    let sent = sent.lock().unwrap();
    let share = |from: f64, to: f64| {
        let in_span: Vec<&Sent> = sent.iter().filter(|sent| sent.at >= from && sent.at < to).collect();
        let served = in_span.iter().filter(|sent| sent.served).count();
        (served, in_span.len())
    };
    let before = share(0.0, 22.0);
    let after = share(back + RECOVERY_S, END);
    record.say(&format!("served before the final fault: {} of {}", before.0, before.1));
    record.say(&format!("served of the requests sent later than {RECOVERY_S} s after the machines are back: {} of {}", after.0, after.1));
    if before.1 < 100 || before.0 * 4 < before.1 || after.1 < 20 {
        return 2;
    }
    let broken = after.0 * 4 < after.1;
    record.say(if broken { "RECOVER is broken" } else { "RECOVER holds" });
    i32::from(broken)
}

fn replace(record: &Record, store: &Store, old: &[Arc<PlainWorker>], new: &Mutex<Vec<Arc<PlainWorker>>>) {
    let ids = ["i-d5e0b911", "i-da7716f8", "i-e44c0a5d"];
    for (index, id) in ids.iter().enumerate() {
        record.sleep_until(20.0 + 0.85 * index as f64);
        let worker = PlainWorker::start(id, record);
        store.put(&format!("servers/{id}"), &worker.entry("portal", ZONE, "ready"));
        new.lock().unwrap().push(worker);
        let leaver = &old[index];
        store.put(&format!("servers/{}", leaver.id), &leaver.entry("portal", ZONE, "draining"));
        leaver.leave();
        record.say(&format!("worker {id} starts; worker {} drains", leaver.id));
    }
    for (index, leaver) in old.iter().enumerate() {
        // It serves for `drain_ms` and a little longer.
        record.sleep_until(20.0 + 0.85 * index as f64 + 3.5);
        store.delete(&format!("servers/{}", leaver.id));
        leaver.end();
        record.say(&format!("worker {} has left", leaver.id));
    }
}

fn start_clients(record: &Record, fronts: Vec<SocketAddr>, sent: &Arc<Mutex<Vec<Sent>>>) -> Vec<thread::JoinHandle<()>> {
    (0..4)
        .map(|client| {
            let (record, fronts, sent) = (record.clone(), fronts.clone(), sent.clone());
            thread::spawn(move || {
                let mut number = 0usize;
                loop {
                    record.sleep_until(6.0 + 0.05 * client as f64 + 0.2 * number as f64);
                    if record.now() >= END - 4.0 {
                        return;
                    }
                    // A client attempt, and one retry when it was told when to come back.
                    let mut delay_s = None;
                    for attempt in 0..2 {
                        if let Some(delay_s) = delay_s {
                            thread::sleep(Duration::from_secs_f64(delay_s));
                        }
                        let id = format!("{:04x}{:08x}{attempt:04x}", client, number);
                        let to = fronts[(number + client + attempt) % fronts.len()];
                        let head = format!(
                            "GET /dispatch/{number} HTTP/1.1\r\nHost: orders.example\r\nLacewingstile-Attempt-Id: {id}\r\nLacewingstile-Time-Remaining: 4000\r\nConnection: close\r\n\r\n"
                        );
                        let at = record.now();
                        let answer = send_request(to, &head, b"", Duration::from_secs(4));
                        let served = answer.as_ref().is_some_and(|answer| answer.status == 200 && answer.sealed && answer.whole && answer.body.len() == 800);
                        let status = answer.as_ref().map_or(0, |answer| answer.status);
                        record.line(&format!("client: {id} sent at {at:.3} to {to}, answer {status}"));
                        sent.lock().unwrap().push(Sent { at, served });
                        delay_s = answer.and_then(|answer| answer.retry_after_s).map(|delay_s| delay_s.min(1.0));
                        if served || delay_s.is_none() {
                            break;
                        }
                    }
                    number += 1;
                }
            })
        })
        .collect()
}

fn configuration(version: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-dispatch\",\"host\":\"orders.example\",\"prefix\":\"/dispatch/\",\"kind\":\"idempotent\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":400,\"priority\":2,\"service\":\"portal\",\"max_attempts\":2,\"sticky\":false,\"resumable\":false,\"home_regions\":[]}}],\
\"services\":[{{\"name\":\"portal\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}},{{\"name\":\"advisor\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
\"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
