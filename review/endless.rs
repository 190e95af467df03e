//! A worker in trouble sends bytes that are no answer, without end, until the caller closes.

use std::sync::Mutex;

use crate::*;

const ZONE: &str = "north-hall";
const TROUBLE: (f64, f64) = (16.0, 22.0);
/// `timeout_ms` of the route, in seconds.
const TIMEOUT_S: f64 = 2.0;
const END: f64 = 40.0;

struct Sent {
    at: f64,
    /// When the answer came or the connection ended.
    ended: f64,
    status: u16,
}

pub fn play() -> i32 {
    let record = Record::create();
    let store = Store::start(&record);
    record.say(&format!("trouble: {}", has_trouble()));
    store.put("op/config", &configuration());
    let sound = [PlainWorker::start("i-d1a40c37", &record), PlainWorker::start("i-e0917ac4", &record)];
    for worker in &sound {
        store.put(&format!("servers/{}", worker.id), &worker.entry("portal", ZONE, "ready"));
    }
    let third = PlainWorker::start("i-d83b1f02", &record);
    store.put(&format!("servers/{}", third.id), &third.entry("portal", ZONE, "ready"));
    record.sleep_until(1.0);
    let mut fleet = Fleet::new(&store, &[(ZONE, "north"); 3]);
    for index in 0..3 {
        fleet.start(index);
    }
    if !fleet.wait_ready(Duration::from_secs(10)) {
        record.say("the machines do not get ready");
        return 2;
    }
    let ready: Vec<(String, SocketAddr)> = fleet.machines.iter().map(|machine| (machine.name.clone(), (machine.ip, fleet.ports.ready).into())).collect();
    let askers: Vec<_> = ready
        .into_iter()
        .map(|(name, to)| {
            let record = record.clone();
            thread::spawn(move || ask_readiness(&name, to, &record))
        })
        .collect();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut requests = Vec::new();
    for number in 0.. {
        let at = 5.0 + f64::from(number) / 66.0;
        if at > END - 8.0 {
            break;
        }
        record.sleep_until(at);
        third.set_endless(has_trouble() && (TROUBLE.0..TROUBLE.1).contains(&at));
        let to = fleet.front(number as usize % 3);
        let (record, sent) = (record.clone(), sent.clone());
        requests.push(thread::spawn(move || {
            let id = format!("{number:012x}");
            let head = format!(
                "POST /order/{number} HTTP/1.1\r\nHost: orders.example\r\nContent-Length: 5\r\nLacewingstile-Attempt-Id: {id}\r\nLacewingstile-Time-Remaining: 4000\r\nConnection: close\r\n\r\norder"
            );
            let at = record.now();
            let answer = send_request(to, &head, b"", Duration::from_secs(8));
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            let ended = record.now();
            record.line(&format!("client: {id} sent at {at:.3} to {to}, answer {status} after {:.3} s", ended - at));
            sent.lock().unwrap().push(Sent { at, ended, status });
        }));
    }
    for request in requests {
        let _ = request.join();
    }
    record.sleep_until(END);
    let mut longest: f64 = 0.0;
    for asker in askers {
        longest = longest.max(asker.join().unwrap_or(0.0));
    }
    let sent = sent.lock().unwrap();
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    record.say(&format!("requests: {} sent, {served} served; the third worker ran {}", sent.len(), third.runs.load(Ordering::SeqCst)));
    record.say(&format!("the longest wait for an answer to the readiness call: {longest:.2} s"));
    let unanswered: Vec<&Sent> = sent.iter().filter(|sent| sent.ended - sent.at > TIMEOUT_S).collect();
    let late = unanswered.iter().filter(|sent| sent.ended - sent.at > TIMEOUT_S + 0.5).count();
    record.say(&format!("requests that were still unanswered at their route's timeout: {}; of these without an answer half a second later: {late}", unanswered.len()));
    if sent.len() < 1_000 || served * 2 < sent.len() {
        return 2;
    }
    let broken = unanswered.len() >= 20 && late * 2 > unanswered.len();
    record.say(if broken { "CONFIG is broken" } else { "CONFIG holds" });
    i32::from(broken)
}

/// Asks once a second whether a machine is ready, as the platform does. Returns the longest wait in seconds.
fn ask_readiness(name: &str, to: SocketAddr, record: &Record) -> f64 {
    let mut longest: f64 = 0.0;
    while record.now() < END - 6.0 {
        let at = record.now();
        let answer = send_request(to, "GET /readiness HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n", b"", Duration::from_secs(10));
        let took = record.now() - at;
        longest = longest.max(took);
        let status = answer.map_or(0, |answer| answer.status);
        record.line(&format!("platform: {name} says {status} after {took:.3} s"));
        thread::sleep(Duration::from_secs_f64((1.0 - took).max(0.0)));
    }
    longest
}

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-order\",\"host\":\"orders.example\",\"prefix\":\"/order/\",\"kind\":\"non_idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":400,\"priority\":2,\"service\":\"portal\",\"max_attempts\":1,\"sticky\":false,\"resumable\":false,\"home_regions\":[]}],\
\"services\":[{\"name\":\"portal\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\
\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}".to_owned()
}
