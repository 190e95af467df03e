//! Targets that count the runs of each request, and misbehave.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::limits::LimitRecord;

/// The number of times that an answer repeats the id of its request.
pub(crate) const ANSWER_REPEATS: usize = 40;
/// How long a target works on a request, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 2..150;

/// The same for a request that takes long: longer than the rest of the grace period of a host that has announced its stop.
const LONG_WORK_MS: std::ops::Range<u64> = 4_500..5_500;

/// A target ends when it runs a request with this path.
pub(crate) const CRASHING_PATH: &str = "/once/crashing";

/// What a target does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Answer,
    /// The connection is reset before the request runs.
    ResetBefore,
    /// The request runs, and its answer is lost.
    LoseAnswer,
    /// The answer is broken off in the middle.
    BreakOff,
    /// A second copy of the answer follows late.
    LateCopy,
    /// The target says that it did not run the request.
    Reject,
    /// The answer takes a second longer.
    Slow,
}

/// The runs of all requests, by id.
#[derive(Default)]
pub(crate) struct Runs(RefCell<BTreeMap<String, u32>>);

impl Runs {
    pub(crate) fn of(&self, id: &str) -> u32 {
        self.0.borrow().get(id).copied().unwrap_or(0)
    }

    fn record(&self, id: &str) {
        *self.0.borrow_mut().entry(id.to_owned()).or_default() += 1;
    }
}

/// A target that can crash and start again under another id.
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    number: usize,
    incarnation: Cell<u32>,
    state: Cell<&'static str>,
    crash: tokio::sync::Notify,
    restart: tokio::sync::Notify,
    runs: Rc<Runs>,
    /// Requests are answered faultlessly.
    is_sound: bool,
    random: RefCell<ChaCha8Rng>,
    /// The limits that the target names in its answers.
    pub(crate) limits: LimitRecord,
    /// When copies of the crashing request arrived.
    pub(crate) crashing_arrivals: RefCell<Vec<Instant>>,
    /// A copy has ended the process, which was not started again yet.
    pub(crate) is_ended_by_request: Cell<bool>,
}

impl Target {
    pub(crate) async fn start(
        number: usize,
        seed: u64,
        is_sound: bool,
        runs: Rc<Runs>,
    ) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let target = Rc::new(Self {
            address: listener.local_addr().expect("a bound socket"),
            number,
            incarnation: Cell::new(1),
            state: Cell::new("ready"),
            crash: tokio::sync::Notify::new(),
            restart: tokio::sync::Notify::new(),
            runs,
            is_sound,
            random: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ (number as u64) << 32)),
            limits: LimitRecord::default(),
            crashing_arrivals: RefCell::default(),
            is_ended_by_request: Cell::default(),
        });
        tokio::task::spawn_local(target.clone().run(listener));
        target
    }

    /// Returns the key and value of the target's entry in the store.
    pub(crate) fn entry(&self) -> (String, Value) {
        let value = json!({ "service": "s", "address": self.address, "zone": "z1", "slots": 32,
            "state": self.state.get(), "cold_left_ms": 0, "born": 1_000 + self.incarnation.get() });
        (format!("servers/{}", self.id()), value)
    }

    fn id(&self) -> String {
        format!("i-{}-{}", self.number, self.incarnation.get())
    }

    /// Ends the process: its connections break, and new ones are refused.
    pub(crate) fn crash(&self) {
        self.crash.notify_one();
    }

    /// Starts the process again under another id.
    pub(crate) fn restart(&self) {
        self.incarnation.set(self.incarnation.get() + 1);
        self.limits.restart();
        self.restart.notify_one();
    }

    async fn run(self: Rc<Self>, mut listener: TcpListener) {
        loop {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let (stream, _) = accepted.expect("a connection");
                        connections.spawn_local(self.clone().serve(stream));
                    }
                    () = self.crash.notified() => break,
                }
            }
            drop(listener);
            connections.shutdown().await;
            self.restart.notified().await;
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.set_reuseaddr(true).expect("a socket option");
            socket.bind(self.address).expect("the target's own port");
            listener = socket.listen(256).expect("a bound socket");
        }
    }

    fn draw(&self, is_long: bool) -> (Behaviour, Duration) {
        let mut random = self.random.borrow_mut();
        let work_ms = if is_long { LONG_WORK_MS } else { WORK_MS };
        let work = Duration::from_millis(random.random_range(work_ms));
        if self.is_sound {
            return (Behaviour::Answer, work);
        }
        let behaviour = match random.random_range(0..100) {
            0..2 => Behaviour::ResetBefore,
            2..4 => Behaviour::LoseAnswer,
            4..6 => Behaviour::BreakOff,
            6..9 => Behaviour::LateCopy,
            9..12 => Behaviour::Reject,
            12..14 => Behaviour::Slow,
            _ => Behaviour::Answer,
        };
        (behaviour, work)
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        while let Some(head) = read_head(&mut stream).await {
            let id = header(&head, "lacewingstile-attempt-id").unwrap_or_default();
            let expected = header(&head, "lacewingstile-target-instance").unwrap_or_default();
            if expected != self.id() {
                let answer = rejection(&id, "421 Misdirected Request", "");
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            if head.starts_with(&format!("GET {CRASHING_PATH} ")) {
                self.crashing_arrivals.borrow_mut().push(Instant::now());
                self.is_ended_by_request.set(true);
                self.crash();
                std::future::pending::<()>().await;
            }
            self.limits.record_arrival();
            let (behaviour, work) = self.draw(head.starts_with("GET /long/"));
            let limit = self.limits.current();
            let limit =
                limit.map_or_else(String::new, |per_s| format!("server-limit: {per_s}\r\n"));
            match behaviour {
                Behaviour::ResetBefore => return,
                Behaviour::Reject => {
                    let answer = rejection(&id, "503 Service Unavailable", &limit);
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                    continue;
                }
                _ => self.runs.record(&id),
            }
            tokio::time::sleep(work).await;
            let body = id.repeat(ANSWER_REPEATS);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nlacewingstile-attempt-id: {id}\r\nlacewingstile-response-seal: s\r\n{limit}content-length: {}\r\n\r\n{body}",
                body.len()
            );
            let sent = match behaviour {
                Behaviour::LoseAnswer => return,
                Behaviour::BreakOff => {
                    let half = &answer.as_bytes()[..answer.len() - body.len() / 2];
                    let _ = stream.write_all(half).await;
                    return;
                }
                Behaviour::Slow => {
                    tokio::time::sleep(Duration::from_secs(1)).await;
                    stream.write_all(answer.as_bytes()).await
                }
                _ => stream.write_all(answer.as_bytes()).await,
            };
            if sent.is_err() {
                return;
            }
            if behaviour == Behaviour::LateCopy {
                // The copy follows when the connection is in use again, or after a while.
                let mut byte = [0];
                let wait = Duration::from_millis(300);
                let _ = tokio::time::timeout(wait, stream.peek(&mut byte)).await;
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    }
}

fn rejection(id: &str, status: &str, headers: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nlacewingstile-attempt-id: {id}\r\nlacewingstile-not-executed: 1\r\n{headers}content-length: 0\r\n\r\n"
    )
}

/// Reads a request without a body and returns its head, or `None` when the connection ends.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read_buf(&mut bytes).await {
            Ok(1..) => {}
            Ok(0) | Err(_) => return None,
        }
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

/// Returns the value of a header in a head.
pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
