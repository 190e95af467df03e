//! Stand-ins for the cases of the second review: a store, workers, an operator and clients, and the start of the hosts as
//! the deploy file says. Only the standard library is used; `build-2.sh` builds it.
//!
//! `stand2 CASE FOLDER` plays a case, writes FOLDER/record.txt, and exits with 1 if the rule was broken, with 0 if it held,
//! and with 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[path = "cases2.rs"]
mod cases2;

/// The process that plays the case.
fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: stand2 CASE FOLDER");
        std::process::exit(2);
    };
    let world = World::new(PathBuf::from(folder));
    let outcome = cases2::play(case, &world);
    world.end();
    let code = match outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(reason) => {
            world.note(&format!("the case could not run: {reason}"));
            2
        }
    };
    world.write_record();
    std::process::exit(code);
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Everything that a case has started, and its record.
pub struct World {
    started: Instant,
    folder: PathBuf,
    temporary: PathBuf,
    record: Mutex<String>,
    children: Mutex<Vec<Child>>,
    pub has_trouble: bool,
    numbers: AtomicU64,
    seed: u64,
    /// The requests and runs of the case, for the end of the record.
    kept: Mutex<Option<(Requests, Runs)>>,
}

impl World {
    fn new(folder: PathBuf) -> Arc<Self> {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let seed =
            since.map_or(1, |since| since.as_nanos() as u64) ^ u64::from(std::process::id()) << 40;
        let temporary =
            std::env::temp_dir().join(format!("lacewingstile-review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).expect("the temporary folder can be made");
        Arc::new(Self {
            started: Instant::now(),
            folder,
            temporary,
            record: Mutex::default(),
            children: Mutex::default(),
            has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
            numbers: AtomicU64::new(1),
            seed,
            kept: Mutex::default(),
        })
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds a line to the record.
    pub fn note(&self, text: &str) {
        let line = format!("{:>9.3} s  {text}\n", self.now_ms() as f64 / 1_000.0);
        print!("{line}");
        self.record.lock().unwrap().push_str(&line);
    }

    /// Keeps the requests and runs of the case for the end of the record.
    pub fn keep(&self, requests: &Requests, runs: &Runs) {
        *self.kept.lock().unwrap() = Some((requests.clone(), runs.clone()));
    }

    /// Adds what was sent, answered and run to the record.
    fn list(&self) {
        let kept = self.kept.lock().unwrap();
        let Some((requests, runs)) = &*kept else {
            return;
        };
        let mut requests = requests.lock().unwrap().clone();
        requests.sort_by_key(|sent| sent.at_ms);
        let runs = runs.lock().unwrap();
        let mut run_at: HashMap<&str, String> = HashMap::new();
        for run in runs.iter() {
            let text = run_at.entry(run.id.as_str()).or_default();
            let _ = write!(
                text,
                ", run by {} ({}) at {} ms",
                run.worker, run.service, run.at_ms
            );
        }
        let mut record = self.record.lock().unwrap();
        record.push_str("\nwhat was sent, answered and run:\n");
        for sent in &requests {
            let run = run_at
                .get(sent.id.as_str())
                .map_or(", not run", String::as_str);
            let _ = writeln!(
                record,
                "{} {} to {} at {} ms, {} after {} ms{run}",
                sent.id,
                sent.path,
                sent.host,
                sent.at_ms,
                sent.status,
                sent.answered_ms - sent.at_ms
            );
        }
    }

    /// A random number below `bound`.
    pub fn draw(&self, bound: u64) -> u64 {
        let mut value = self.seed
            ^ self
                .numbers
                .fetch_add(1, Ordering::Relaxed)
                .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (value ^ (value >> 31)) % bound.max(1)
    }

    /// A new id of a client attempt.
    pub fn attempt_id(&self) -> String {
        format!("{:016x}", self.draw(u64::MAX))
    }

    /// Ends all processes that the case has started.
    fn end(&self) {
        for child in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.temporary);
    }

    fn write_record(&self) {
        self.list();
        let _ = std::fs::write(
            self.folder.join("record.txt"),
            &*self.record.lock().unwrap(),
        );
    }
}

/// Stops and continues a process.
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Sends a signal to a process that the case has started.
pub fn signal(pid: u32, signal: i32) {
    unsafe {
        kill(pid as i32, signal);
    }
}

// ---------------------------------------------------------------------------------------------------------------- HTTP

/// A message as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body came to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| percent_decode(value))
            .next()
    }

    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        if bytes[index] == b'%' && index + 2 < bytes.len() {
            if let Ok(value) = u8::from_str_radix(&text[index + 1..index + 3], 16) {
                decoded.push(value);
                index += 3;
                continue;
            }
        }
        decoded.push(bytes[index]);
        index += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A connection with the bytes that were read and not yet used.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> bool {
        let mut block = [0; 16 * 1024];
        match self.stream.read(&mut block) {
            Ok(0) | Err(_) => false,
            Ok(length) => {
                self.buffer.extend_from_slice(&block[..length]);
                true
            }
        }
    }

    /// Reads a message; `is_answer` says whether a body without a length ends with the connection.
    pub fn read(&mut self, is_answer: bool) -> Option<Message> {
        let end = loop {
            if let Some(end) = self
                .buffer
                .windows(4)
                .position(|window| window == b"\r\n\r\n")
            {
                break end;
            }
            if !self.fill() {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        let length: Option<usize> = message
            .header("content-length")
            .and_then(|value| value.parse().ok());
        if is_chunked {
            loop {
                let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") else {
                    if !self.fill() {
                        return Some(message);
                    }
                    continue;
                };
                let size = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                let size =
                    usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16)
                        .ok()?;
                while self.buffer.len() < end + 2 + size + 2 {
                    if !self.fill() {
                        return Some(message);
                    }
                }
                message
                    .body
                    .extend_from_slice(&self.buffer[end + 2..end + 2 + size]);
                self.buffer.drain(..end + 2 + size + 2);
                if size == 0 {
                    message.is_whole = true;
                    return Some(message);
                }
            }
        }
        match length {
            Some(length) => {
                while self.buffer.len() < length {
                    if !self.fill() {
                        return Some(message);
                    }
                }
                message.body = self.buffer.drain(..length).collect();
            }
            None if is_answer => {
                while self.fill() {}
                message.body = std::mem::take(&mut self.buffer);
            }
            None => {}
        }
        message.is_whole = true;
        Some(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

pub fn answer(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// --------------------------------------------------------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change: key, revision and the item, or `None` if the key was removed.
    events: Vec<(String, u64, Option<Item>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl StoreState {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events
            .push((key.to_owned(), self.revision, Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((key.to_owned(), self.revision, None));
        }
    }
}

/// How the store treats the machine that uses a door.
pub const SERVE: u8 = 0;
/// It answers each call with 503.
pub const TURN_AWAY: u8 = 1;
/// It answers nothing.
pub const SILENT: u8 = 2;

/// The address of the store for one machine, so that the store can tell machines apart.
pub struct Door {
    pub address: SocketAddr,
    pub mode: AtomicU8,
    /// When the machine last began a watch that waits, in milliseconds since the start of the case; 0 if never.
    pub watched_at: AtomicU64,
}

/// The platform's store.
pub struct Store {
    world: Arc<World>,
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    pub fn new(world: &Arc<World>) -> Arc<Self> {
        let store = Arc::new(Self {
            world: world.clone(),
            state: Mutex::new(StoreState {
                revision: 1,
                next_lease: 70_000,
                ..StoreState::default()
            }),
            changed: Condvar::new(),
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire_leases();
            }
        });
        store
    }

    fn expire_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until < now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end_lease(&mut state, lease);
        }
    }

    fn end_lease(&self, state: &mut StoreState, lease: u64) {
        state.leases.remove(&lease);
        let keys: Vec<String> = state
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        state.revision += 1;
        for key in keys {
            state.remove(&key);
        }
        self.changed.notify_all();
    }

    /// Writes a key as the operator or a worker does. The return of this call is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.write(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    /// Removes a key as the operator or a worker does.
    #[allow(dead_code)]
    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    /// Opens a door for one machine.
    pub fn door(self: &Arc<Self>) -> Arc<Door> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let door = Arc::new(Door {
            address: listener.local_addr().expect("the listener has an address"),
            mode: AtomicU8::new(SERVE),
            watched_at: AtomicU64::new(0),
        });
        let (store, opened) = (self.clone(), door.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, door) = (store.clone(), opened.clone());
                thread::spawn(move || store.serve(&door, Wire::new(stream)));
            }
        });
        door
    }

    fn serve(&self, door: &Door, mut wire: Wire) {
        while let Some(call) = wire.read(false) {
            let reply = match door.mode.load(Ordering::SeqCst) {
                SERVE => self.answer(door, &call),
                TURN_AWAY => Some(answer(503, &[], b"{}")),
                _ => None,
            };
            thread::sleep(Duration::from_millis(4));
            let is_silent = door.mode.load(Ordering::SeqCst) == SILENT;
            match reply {
                Some(reply) if !is_silent => {
                    if !wire.write(&reply) {
                        return;
                    }
                }
                // A connection on which an answer was lost returns nothing further.
                _ if is_silent => {
                    let mut rest = [0; 1024];
                    while wire.stream.read(&mut rest).is_ok_and(|length| length > 0) {}
                    return;
                }
                _ => return,
            }
        }
    }

    /// Answers a call; `None` if a waiting watch is cut.
    fn answer(&self, door: &Door, call: &Message) -> Option<Vec<u8>> {
        let ok = |text: String| {
            Some(answer(
                200,
                &[("Content-Type", "application/json".to_owned())],
                text.as_bytes(),
            ))
        };
        let path = call.path().to_owned();
        match (call.method(), path.as_str()) {
            ("GET", "/kv-range") => {
                let (prefix, after) = (
                    call.query("prefix").unwrap_or_default(),
                    call.query("after").unwrap_or_default(),
                );
                let state = self.state.lock().unwrap();
                let items = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
                ok(format!(
                    r#"{{"items":[{}],"has_more":false,"current_rev":{}}}"#,
                    items.join(","),
                    state.revision
                ))
            }
            ("GET", "/kv-key") => {
                let key = call.query("key").unwrap_or_default();
                let state = self.state.lock().unwrap();
                match state.items.get(&key) {
                    Some(item) => ok(item_json(&key, item)),
                    None => Some(answer(404, &[], b"{}")),
                }
            }
            ("GET", "/kv-watch") => self.watch(door, call),
            ("POST", "/kv-lease") => {
                let ttl_ms = number_in(&call.body, "ttl_ms")
                    .unwrap_or(1_000)
                    .clamp(1_000, 600_000);
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let (lease, ttl) = (state.next_lease, Duration::from_millis(ttl_ms));
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                ok(format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        ok(format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                    }
                    None => Some(answer(404, &[], b"{}")),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                self.end_lease(&mut state, lease);
                ok("{}".to_owned())
            }
            ("POST", "/kv-txn") => self.transact(call),
            _ => Some(answer(404, &[], b"{}")),
        }
    }

    fn watch(&self, door: &Door, call: &Message) -> Option<Vec<u8>> {
        let prefix = call.query("prefix").unwrap_or_default();
        let after: u64 = call
            .query("after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let wait_ms: u64 = call
            .query("wait_ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        if wait_ms > 0 {
            door.watched_at.store(self.world.now_ms(), Ordering::SeqCst);
        }
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if door.mode.load(Ordering::SeqCst) != SERVE {
                return None;
            }
            let events = state
                .events
                .iter()
                .filter(|(key, revision, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<String> = events
                .map(|(key, revision, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(
                        r#"{{"key":{},"revision":{revision},"deleted":true}}"#,
                        quoted(key)
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let text = format!(
                    r#"{{"events":[{}],"current_rev":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return Some(answer(
                    200,
                    &[("Content-Type", "application/json".to_owned())],
                    text.as_bytes(),
                ));
            }
            let pause = (until - now).min(Duration::from_millis(20));
            state = self.changed.wait_timeout(state, pause).unwrap().0;
        }
    }

    fn transact(&self, call: &Message) -> Option<Vec<u8>> {
        let text = String::from_utf8_lossy(&call.body).into_owned();
        let body = Json::parse(&text);
        let mut state = self.state.lock().unwrap();
        for expected in body.get("expected_rev").list() {
            let key = expected.get("key").text();
            let revision = state.items.get(&key).map_or(0, |item| item.revision);
            if revision != expected.get("revision").number() {
                return Some(answer(412, &[], br#"{"items":[]}"#));
            }
        }
        for write in body.get("writes").list() {
            let lease = write.get("lease").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return Some(answer(404, &[], b"{}"));
            }
        }
        state.revision += 1;
        for write in body.get("writes").list() {
            let value = base64_decode(&write.get("value").text());
            state.write(&write.get("key").text(), value, write.get("lease").number());
        }
        for key in body.get("remove").list() {
            state.remove(&key.text());
        }
        self.changed.notify_all();
        let text = format!(r#"{{"revision":{}}}"#, state.revision);
        Some(answer(
            200,
            &[("Content-Type", "application/json".to_owned())],
            text.as_bytes(),
        ))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":{},"value":"{}","revision":{},"created":{},"lease":{}}}"#,
        quoted(key),
        base64_encode(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

fn number_in(body: &[u8], name: &str) -> Option<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    Some(Json::parse(&text).get(name).number())
}

/// A JSON value, as far as calls of the store need it.
#[derive(Clone, Debug)]
enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Self {
        let characters: Vec<char> = text.chars().collect();
        Self::value(&characters, &mut 0)
    }

    fn value(text: &[char], at: &mut usize) -> Self {
        skip_space(text, at);
        match text.get(*at) {
            Some('{') => {
                *at += 1;
                let mut table = Vec::new();
                loop {
                    skip_space(text, at);
                    match text.get(*at) {
                        Some('"') => {
                            let name = Self::string(text, at);
                            skip_space(text, at);
                            *at += 1;
                            table.push((name, Self::value(text, at)));
                        }
                        Some(',') => *at += 1,
                        _ => {
                            *at += 1;
                            return Self::Table(table);
                        }
                    }
                }
            }
            Some('[') => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    skip_space(text, at);
                    match text.get(*at) {
                        Some(',') => *at += 1,
                        Some(']') | None => {
                            *at += 1;
                            return Self::List(list);
                        }
                        _ => list.push(Self::value(text, at)),
                    }
                }
            }
            Some('"') => Self::Text(Self::string(text, at)),
            _ => {
                let from = *at;
                while text.get(*at).is_some_and(|next| !",]} \n".contains(*next)) {
                    *at += 1;
                }
                let word: String = text[from..*at].iter().collect();
                word.parse().map_or(Self::Null, Self::Number)
            }
        }
    }

    fn string(text: &[char], at: &mut usize) -> String {
        *at += 1;
        let mut string = String::new();
        while let Some(next) = text.get(*at) {
            *at += 1;
            match next {
                '"' => break,
                '\\' => {
                    string.push(text.get(*at).copied().unwrap_or('\\'));
                    *at += 1;
                }
                next => string.push(*next),
            }
        }
        string
    }

    fn get(&self, name: &str) -> Self {
        match self {
            Self::Table(table) => table
                .iter()
                .find(|(known, _)| known == name)
                .map_or(Self::Null, |(_, value)| value.clone()),
            _ => Self::Null,
        }
    }

    fn list(&self) -> Vec<Self> {
        match self {
            Self::List(list) => list.clone(),
            _ => Vec::new(),
        }
    }

    fn text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn skip_space(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|next| next.is_whitespace()) {
        *at += 1;
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64_encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for block in bytes.chunks(3) {
        let value = u32::from(block[0]) << 16
            | u32::from(block.get(1).copied().unwrap_or(0)) << 8
            | u32::from(block.get(2).copied().unwrap_or(0));
        for index in 0..4 {
            match index <= block.len() {
                true => text.push(char::from(
                    BASE64[(value >> (18 - 6 * index) & 63) as usize],
                )),
                false => text.push('='),
            }
        }
    }
    text
}

fn base64_decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut value, mut bits) = (0_u32, 0);
    for next in text.bytes() {
        let Some(position) = BASE64.iter().position(|known| *known == next) else {
            continue;
        };
        value = value << 6 | position as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((value >> bits) as u8);
            value &= (1 << bits) - 1;
        }
    }
    bytes
}

// ------------------------------------------------------------------------------------------------------------- workers

/// A request that reached a worker and was run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub id: String,
    pub worker: String,
    pub service: String,
    pub path: String,
}

/// All runs of a case.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A worker that answers each request after `work_ms`.
pub struct Worker {
    world: Arc<World>,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    slots: u32,
    work_ms: u64,
    /// The body of an answer as a stream of so many events; 0 for a plain answer.
    events: u32,
    /// When the worker stops being cold, in milliseconds since the start of the case.
    pub cold_until_ms: AtomicU64,
    sequence: AtomicU64,
    runs: Runs,
    /// The number of health checks that were answered.
    pub checks: AtomicU64,
}

impl Worker {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        world: &Arc<World>,
        runs: &Runs,
        service: &str,
        zone: &str,
        slots: u32,
        work_ms: u64,
        events: u32,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let worker = Arc::new(Self {
            world: world.clone(),
            id: format!("i-{:08x}", world.draw(1 << 32)),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("the listener has an address"),
            slots,
            work_ms,
            events,
            cold_until_ms: AtomicU64::new(0),
            sequence: AtomicU64::new(1),
            runs: runs.clone(),
            checks: AtomicU64::new(0),
        });
        let served = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = served.clone();
                thread::spawn(move || worker.serve(Wire::new(stream)));
            }
        });
        worker
    }

    pub fn cold_left_ms(&self) -> u64 {
        self.cold_until_ms
            .load(Ordering::SeqCst)
            .saturating_sub(self.world.now_ms())
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// The worker's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold_left_ms":{},"born":1700000000000,"sequence":{sequence}}}"#,
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.cold_left_ms()
        )
    }

    fn serve(&self, mut wire: Wire) {
        while let Some(request) = wire.read(false) {
            let id = request
                .header("lacewingstile-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let pinned = request.header("lacewingstile-target-instance");
            if pinned.is_some_and(|pinned| pinned != self.id) {
                let headers = [
                    ("Lacewingstile-Instance-Id", self.id.clone()),
                    ("Lacewingstile-Attempt-Id", id),
                ];
                if !wire.write(&answer(421, &headers, b"")) {
                    return;
                }
                continue;
            }
            if request.path() == "/health" {
                self.checks.fetch_add(1, Ordering::SeqCst);
                let mut headers = vec![("Lacewingstile-Instance-Id", self.id.clone())];
                let cold_left_ms = self.cold_left_ms();
                if cold_left_ms > 0 {
                    headers.push(("Lacewingstile-Cold-Remaining", cold_left_ms.to_string()));
                }
                if !wire.write(&answer(200, &headers, b"")) {
                    return;
                }
                continue;
            }
            self.runs.lock().unwrap().push(Run {
                at_ms: self.world.now_ms(),
                id: id.clone(),
                worker: self.id.clone(),
                service: self.service.clone(),
                path: request.path().to_owned(),
            });
            thread::sleep(Duration::from_millis(self.work_ms));
            let headers = [
                ("Lacewingstile-Attempt-Id", id),
                ("Lacewingstile-Response-Seal", format!("seal.{}", self.id)),
                ("Lacewingstile-Weight-Versions", "1".to_owned()),
                ("Keep-Alive", "timeout=20".to_owned()),
            ];
            let is_written = match self.events {
                0 => wire.write(&answer(
                    200,
                    &headers,
                    format!("{{\"worker\":\"{}\"}}", self.id).as_bytes(),
                )),
                events => {
                    let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned();
                    for (name, value) in &headers {
                        let _ = write!(head, "{name}: {value}\r\n");
                    }
                    head.push_str("\r\n");
                    let mut is_written = wire.write(head.as_bytes());
                    for event in 1..=events {
                        let text = format!("id: {event}\ndata: {}\n\n", self.service);
                        is_written = is_written
                            && wire.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
                    }
                    is_written && wire.write(b"0\r\n\r\n")
                }
            };
            if !is_written {
                return;
            }
        }
    }
}

// --------------------------------------------------------------------------------------------------------------- hosts

/// A machine of the system with its process.
pub struct HostProcess {
    pub name: String,
    pub region: String,
    pub pid: u32,
    pub front: SocketAddr,
    ready: SocketAddr,
    pub door: Arc<Door>,
}

/// The ports of a machine; they are the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    directory: u16,
    first_peer: u16,
}

const METRICS_PORT: u16 = 9_464;

/// Starts one process for each (zone, region) of `machines`, as the deploy file says.
pub fn start_hosts(
    world: &Arc<World>,
    store: &Arc<Store>,
    machines: &[(&str, &str)],
) -> Result<Vec<HostProcess>, String> {
    let program = std::env::current_dir()
        .map_err(|error| error.to_string())?
        .join("target/release/lacewingstiled");
    if !program.exists() {
        return Err("target/release/lacewingstiled is not built".to_owned());
    }
    let (ips, ports) = free_addresses(world, machines.len())?;
    let mut zones = BTreeMap::new();
    for (zone, region) in machines {
        zones.insert(*zone, *region);
    }
    let mut first_of_zone: HashSet<&str> = HashSet::new();
    let seeds = machines
        .iter()
        .zip(&ips)
        .filter(|((zone, _), _)| first_of_zone.insert(*zone));
    let seeds: Vec<String> = seeds
        .take(3)
        .map(|(_, ip)| format!("{ip}:{}", ports.control))
        .collect();
    let mut hosts = Vec::new();
    for (index, ((zone, region), ip)) in machines.iter().zip(&ips).enumerate() {
        let door = store.door();
        let name = format!("edge-{zone}-{}", index + 1);
        let mut settings = format!(
            "node_name={name}\nrole=gateway\nmachine_class=edge\nserves=edge,control_plane,registry\nip={ip}\nzone={zone}\nregion={region}\n"
        );
        for (zone, region) in &zones {
            let _ = writeln!(settings, "zones.{zone}={region}");
        }
        let _ = write!(
            settings,
            "listen.front={ip}:{}\nlisten.ready={ip}:{}\nlisten.control={ip}:{}\nlisten.directory={ip}:{}\nport_range={},{}\nseeds={}\nbootstrap=true\ncounts_toward_loss=false\n",
            ports.front,
            ports.ready,
            ports.control,
            ports.directory,
            ports.first_peer,
            ports.first_peer + 15,
            seeds.join(",")
        );
        let _ = write!(
            settings,
            "limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=registry\nbeat_interval_ms=1200\ncontracts=base,drain,config,cost,retry,recover,engine,stream,places,platform\nfault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=1\n"
        );
        let _ = write!(
            settings,
            "bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.stable_window_ms=5000\nbounds.ack_ms=6000\nbounds.catch_up_s=4\nbounds.drain_ms=3000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\nbounds.revert_slack_ms=250\nbounds.stretch_max_ms=8000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_extra=54\nbounds.cold_overshoot=1.5\nbounds.cold_slack=3\nbounds.evac_ms=5000\nbounds.recovery_s=12\nbounds.pass_ms=600\nbounds.reuse_window_s=10\nbounds.ttl_max_s=5\n"
        );
        let _ = write!(
            settings,
            "platform.address={}\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.retention_s=20\nplatform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n",
            door.address
        );
        let path = world.temporary.join(format!("{name}.conf"));
        std::fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = std::fs::File::create(world.temporary.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let mut command = Command::new(&program);
        command
            .arg("--platform")
            .env_clear()
            .env("LACEWINGSTILE_SETTINGS", &path);
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(variable) {
                command.env(variable, value);
            }
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn();
        let child = child.map_err(|error| error.to_string())?;
        let pid = child.id();
        world.children.lock().unwrap().push(child);
        hosts.push(HostProcess {
            name,
            region: (*region).to_owned(),
            pid,
            front: SocketAddr::from((*ip, ports.front)),
            ready: SocketAddr::from((*ip, ports.ready)),
            door,
        });
    }
    Ok(hosts)
}

/// Waits until all hosts say that they are ready.
pub fn wait_ready(world: &Arc<World>, hosts: &[HostProcess]) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(15);
    for host in hosts {
        loop {
            let request = format!("GET /readiness HTTP/1.1\r\nHost: {}\r\n\r\n", host.ready);
            if call(host.ready, request.as_bytes(), 1_000)
                .is_some_and(|reply| reply.status() == 200)
            {
                break;
            }
            if Instant::now() > until {
                return Err(format!("{} did not become ready", host.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    world.note(&format!("{} hosts are ready", hosts.len()));
    Ok(())
}

fn free_addresses(world: &Arc<World>, count: usize) -> Result<(Vec<Ipv4Addr>, Ports), String> {
    for _ in 0..50 {
        let (second, third) = (64 + world.draw(120) as u8, 1 + world.draw(250) as u8);
        let base = 21_000 + (world.draw(900) * 20) as u16;
        let ports = Ports {
            front: base,
            ready: base + 1,
            control: base + 2,
            directory: base + 3,
            first_peer: base + 4,
        };
        let ips: Vec<Ipv4Addr> = (1..=count)
            .map(|index| Ipv4Addr::new(127, second, third, index as u8))
            .collect();
        let is_free = |ip: &Ipv4Addr| {
            let tcp = [
                ports.front,
                ports.ready,
                ports.control,
                ports.directory,
                ports.first_peer,
                METRICS_PORT,
            ];
            tcp.iter()
                .all(|port| TcpListener::bind((*ip, *port)).is_ok())
                && UdpSocket::bind((*ip, ports.first_peer)).is_ok()
        };
        if ips.iter().all(is_free) {
            return Ok((ips, ports));
        }
    }
    Err("no free addresses on loopback".to_owned())
}

// ------------------------------------------------------------------------------------------------------------- clients

/// Sends a request on a new connection and reads the answer; `None` if there is none within `timeout_ms`.
pub fn call(to: SocketAddr, request: &[u8], timeout_ms: u64) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_millis(1_000)).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(timeout_ms)))
        .ok()?;
    let mut wire = Wire::new(stream);
    if !wire.write(request) {
        return None;
    }
    let reply = wire.read(true);
    if let IpAddr::V6(_) = to.ip() {
        return None;
    }
    reply
}

/// What became of a client's request.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub host: String,
    pub at_ms: u64,
    pub path: String,
    /// The status of the answer; 0 if there was none.
    pub status: u16,
    pub answered_ms: u64,
}

/// The requests of a case.
pub type Requests = Arc<Mutex<Vec<Sent>>>;

/// Sends one request of a client to a host in a thread of its own.
pub fn send(
    world: &Arc<World>,
    requests: &Requests,
    host: &HostProcess,
    line: &str,
    extra: &str,
    remaining_ms: u64,
) {
    let (world, requests) = (world.clone(), requests.clone());
    let (name, front) = (host.name.clone(), host.front);
    let id = world.attempt_id();
    let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let request = format!(
        "{line} HTTP/1.1\r\nHost: shop.example\r\nLacewingstile-Attempt-Id: {id}\r\nLacewingstile-Time-Remaining: {remaining_ms}\r\n{extra}Content-Length: 0\r\n\r\n"
    );
    thread::spawn(move || {
        let at_ms = world.now_ms();
        let reply = call(front, request.as_bytes(), remaining_ms + 500);
        let status = reply.map_or(0, |reply| reply.status());
        let answered_ms = world.now_ms();
        requests.lock().unwrap().push(Sent {
            id,
            host: name,
            at_ms,
            path,
            status,
            answered_ms,
        });
    });
}

/// A flag that ends a loop of a case.
#[allow(dead_code)]
pub type Flag = Arc<AtomicBool>;
