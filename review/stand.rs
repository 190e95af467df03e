//! Stand-ins for the scripts of this review: the platform's store, workers, clients, and the platform that starts the
//! gateway's processes. Standard library only; `build.sh` compiles it with rustc.
//!
//! `stand CASE` plays the case and exits with 0 (the rule held), 1 (it was broken) or 2 (the case could not run).
//! Environment: GATEWAY (the program), CASE_DIR (where record.txt goes), TROUBLE (0: without the disruption).

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cut;
mod endless;
mod memory;
mod pages;
mod poison;
mod storm;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let code = match args.get(1).map(String::as_str) {
        Some("worker") => model_worker(&args[2..]),
        Some("cut") => cut::play(),
        Some("endless") => endless::play(),
        Some("memory") => memory::play(),
        Some("pages") => pages::play(),
        Some("storm") => storm::play(),
        Some("poison") => poison::play(),
        _ => {
            eprintln!("usage: stand CASE");
            2
        }
    };
    std::process::exit(code);
}

// ---------------------------------------------------------------- record

/// Writes record.txt; times are seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create() -> Self {
        let dir = PathBuf::from(std::env::var("CASE_DIR").unwrap_or_else(|_| ".".into()));
        let file = File::create(dir.join("record.txt")).expect("record.txt can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:8.3} {text}");
    }

    /// The same, also on standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.now());
        self.line(text);
    }

    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    /// The request or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body has ended as its framing says.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one request or response. Returns `None` if the connection ends before its head is complete.
pub fn read_message<R: BufRead>(reader: &mut R) -> Option<Message> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            if lines.is_empty() {
                continue;
            }
            break;
        }
        lines.push(line);
    }
    let first = lines.remove(0);
    let headers: Vec<(String, String)> = lines
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        first,
        headers,
        body: Vec::new(),
        whole: true,
    };
    let is_response = message.first.starts_with("HTTP/");
    if message.header("transfer-encoding").is_some() {
        message.whole = read_chunks(reader, &mut message.body).is_some();
    } else if let Some(length) = message.header("content-length") {
        let mut body = vec![0; length.parse().ok()?];
        let mut filled = 0;
        while filled < body.len() {
            match reader.read(&mut body[filled..]) {
                Ok(0) | Err(_) => break,
                Ok(count) => filled += count,
            }
        }
        message.whole = filled == body.len();
        body.truncate(filled);
        message.body = body;
    } else if is_response {
        message.whole = reader.read_to_end(&mut message.body).is_ok();
    }
    Some(message)
}

fn read_chunks<R: BufRead>(reader: &mut R, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        chunk.truncate(size);
        body.extend(chunk);
        if size == 0 {
            return Some(());
        }
    }
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> std::io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// The answer that a client got.
pub struct Answer {
    pub status: u16,
    pub sealed: bool,
    pub whole: bool,
    pub retry_after_s: Option<f64>,
    pub body: Vec<u8>,
}

/// Sends one request on a new connection. Returns `None` if no whole head arrives.
pub fn send_request(to: SocketAddr, head: &str, body: &[u8], within: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let message = read_message(&mut BufReader::new(stream))?;
    Some(Answer {
        status: message.status(),
        sealed: message.header("lacewingstile-response-seal").is_some(),
        whole: message.whole,
        retry_after_s: message.header("retry-after").and_then(|text| text.parse().ok()),
        body: message.body,
    })
}

// ---------------------------------------------------------------- JSON and base64, as far as the store needs them

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        parse_json(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(entries) => entries.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn parse_json(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let skip = |at: &mut usize| {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    };
    skip(at);
    match bytes.get(*at)? {
        b'{' | b'[' => {
            let is_table = bytes[*at] == b'{';
            let end = if is_table { b'}' } else { b']' };
            *at += 1;
            let (mut table, mut list) = (Vec::new(), Vec::new());
            loop {
                skip(at);
                match *bytes.get(*at)? {
                    byte if byte == end => {
                        *at += 1;
                        break;
                    }
                    b',' => *at += 1,
                    _ if is_table => {
                        let key = parse_json(bytes, at)?.text().to_owned();
                        skip(at);
                        *at += 1;
                        table.push((key, parse_json(bytes, at)?));
                    }
                    _ => list.push(parse_json(bytes, at)?),
                }
            }
            Some(if is_table { Json::Table(table) } else { Json::List(list) })
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => break,
                    b'\\' => {
                        *at += 1;
                        // The gateway's keys and values need no other escapes.
                        text.push(*bytes.get(*at)?);
                    }
                    byte => text.push(byte),
                }
                *at += 1;
            }
            *at += 1;
            Some(Json::Text(String::from_utf8(text).ok()?))
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let from = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[from..*at]).ok()?;
            Some(Json::Number(text.parse().ok()?))
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| (word << 8) | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(char::from(DIGITS[(word >> (18 - 6 * index)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}

fn from_base64(text: &str) -> Vec<u8> {
    let (mut word, mut bits, mut bytes) = (0u32, 0, Vec::new());
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = DIGITS.iter().position(|known| *known == byte).unwrap_or(0) as u32;
        word = (word << 6) | digit;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}

// ---------------------------------------------------------------- the platform's store

const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// `retention_s` of the settings.
const RETENTION: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    at: Instant,
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl Data {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.log(key, Some(item), revision);
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.log(key, None, revision);
        }
    }

    fn log(&mut self, key: &str, item: Option<Item>, revision: u64) {
        let at = Instant::now();
        self.events.push(Event { at, revision, key: key.to_owned(), item });
    }

    /// The items and the revision as they were at a time.
    fn as_of(&self, at: Instant) -> (BTreeMap<String, Item>, u64) {
        let (mut items, mut revision) = (BTreeMap::new(), 1);
        for event in self.events.iter().take_while(|event| event.at <= at) {
            revision = event.revision;
            match &event.item {
                Some(item) => items.insert(event.key.clone(), item.clone()),
                None => items.remove(&event.key),
            };
        }
        (items, revision)
    }
}

/// The platform's store. It has two replicas: one is current, the other is `lag` behind. Reads that may be old go to
/// each of them in turn, or all to the older one; all other calls go to the current one.
pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
    lag: Mutex<Duration>,
    /// All reads that may be old go to the older replica.
    pub only_old: AtomicBool,
    pub address: SocketAddr,
    pub record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            data: Mutex::new(Data { revision: 100, next_lease: 7_000, ..Data::default() }),
            changed: Condvar::new(),
            lag: Mutex::new(Duration::ZERO),
            only_old: AtomicBool::new(false),
            address: listener.local_addr().unwrap(),
            record: record.clone(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(100));
            expiring.expire();
        });
        store
    }

    pub fn set_lag(&self, lag: Duration) {
        *self.lag.lock().unwrap() = lag;
    }

    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        let revision = data.revision;
        data.write(key, value.as_bytes().to_vec(), 0, revision);
        self.changed.notify_all();
        revision
    }

    pub fn delete(&self, key: &str) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        let revision = data.revision;
        data.remove(key, revision);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let mut data = self.data.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, (ttl, since))| now.duration_since(*since) > *ttl)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            Self::end_lease(&mut data, lease);
            self.changed.notify_all();
        }
    }

    fn end_lease(data: &mut Data, lease: u64) {
        data.leases.remove(&lease);
        let keys: Vec<String> = data
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        data.revision += 1;
        let revision = data.revision;
        for key in keys {
            data.remove(&key, revision);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket can be cloned");
        let mut reader = BufReader::new(stream);
        let mut old_reads = 0;
        while let Some(request) = read_message(&mut reader) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request, &mut old_reads);
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if respond(&mut writer, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, old_reads: &mut u32) -> (&'static str, String) {
        let method = request.first.split(' ').next().unwrap_or("");
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let param = |name: &str| -> String {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map_or(String::new(), |(_, value)| unescape(value))
        };
        match (method, path) {
            ("GET", "/kv-range") => ("200 OK", self.range(&param("prefix"), &param("after"), param("serializable") == "1", old_reads)),
            ("GET", "/kv-watch") => {
                let wait = Duration::from_millis(param("wait_ms").parse().unwrap_or(0));
                match self.watch(&param("prefix"), param("after").parse().unwrap_or(0), wait) {
                    Some(reply) => ("200 OK", reply),
                    None => ("410 Gone", "{}".into()),
                }
            }
            ("POST", "/kv-txn") => self.transaction(&request.body),
            ("POST", "/kv-lease") => {
                let ttl_ms = Json::parse(&request.body).and_then(|body| Some(body.get("ttl_ms")?.number())).unwrap_or(1_000);
                let mut data = self.data.lock().unwrap();
                data.next_lease += 1;
                let lease = data.next_lease;
                data.leases.insert(lease, (Duration::from_millis(ttl_ms), Instant::now()));
                ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease: u64 = path["/kv-keep/".len()..].parse().unwrap_or(0);
                let mut data = self.data.lock().unwrap();
                match data.leases.get_mut(&lease) {
                    Some((ttl, since)) => {
                        *since = Instant::now();
                        ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease: u64 = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let mut data = self.data.lock().unwrap();
                Self::end_lease(&mut data, lease);
                self.changed.notify_all();
                ("200 OK", "{}".into())
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: &str, may_be_old: bool, old_reads: &mut u32) -> String {
        let data = self.data.lock().unwrap();
        let mut lag = Duration::ZERO;
        if may_be_old {
            *old_reads += 1;
            if *old_reads % 2 == 0 || self.only_old.load(Ordering::SeqCst) {
                lag = *self.lag.lock().unwrap();
            }
        }
        let (items, revision) = match lag.is_zero() {
            true => (data.items.clone(), data.revision),
            false => data.as_of(Instant::now() - lag),
        };
        let (mut page, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, item) in items.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) || (!after.is_empty() && key.as_str() <= after) {
                continue;
            }
            let text = item_json(key, item);
            if page.len() >= PAGE_ITEMS || (bytes + text.len() > PAGE_BYTES && !page.is_empty()) {
                has_more = true;
                break;
            }
            bytes += text.len();
            page.push(text);
        }
        self.record.line(&format!(
            "store: a listing page after {after:?}, old reads allowed {may_be_old}, {} ms behind: {} items, revision {revision}, more {has_more}",
            lag.as_millis(),
            page.len()
        ));
        format!("{{\"items\":[{}],\"has_more\":{has_more},\"current_rev\":{revision}}}", page.join(","))
    }

    /// Returns `None` if the history after the revision is no longer there.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<String> {
        let until = Instant::now() + wait;
        let mut data = self.data.lock().unwrap();
        if data.events.iter().any(|event| event.revision > after && event.at.elapsed() > RETENTION) {
            self.record.line(&format!("store: a watch after revision {after} gets 410"));
            return None;
        }
        loop {
            let events: Vec<String> = data
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .map(|event| match &event.item {
                    Some(item) => item_json(&event.key, item),
                    None => format!("{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}", event.key, event.revision),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let reply = format!("{{\"events\":[{}],\"current_rev\":{}}}", events.join(","), data.revision);
                if reply.len() > 1_000_000 {
                    self.record.line(&format!("store: a watch after revision {after} gets {} events, {} bytes", events.len(), reply.len()));
                }
                return Some(reply);
            }
            data = self.changed.wait_timeout(data, left).unwrap().0;
        }
    }

    fn transaction(&self, body: &[u8]) -> (&'static str, String) {
        let Some(body) = Json::parse(body) else {
            return ("400 Bad Request", "{}".into());
        };
        let rows = |name: &str| body.get(name).map_or(Vec::new(), |rows| rows.list().to_vec());
        let mut data = self.data.lock().unwrap();
        for row in rows("expected_rev") {
            let key = row.get("key").map_or("", Json::text);
            let expected = row.get("revision").map_or(0, Json::number);
            if data.items.get(key).map_or(0, |item| item.revision) != expected {
                return ("412 Precondition Failed", "{\"items\":[]}".into());
            }
        }
        let writes = rows("writes");
        for row in &writes {
            let lease = row.get("lease").map_or(0, Json::number);
            if lease > 0 && !data.leases.contains_key(&lease) {
                return ("404 Not Found", "{}".into());
            }
        }
        data.revision += 1;
        let revision = data.revision;
        for row in &writes {
            let key = row.get("key").map_or("", Json::text).to_owned();
            let value = from_base64(row.get("value").map_or("", Json::text));
            data.write(&key, value, row.get("lease").map_or(0, Json::number), revision);
        }
        for key in rows("remove") {
            data.remove(key.text(), revision);
        }
        self.changed.notify_all();
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match escaped.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8(out).unwrap_or_default()
}

// ---------------------------------------------------------------- the gateway's processes

/// One machine with a gateway process, started as the deploy file says.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub directory: u16,
    pub inner: u16,
}

/// A deployment of gateway machines on loopback addresses of its own.
pub struct Fleet {
    pub machines: Vec<Machine>,
    pub ports: Ports,
    folder: PathBuf,
}

extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Ends a process that is about to start when this program is ended.
pub fn end_with_this_program(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
}

impl Fleet {
    /// Writes the settings of machines; `zones` gives the zone and region of each.
    pub fn new(store: &Store, zones: &[(&str, &str)]) -> Self {
        let folder = std::env::temp_dir().join(format!("stand-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let pid = std::process::id();
        let ip = |index: usize| Ipv4Addr::new(127, 20 + (pid % 200) as u8, (pid / 200 % 250) as u8 + 1, index as u8 + 1);
        let mut taken = Vec::new();
        let mut free = || loop {
            let probe = TcpListener::bind((ip(0), 0)).expect("a free port");
            let port = probe.local_addr().unwrap().port();
            let is_free = (0..zones.len()).all(|index| {
                TcpListener::bind((ip(index), port)).is_ok() || index == 0
            }) && UdpSocket::bind((ip(0), port)).is_ok();
            if is_free && !taken.contains(&port) {
                taken.push(port);
                return port;
            }
        };
        let ports = Ports { front: free(), ready: free(), control: free(), directory: free(), inner: free() };
        let seeds: Vec<String> = (0..zones.len().min(3)).map(|index| format!("{}:{}", ip(index), ports.control)).collect();
        let mut machines = Vec::new();
        for (index, (zone, region)) in zones.iter().enumerate() {
            let name = format!("edge-{zone}-{}", index + 1);
            let zone_lines: String = zones.iter().map(|(zone, region)| format!("zones.{zone}={region}\n")).collect();
            let text = format!(
                "node_name={name}\nrole=gateway\nmachine_class=edge\nserves=edge,control_plane,registry\nip={ip}\nzone={zone}\nregion={region}\n{zone_lines}\
listen.front={ip}:{}\nlisten.ready={ip}:{}\nlisten.control={ip}:{}\nlisten.directory={ip}:{}\nport_range={},{}\nseeds={}\n\
bootstrap=true\ncounts_toward_loss=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
discovery=platform\nentry=registry\nbeat_interval_ms=1200\ncontracts=base,drain,config,cost,retry,recover,engine,stream,places,platform\n\
fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=1\n\
bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.stable_window_ms=5000\nbounds.ack_ms=6000\nbounds.catch_up_s=4\nbounds.drain_ms=3000\nbounds.grace_s=8\n\
bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\nbounds.revert_slack_ms=250\nbounds.stretch_max_ms=8000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
bounds.retry_extra=54\nbounds.cold_overshoot=1.5\nbounds.cold_slack=3\nbounds.evac_ms=5000\nbounds.recovery_s=12\nbounds.pass_ms=600\nbounds.reuse_window_s=10\nbounds.ttl_max_s=5\n\
platform.address={}\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.retention_s=20\nplatform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n",
                ports.front,
                ports.ready,
                ports.control,
                ports.directory,
                ports.inner,
                ports.inner.saturating_add(15),
                seeds.join(","),
                store.address,
                ip = ip(index),
            );
            let settings = folder.join(format!("{name}.conf"));
            std::fs::write(&settings, text).expect("a settings file");
            let log = folder.join(format!("{name}.log"));
            machines.push(Machine { name, ip: ip(index), settings, log, child: None });
        }
        Self { machines, ports, folder }
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, index: usize) {
        let program = std::env::var("GATEWAY").unwrap_or_else(|_| "target/release/lacewingstiled".into());
        let machine = &mut self.machines[index];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&machine.log).expect("a log file");
        let mut command = Command::new(program);
        end_with_this_program(&mut command);
        let child = command
            .arg("--platform")
            .env("LACEWINGSTILE_SETTINGS", &machine.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        machine.child = child.ok();
    }

    /// Ends the process of a machine with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.machines[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        (self.machines[index].ip, self.ports.front).into()
    }

    /// Waits until every machine answers its readiness call with 200.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        self.machines.iter().all(|machine| loop {
            let to: SocketAddr = (machine.ip, self.ports.ready).into();
            let answer = send_request(to, "GET /readiness HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n", b"", Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status == 200) {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        })
    }
}

impl Fleet {
    /// Gives a machine another store address and an inner port of its own, so that relays can stand between it and the
    /// others. Returns the port.
    pub fn separate(&mut self, index: usize, store: SocketAddr, relay: SocketAddr) -> u16 {
        let machine = &self.machines[index];
        let port = loop {
            let probe = TcpListener::bind((machine.ip, 0)).expect("a free port");
            let port = probe.local_addr().unwrap().port();
            if port != self.ports.inner {
                break port;
            }
        };
        let text = std::fs::read_to_string(&machine.settings).expect("a settings file");
        let text = text.replace(&format!("platform.address={store}"), &format!("platform.address={relay}"));
        let text = text.replace(&format!("port_range={},", self.ports.inner), &format!("port_range={port},"));
        std::fs::write(&machine.settings, text).expect("a settings file");
        port
    }

    /// Returns the resident memory of a machine's process, in kB; `None` if it does not run.
    pub fn resident_kb(&self, index: usize) -> Option<u64> {
        let id = self.machines[index].child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches("kB").trim().parse().ok()
    }

    /// Returns the lines of a machine's log that contain a text.
    pub fn log_lines(&self, index: usize, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.machines[index].log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.machines.len() {
            self.kill(index);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

// ---------------------------------------------------------------- workers of a plain service, in this process

/// A worker of a plain service.
pub struct PlainWorker {
    pub id: String,
    pub address: SocketAddr,
    born: u64,
    leaving: AtomicBool,
    ended: AtomicBool,
    /// The worker is in trouble: in place of a body it sends bytes that are no answer, until the caller closes.
    endless: AtomicBool,
    pub runs: AtomicU64,
    record: Record,
}

impl PlainWorker {
    pub fn start(id: &str, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            born: unix_ms(),
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            endless: AtomicBool::new(false),
            runs: AtomicU64::new(0),
            record: record.clone(),
        });
        let serving = worker.clone();
        thread::Builder::new()
            .stack_size(128 * 1024)
            .spawn(move || {
                for stream in listener.incoming().flatten() {
                    if serving.ended.load(Ordering::SeqCst) {
                        return;
                    }
                    let worker = serving.clone();
                    thread::spawn(move || worker.serve(stream));
                }
            })
            .expect("a thread");
        worker
    }

    /// The worker's entry in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":1,\"born\":{}}}",
            self.address, self.born
        )
    }

    pub fn set_endless(&self, endless: bool) {
        self.endless.store(endless, Ordering::SeqCst);
    }

    /// From now on the worker says in all its answers that it leaves.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the worker: its port and its connections close.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then closes the port.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
        let mut writer = stream.try_clone().expect("a socket can be cloned");
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let is_leaving = self.leaving.load(Ordering::SeqCst);
            let mut headers = format!("Lacewingstile-Instance-Id: {}\r\n", self.id);
            if is_leaving {
                headers.push_str("Server-Leaving: 1\r\nConnection: close\r\n");
            }
            let attempt = request.header("lacewingstile-attempt-id").unwrap_or("").to_owned();
            if !attempt.is_empty() {
                headers.push_str(&format!("Lacewingstile-Attempt-Id: {attempt}\r\n"));
            }
            let named = request.header("lacewingstile-target-instance");
            let sent = if named.is_some_and(|named| named != self.id) {
                respond(&mut writer, "421 Misdirected Request", &headers, b"")
            } else if request.path() == "/health" {
                let status = if is_leaving { "503 Service Unavailable" } else { "200 OK" };
                respond(&mut writer, status, &headers, b"")
            } else if attempt.is_empty() {
                headers.push_str("Lacewingstile-Not-Executed: 1\r\n");
                respond(&mut writer, "400 Bad Request", &headers, b"")
            } else {
                self.runs.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!("worker {}: runs {attempt}", self.id));
                thread::sleep(Duration::from_millis(15));
                headers.push_str(&format!("Lacewingstile-Response-Seal: seal.{}.{attempt}\r\n", self.id));
                if self.endless.load(Ordering::SeqCst) {
                    // The size of a chunk that has no end.
                    let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{headers}\r\n");
                    let zeros = [b'0'; 16 * 1024];
                    let mut sent = writer.write_all(head.as_bytes());
                    while sent.is_ok() {
                        sent = writer.write_all(&zeros);
                    }
                    self.record.line(&format!("worker {}: the caller of {attempt} has closed", self.id));
                    return;
                }
                respond(&mut writer, "200 OK", &headers, &[b'x'; 800])
            };
            if sent.is_err() || is_leaving {
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- a model worker, in a process of its own

/// `stand worker ADDRESS ID BAD`: answers streams of events. The process ends when it begins to write an answer to a
/// request whose prompt holds the part BAD. It prints a line for each run.
fn model_worker(args: &[String]) -> i32 {
    let [address, id, bad] = args else {
        return 2;
    };
    let until = Instant::now() + Duration::from_secs(2);
    let listener = loop {
        match TcpListener::bind(address.as_str()) {
            Ok(listener) => break listener,
            Err(_) if Instant::now() < until => thread::sleep(Duration::from_millis(50)),
            Err(_) => return 2,
        }
    };
    let descriptor = listener.as_raw_fd();
    for stream in listener.incoming().flatten() {
        let (id, bad) = (id.clone(), bad.clone());
        thread::spawn(move || serve_model(stream, &id, &bad, descriptor));
    }
    0
}

extern "C" {
    fn shutdown(descriptor: i32, how: i32) -> i32;
}

fn serve_model(stream: TcpStream, id: &str, bad: &str, listener: i32) {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().expect("a socket can be cloned");
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        let attempt = request.header("lacewingstile-attempt-id").unwrap_or("").to_owned();
        let mut headers = format!("Lacewingstile-Instance-Id: {id}\r\n");
        if !attempt.is_empty() {
            headers.push_str(&format!("Lacewingstile-Attempt-Id: {attempt}\r\n"));
        }
        let named = request.header("lacewingstile-target-instance");
        let sent = if named.is_some_and(|named| named != id) {
            respond(&mut writer, "421 Misdirected Request", &headers, b"")
        } else if request.path() == "/health" {
            respond(&mut writer, "200 OK", &headers, b"")
        } else {
            let parts = request.header("lacewingstile-prompt-prefix").unwrap_or("").to_owned();
            let is_bad = parts.split(',').any(|part| part.split(':').next() == Some(bad));
            println!("run {attempt} {parts}");
            let _ = std::io::stdout().flush();
            // The prompt is read, which takes some hundred milliseconds with a document in it.
            thread::sleep(Duration::from_millis(200));
            if is_bad {
                // The answer begins, and the process ends.
                println!("crash {attempt}");
                let _ = std::io::stdout().flush();
                // The port closes first, so that nobody takes the ending process for a living one.
                unsafe { shutdown(listener, 2) };
                std::process::exit(70);
            }
            write_events(&mut writer, &headers, id, &attempt, &request)
        };
        if sent.is_err() {
            return;
        }
    }
}

fn write_events(writer: &mut TcpStream, headers: &str, id: &str, attempt: &str, request: &Message) -> std::io::Result<()> {
    let after: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nLacewingstile-Weight-Versions: 1\r\nLacewingstile-Response-Seal: seal.{id}.{attempt}\r\n{headers}\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for number in after + 1..=8 {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(Duration::from_millis(60));
    }
    writer.write_all(b"0\r\n\r\n")
}
