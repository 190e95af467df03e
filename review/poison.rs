//! One part of a prompt crashes each worker that begins to write an answer on it. Each request with it concerns another
//! document, and is repeated as the route and the client allow.

use std::sync::Mutex;

use crate::*;

const ZONE: &str = "north-hall";
const WORKERS: usize = 8;
/// The part that crashes workers, and the first part of all prompts.
const BAD: &str = "ba0d0001";
const FIRST: &str = "f0000001";
/// A crashed worker is back after this time.
const BACK: Duration = Duration::from_secs(3);
/// `stable_window_ms` of the settings, in seconds.
const STABLE_S: f64 = 5.0;
const TROUBLE_FROM: f64 = 14.0;
const TROUBLE_EVERY: f64 = 7.0;
const END: f64 = 85.0;

#[derive(Default)]
struct Seen {
    /// When a request with the bad part reached a worker.
    bad: Vec<f64>,
    crashes: Vec<f64>,
    /// Sound requests: whether the client got the whole stream.
    sound: Vec<(f64, bool)>,
}

pub fn play() -> i32 {
    let record = Record::create();
    let store = Store::start(&record);
    record.say(&format!("trouble: {}", has_trouble()));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    store.put("op/config", &configuration());
    let mut keepers = Vec::new();
    for index in 0..WORKERS {
        let (record, store, seen, stop) = (record.clone(), store.clone(), seen.clone(), stop.clone());
        keepers.push(thread::spawn(move || keep_worker(index, &record, &store, &seen, &stop)));
    }
    record.sleep_until(2.0);
    let mut fleet = Fleet::new(&store, &[(ZONE, "north"); 3]);
    for index in 0..3 {
        fleet.start(index);
    }
    if !fleet.wait_ready(Duration::from_secs(10)) {
        record.say("the machines do not get ready");
        stop.store(true, Ordering::SeqCst);
        return 2;
    }
    let fronts: Vec<SocketAddr> = (0..3).map(|index| fleet.front(index)).collect();
    let mut clients = Vec::new();
    for client in 0..8 {
        let (record, fronts, seen) = (record.clone(), fronts.clone(), seen.clone());
        clients.push(thread::spawn(move || sound_client(client, &record, &fronts, &seen)));
    }
    let mut document = 0;
    loop {
        let at = TROUBLE_FROM + TROUBLE_EVERY * f64::from(document);
        if at > END - 8.0 {
            break;
        }
        record.sleep_until(at);
        document += 1;
        let (record, fronts, seen) = (record.clone(), fronts.clone(), seen.clone());
        clients.push(thread::spawn(move || ask_about(document, &record, &fronts, &seen)));
    }
    record.sleep_until(END);
    for client in clients {
        let _ = client.join();
    }
    stop.store(true, Ordering::SeqCst);
    for keeper in keepers {
        let _ = keeper.join();
    }
    for index in 0..3 {
        for line in fleet.log_lines(index, "enters the quarantine") {
            record.line(&format!("log of {}: {line}", fleet.machines[index].name));
        }
    }
    let seen = seen.lock().unwrap();
    judge(&record, &seen)
}

fn judge(record: &Record, seen: &Seen) -> i32 {
    let served = seen.sound.iter().filter(|(_, served)| *served).count();
    record.say(&format!("sound requests: {} sent, {served} answered whole", seen.sound.len()));
    record.say(&format!("requests with the bad part that reached workers: {}; crashes: {}", seen.bad.len(), seen.crashes.len()));
    if seen.sound.len() < 200 || served * 2 < seen.sound.len() {
        return 2;
    }
    let mut crashes = seen.crashes.clone();
    crashes.sort_by(f64::total_cmp);
    let Some(fifth) = crashes.get(4) else {
        record.say("fewer than five crashes; BUDGET holds");
        return 0;
    };
    let late = seen.bad.iter().filter(|at| **at > fifth + STABLE_S).count();
    record.say(&format!("the fifth crash at {fifth:.3}; requests with the bad part that reached workers later than {STABLE_S} s after it: {late} (3 are allowed)"));
    record.say(if late > 3 { "BUDGET is broken" } else { "BUDGET holds" });
    i32::from(late > 3)
}

/// Starts a worker's process again and again, and keeps its entry in the store.
fn keep_worker(index: usize, record: &Record, store: &Store, seen: &Mutex<Seen>, stop: &AtomicBool) {
    let id = format!("i-{:08x}", 0x5100_0000 + index * 0x0101);
    let probe = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = probe.local_addr().unwrap();
    drop(probe);
    let program = std::env::current_exe().expect("this program");
    while !stop.load(Ordering::SeqCst) {
        let mut command = Command::new(&program);
        end_with_this_program(&mut command);
        let started = command
            .args(["worker", &address.to_string(), &id, BAD])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn();
        let Ok(mut child) = started else {
            return;
        };
        let output = child.stdout.take().expect("a pipe");
        thread::sleep(Duration::from_millis(50));
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"advisor\",\"address\":\"{address}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":1,\"born\":{}}}",
                unix_ms()
            ),
        );
        let reader = {
            let (record, id) = (record.clone(), id.clone());
            let (sender, receiver) = std::sync::mpsc::channel::<(f64, String)>();
            let reading = thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    record.line(&format!("worker {id}: {line}"));
                    let _ = sender.send((record.now(), line));
                }
            });
            (reading, receiver)
        };
        let ended = loop {
            while let Ok((at, line)) = reader.1.try_recv() {
                note(seen, at, &line);
            }
            if stop.load(Ordering::SeqCst) {
                let _ = child.kill();
            }
            if let Ok(Some(_)) = child.try_wait() {
                break record.now();
            }
            thread::sleep(Duration::from_millis(5));
        };
        let _ = reader.0.join();
        while let Ok((at, line)) = reader.1.try_recv() {
            note(seen, at, &line);
        }
        if !stop.load(Ordering::SeqCst) {
            record.say(&format!("worker {id} has crashed"));
            // Its entry stays for three heartbeat intervals; it is back before.
            record.sleep_until(ended + BACK.as_secs_f64());
        }
    }
}

fn note(seen: &Mutex<Seen>, at: f64, line: &str) {
    let mut seen = seen.lock().unwrap();
    let is_bad = line.split([' ', ',', ':']).any(|word| word == BAD);
    if line.starts_with("run ") && is_bad {
        seen.bad.push(at);
    }
    if line.starts_with("crash ") {
        seen.crashes.push(at);
    }
}

/// Asks with one of the usual templates, about one of the usual documents.
fn sound_client(client: usize, record: &Record, fronts: &[SocketAddr], seen: &Mutex<Seen>) {
    let mut number = 0;
    loop {
        record.sleep_until(6.0 + 0.1 * client as f64 + 0.8 * number as f64);
        if record.now() >= END - 6.0 {
            return;
        }
        let template = (number + client) % 3;
        let document = (number * 7 + client) % 5;
        let parts = format!("{FIRST}:60,7e00000{template}:40,d0c0000{document}:90,{client:04x}{number:04x}:30");
        let at = record.now();
        let (served, _) = ask(&format!("50{client:02x}{number:06x}"), &parts, fronts[(client + number) % 3], record);
        seen.lock().unwrap().sound.push((at, served));
        number += 1;
    }
}

/// A new document: with trouble, one request about it holds the bad part, and its client sends it once more if it fails.
/// Then sound requests about the same document come.
fn ask_about(document: u32, record: &Record, fronts: &[SocketAddr], seen: &Mutex<Seen>) {
    let from = document as usize;
    if has_trouble() {
        let parts = format!("{FIRST}:60,{BAD}:40,d1c{document:05x}:90,b{document:07x}:30");
        let (served, may_retry) = ask(&format!("ba{document:06x}0"), &parts, fronts[from % 3], record);
        if !served && may_retry {
            ask(&format!("ba{document:06x}1"), &parts, fronts[(from + 1) % 3], record);
        }
    }
    thread::sleep(Duration::from_secs(3));
    for number in 0..3 {
        let parts = format!("{FIRST}:60,7e00000{number}:40,d1c{document:05x}:90,a{document:06x}{number}:30");
        let at = record.now();
        let (served, _) = ask(&format!("5a{document:06x}{number}"), &parts, fronts[(from + number) % 3], record);
        seen.lock().unwrap().sound.push((at, served));
        thread::sleep(Duration::from_millis(100));
    }
}

/// Sends one client attempt. Returns whether the whole stream came, and whether the client may send it again at once.
fn ask(id: &str, parts: &str, to: SocketAddr, record: &Record) -> (bool, bool) {
    let body = [b'q'; 300];
    let head = format!(
        "POST /ask/1 HTTP/1.1\r\nHost: advisor.example\r\nContent-Length: {}\r\nLacewingstile-Attempt-Id: {id}\r\nLacewingstile-Model: m\r\nLacewingstile-Token-Count: 220,48\r\nLacewingstile-Prompt-Prefix: {parts}\r\nLacewingstile-Time-Remaining: 5000\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let at = record.now();
    let answer = send_request(to, &head, &body, Duration::from_secs(5));
    let status = answer.as_ref().map_or(0, |answer| answer.status);
    let pieces = answer.as_ref().map_or(0, |answer| String::from_utf8_lossy(&answer.body).matches("data: piece").count());
    let served = answer.as_ref().is_some_and(|answer| answer.status == 200 && answer.sealed && answer.whole && pieces == 8);
    record.line(&format!("client: {id} ({parts}) sent at {at:.3} to {to}, answer {status}, {pieces} pieces"));
    // A refusal says when to come back; this client then does not.
    (served, status != 503 && status != 429)
}

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-ask\",\"host\":\"advisor.example\",\"prefix\":\"/ask/\",\"kind\":\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":1000,\"priority\":0,\"service\":\"advisor\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":1200,\"home_regions\":[]}],\
\"services\":[{\"name\":\"advisor\",\"health_path\":\"/health\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{\"slots\":64,\"kv_token_cap\":292591,\"kv_token_bytes\":18432,\"link_mbps\":88000.0,\"moves\":false,\"backups\":false,\"stride\":6,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],\
\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}".to_owned()
}
