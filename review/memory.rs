//! Many users come at once with long prompts. The platform ends a process that exceeds its memory.

use std::sync::atomic::AtomicUsize;

use crate::*;

const ZONE: &str = "north-hall";
const MACHINES: usize = 3;
const WORKERS: usize = 8;
/// Users per machine, usually and in a burst (x 2.5).
const USERS: usize = 28;
const BURST_USERS: usize = 70;
/// A little less than `body_bytes` (4,194,304).
const BODY_BYTES: usize = 4_000_000;
/// `limits.memory_mb` of the settings.
const MEMORY_KB: u64 = 260 * 1024;
const BURSTS: [(f64, f64); 3] = [(16.0, 26.0), (34.0, 44.0), (52.0, 62.0)];
const END: f64 = 70.0;

pub fn play() -> i32 {
    let record = Record::create();
    let store = Store::start(&record);
    record.say(&format!("trouble: {}", has_trouble()));
    store.put("op/config", &configuration());
    for index in 0..WORKERS {
        let id = format!("i-{:08x}", 0x6100_0000 + index * 0x0101);
        let address = long_worker(&id);
        store.put(
            &format!("servers/{id}"),
            &format!("{{\"service\":\"advisor\",\"address\":\"{address}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":1,\"born\":{}}}", unix_ms()),
        );
    }
    let mut fleet = Fleet::new(&store, &[(ZONE, "north"); MACHINES]);
    for index in 0..MACHINES {
        fleet.start(index);
    }
    if !fleet.wait_ready(Duration::from_secs(10)) {
        record.say("the machines do not get ready");
        return 2;
    }
    let body: Arc<Vec<u8>> = Arc::new(vec![b'q'; BODY_BYTES]);
    let (served, sent): (Arc<AtomicUsize>, Arc<AtomicUsize>) = Default::default();
    let mut users = Vec::new();
    for user in 0..MACHINES * BURST_USERS {
        let to = fleet.front(user % MACHINES);
        let (record, body, served, sent) = (record.clone(), body.clone(), served.clone(), sent.clone());
        users.push(thread::spawn(move || be_user(user, to, &record, &body, &served, &sent)));
    }
    let mut ends = [0; MACHINES];
    let mut peaks = [0; MACHINES];
    let mut back_at = [0.0; MACHINES];
    while record.now() < END {
        for index in 0..MACHINES {
            let Some(resident_kb) = fleet.resident_kb(index) else {
                if record.now() >= back_at[index] {
                    fleet.kill(index);
                    fleet.start(index);
                }
                continue;
            };
            peaks[index] = resident_kb.max(peaks[index]);
            if resident_kb > MEMORY_KB {
                fleet.kill(index);
                ends[index] += 1;
                back_at[index] = record.now() + 1.0;
                record.say(&format!("{} has {} MB and is ended (its limit is 260)", fleet.machines[index].name, resident_kb / 1024));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    for user in users {
        let _ = user.join();
    }
    for index in 0..MACHINES {
        record.say(&format!("{}: at most {} MB, ended {} times", fleet.machines[index].name, peaks[index] / 1024, ends[index]));
    }
    record.say(&format!("requests: {} sent, {} answered whole", sent.load(Ordering::SeqCst), served.load(Ordering::SeqCst)));
    if served.load(Ordering::SeqCst) < 100 {
        return 2;
    }
    let machines = ends.iter().filter(|ends| **ends >= 3).count();
    record.say(&format!("machines whose processes ended three times or more: {machines} (two are a fault)"));
    i32::from(machines >= 2)
}

/// Sends one request after the other while it is this user's time.
fn be_user(user: usize, to: SocketAddr, record: &Record, body: &[u8], served: &AtomicUsize, sent: &AtomicUsize) {
    let is_usual = user / MACHINES < USERS;
    record.sleep_until(4.0 + 3.0 * (user / MACHINES % USERS) as f64 / USERS as f64);
    let mut number = 0;
    while record.now() < END - 6.0 {
        let in_burst = has_trouble() && BURSTS.iter().any(|(from, to)| (*from..*to).contains(&record.now()));
        if !is_usual && !in_burst {
            thread::sleep(Duration::from_millis(100));
            continue;
        }
        let id = format!("{user:06x}{number:06x}");
        let head = format!(
            "POST /review/1 HTTP/1.1\r\nHost: advisor.example\r\nContent-Length: {}\r\nLacewingstile-Attempt-Id: {id}\r\nLacewingstile-Model: m\r\nLacewingstile-Token-Count: 900,60\r\nLacewingstile-Prompt-Prefix: {user:04x}{number:08x}:900\r\nLacewingstile-Time-Remaining: 8000\r\nConnection: close\r\n\r\n",
            body.len()
        );
        let at = record.now();
        let answer = send_request(to, &head, body, Duration::from_secs(8));
        let whole = answer.as_ref().is_some_and(|answer| answer.status == 200 && answer.sealed && answer.whole);
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        record.line(&format!("client: {id} sent at {at:.3} to {to}, answer {status}, whole {whole}"));
        sent.fetch_add(1, Ordering::SeqCst);
        if whole {
            served.fetch_add(1, Ordering::SeqCst);
        } else {
            thread::sleep(Duration::from_millis(500));
        }
        number += 1;
    }
}

/// A model worker in this process: it reads the prompt and writes 20 events, 0.1 s apart.
fn long_worker(id: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let id = id.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let id = id.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut writer = stream.try_clone().expect("a socket can be cloned");
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_message(&mut reader) {
                    if serve_long(&mut writer, &id, request).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn serve_long(writer: &mut TcpStream, id: &str, request: Message) -> std::io::Result<()> {
    let attempt = request.header("lacewingstile-attempt-id").unwrap_or("").to_owned();
    if request.path() == "/health" {
        return writer.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nLacewingstile-Instance-Id: {id}\r\n\r\n").as_bytes());
    }
    drop(request);
    thread::sleep(Duration::from_millis(300));
    writer.write_all(format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nLacewingstile-Attempt-Id: {attempt}\r\nLacewingstile-Weight-Versions: 1\r\nLacewingstile-Response-Seal: seal.{id}.{attempt}\r\n\r\n").as_bytes())?;
    for number in 1..=20 {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(Duration::from_millis(100));
    }
    writer.write_all(b"0\r\n\r\n")
}

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-review\",\"host\":\"advisor.example\",\"prefix\":\"/review/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":1500,\"priority\":1,\"service\":\"advisor\",\"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":1200,\"home_regions\":[]}],\
\"services\":[{\"name\":\"advisor\",\"health_path\":\"/health\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{\"slots\":64,\"kv_token_cap\":292591,\"kv_token_bytes\":18432,\"link_mbps\":88000.0,\"moves\":false,\"backups\":false,\"stride\":6,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],\
\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}".to_owned()
}
