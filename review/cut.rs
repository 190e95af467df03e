//! A machine is cut off from the others and from the store; 0.3 s later a worker turns cold.

use std::sync::Mutex;

use crate::*;

const ZONE: &str = "north-hall";
/// `cold_per_s` x `cold_overshoot` + `cold_slack`.
const ALLOWED: f64 = 4.5 * 1.5 + 3.0;
const COLD_S: f64 = 3.0;
const CUT_S: f64 = 5.5;
const FIRST: f64 = 14.0;
const EVERY: f64 = 14.0;
const CYCLES: usize = 4;
const END: f64 = 72.0;

/// A worker that turns cold without a restart.
struct Worker {
    id: String,
    address: SocketAddr,
    born: u64,
    cold_until: Mutex<f64>,
    arrivals: Mutex<Vec<f64>>,
    record: Record,
}

impl Worker {
    fn start(id: &str, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Self { id: id.into(), address: listener.local_addr().unwrap(), born: unix_ms(), cold_until: Mutex::default(), arrivals: Mutex::default(), record: record.clone() });
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    fn entry(&self, cold_left_ms: u64, sequence: u64) -> String {
        format!("{{\"service\":\"portal\",\"address\":\"{}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":{cold_left_ms},\"sequence\":{sequence},\"born\":{}}}", self.address, self.born)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket can be cloned");
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let now = self.record.now();
            let left_s = *self.cold_until.lock().unwrap() - now;
            let mut headers = format!("Lacewingstile-Instance-Id: {}\r\n", self.id);
            let sent = if request.path() == "/health" {
                if left_s > 0.0 {
                    headers.push_str(&format!("Lacewingstile-Cold-Remaining: {}\r\n", (left_s * 1_000.0) as u64));
                }
                respond(&mut writer, "200 OK", &headers, b"")
            } else {
                let attempt = request.header("lacewingstile-attempt-id").unwrap_or("").to_owned();
                self.arrivals.lock().unwrap().push(now);
                self.record.line(&format!("worker {}: runs {attempt}{}", self.id, if left_s > 0.0 { ", cold" } else { "" }));
                thread::sleep(Duration::from_millis(15));
                headers.push_str(&format!("Lacewingstile-Attempt-Id: {attempt}\r\nLacewingstile-Response-Seal: seal.{}.{attempt}\r\n", self.id));
                respond(&mut writer, "200 OK", &headers, b"answer")
            };
            if sent.is_err() {
                return;
            }
        }
    }
}

pub fn play() -> i32 {
    let record = Record::create();
    let store = Store::start(&record);
    record.say(&format!("trouble: {}", has_trouble()));
    store.put("op/config", &configuration());
    let workers = [Worker::start("i-d1a40c37", &record), Worker::start("i-e0917ac4", &record)];
    for worker in &workers {
        store.put(&format!("servers/{}", worker.id), &worker.entry(0, 1));
    }
    record.sleep_until(1.0);
    let is_cut = Arc::new(AtomicBool::new(false));
    let mut fleet = Fleet::new(&store, &[(ZONE, "north"); 3]);
    // The third machine reaches the others and the store through relays, which drop what comes while it is cut off.
    let store_relay = relay_tcp((Ipv4Addr::LOCALHOST, 0).into(), store.address, &is_cut);
    let other_port = fleet.separate(2, store.address, store_relay);
    let inner = fleet.ports.inner;
    let third = fleet.machines[2].ip;
    for index in 0..2 {
        let ip = fleet.machines[index].ip;
        relay_udp((ip, other_port).into(), (ip, inner).into(), &is_cut);
        relay_tcp((ip, other_port).into(), (ip, inner).into(), &is_cut);
    }
    relay_udp((third, inner).into(), (third, other_port).into(), &is_cut);
    relay_tcp((third, inner).into(), (third, other_port).into(), &is_cut);
    for index in 0..3 {
        fleet.start(index);
    }
    if !fleet.wait_ready(Duration::from_secs(10)) {
        record.say("the machines do not get ready");
        return 2;
    }
    let served = Arc::new(AtomicU64::new(0));
    let sender = {
        let (record, served) = (record.clone(), served.clone());
        let fronts: Vec<SocketAddr> = (0..3).map(|index| fleet.front(index)).collect();
        thread::spawn(move || {
            for number in 0u32.. {
                let at = 5.0 + f64::from(number) / 66.0;
                if at > END - 4.0 {
                    return;
                }
                record.sleep_until(at);
                let (record, served, to) = (record.clone(), served.clone(), fronts[number as usize % 3]);
                thread::spawn(move || {
                    let id = format!("{number:012x}");
                    let head = format!("GET /look/{number} HTTP/1.1\r\nHost: orders.example\r\nLacewingstile-Attempt-Id: {id}\r\nLacewingstile-Time-Remaining: 4000\r\nConnection: close\r\n\r\n");
                    let answer = send_request(to, &head, b"", Duration::from_secs(4));
                    let status = answer.map_or(0, |answer| answer.status);
                    record.line(&format!("client: {id} to {to}, answer {status}"));
                    served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                });
            }
        })
    };
    let mut spans = Vec::new();
    for cycle in 0..CYCLES {
        let at = FIRST + EVERY * cycle as f64;
        record.sleep_until(at);
        if has_trouble() {
            is_cut.store(true, Ordering::SeqCst);
            record.say("the third machine is cut off from the other machines and from the store");
        }
        record.sleep_until(at + 0.3);
        let worker = &workers[cycle % 2];
        let now = record.now();
        *worker.cold_until.lock().unwrap() = now + COLD_S;
        store.put(&format!("servers/{}", worker.id), &worker.entry(3_000, 2 + cycle as u64));
        record.say(&format!("worker {} turns cold for {COLD_S} s", worker.id));
        spans.push((cycle % 2, now));
        record.sleep_until(at + CUT_S);
        is_cut.store(false, Ordering::SeqCst);
        // Its entry no longer says that it is cold.
        store.put(&format!("servers/{}", worker.id), &worker.entry(0, 20 + cycle as u64));
    }
    let _ = sender.join();
    record.sleep_until(END);
    let mut worst = 0;
    for (index, from) in spans {
        let arrivals = workers[index].arrivals.lock().unwrap();
        let in_second = |at: f64| arrivals.iter().filter(|other| **other >= at && **other < at + 1.0 && **other < from + COLD_S).count();
        let most = arrivals.iter().filter(|at| **at >= from && **at < from + COLD_S).map(|at| in_second(*at)).max().unwrap_or(0);
        record.say(&format!("cold from {from:.3}: at most {most} requests in one second ({ALLOWED} are allowed)"));
        worst = worst.max(most);
    }
    record.say(&format!("{} requests served", served.load(Ordering::SeqCst)));
    let broken = worst as f64 > ALLOWED;
    record.say(if broken { "FAILBACK is broken" } else { "FAILBACK holds" });
    i32::from(broken)
}

/// Passes datagrams on from the address of their sender.
fn relay_udp(at: SocketAddr, to: SocketAddr, is_cut: &Arc<AtomicBool>) {
    let socket = UdpSocket::bind(at).expect("a free port");
    let is_cut = is_cut.clone();
    thread::spawn(move || {
        let mut senders: HashMap<std::net::IpAddr, UdpSocket> = HashMap::new();
        let mut bytes = [0; 2_048];
        while let Ok((length, from)) = socket.recv_from(&mut bytes) {
            if is_cut.load(Ordering::SeqCst) {
                continue;
            }
            let sender = senders.entry(from.ip()).or_insert_with(|| UdpSocket::bind((from.ip(), 0)).expect("a free port"));
            let _ = sender.send_to(&bytes[..length], to);
        }
    });
}

/// Passes connections on; while cut off, nothing passes, and nothing is closed.
fn relay_tcp(at: SocketAddr, to: SocketAddr, is_cut: &Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind(at).expect("a free port");
    let address = listener.local_addr().unwrap();
    let is_cut = is_cut.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(other) = TcpStream::connect(to) else {
                continue;
            };
            for (from, into) in [(stream.try_clone(), other.try_clone()), (Ok(other), Ok(stream))] {
                let (Ok(mut from), Ok(mut into)) = (from, into) else {
                    continue;
                };
                let is_cut = is_cut.clone();
                let _ = into.set_nodelay(true);
                thread::spawn(move || {
                    use std::io::Read;
                    let mut bytes = [0; 16 * 1024];
                    loop {
                        let count = from.read(&mut bytes).unwrap_or(0);
                        while is_cut.load(Ordering::SeqCst) {
                            thread::sleep(Duration::from_millis(5));
                        }
                        if count == 0 || into.write_all(&bytes[..count]).is_err() {
                            let _ = into.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                    }
                });
            }
        }
    });
    address
}

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-look\",\"host\":\"orders.example\",\"prefix\":\"/look/\",\"kind\":\"idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":400,\"priority\":2,\"service\":\"portal\",\"max_attempts\":2,\"sticky\":false,\"resumable\":false,\"home_regions\":[]}],\
\"services\":[{\"name\":\"portal\",\"health_path\":\"/health\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":4.5}],\
\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}".to_owned()
}
