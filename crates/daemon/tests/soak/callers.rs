//! Callers that use open connections until these end, and check each answer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::targets::{ANSWER_REPEATS, CRASHING_PATH, header};

/// The time that a caller allows a request, in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// The same for a request that takes long.
const LONG_DEADLINE_MS: u64 = 12_000;
/// A caller waits for this much longer before it gives up, in milliseconds.
const PATIENCE_MS: u64 = 2_000;
/// The time between two copies of the request that ends targets.
const CRASHING_INTERVAL: Duration = Duration::from_millis(400);
/// The share of requests that take long, where there are any.
const LONG_SHARE: f64 = 0.05;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The whole answer to the request.
    Answered,
    /// A status that promises that the request has not run and never will.
    NotRun,
    /// Another error status, which promises nothing.
    Unknown,
    /// The connection ended without an answer.
    Closed,
    /// No answer within the deadline and a margin.
    Silent,
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) may_repeat: bool,
    pub(crate) sent_at: Instant,
    pub(crate) end: End,
}

/// The callers' shared view.
#[derive(Default)]
pub(crate) struct CallLog {
    pub(crate) calls: RefCell<Vec<Call>>,
    /// Answers that are wrong in themselves.
    pub(crate) violations: RefCell<Vec<String>>,
    pub(crate) is_over: Cell<bool>,
}

/// Sends requests one after the other until the run is over. A connection is used until it ends.
pub(crate) async fn run_caller(
    number: usize,
    seed: u64,
    hosts: Vec<SocketAddr>,
    has_long_requests: bool,
    log: Rc<CallLog>,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000) + number as u64);
    let mut open: Option<TcpStream> = None;
    let mut count = 0;
    while !log.is_over.get() {
        tokio::time::sleep(Duration::from_millis(random.random_range(0..40))).await;
        let mut stream = match open.take() {
            Some(stream) => stream,
            None => {
                let host = hosts[random.random_range(0..hosts.len())];
                let connecting = TcpStream::connect(host);
                match tokio::time::timeout(Duration::from_millis(500), connecting).await {
                    Ok(Ok(stream)) => stream,
                    Ok(Err(_)) | Err(_) => continue,
                }
            }
        };
        count += 1;
        let may_repeat = random.random_bool(0.5);
        let id = format!("{seed:04x}{number:04x}{count:08x}");
        let (path, deadline_ms) = match may_repeat {
            _ if has_long_requests && random.random_bool(LONG_SHARE) => ("long", LONG_DEADLINE_MS),
            true => ("idem", DEADLINE_MS),
            false => ("once", DEADLINE_MS),
        };
        let may_repeat = path == "idem";
        let request = format!(
            "GET /{path}/1 HTTP/1.1\r\nhost: a.example\r\nlacewingstile-attempt-id: {id}\r\nlacewingstile-time-remaining: {deadline_ms}\r\n\r\n"
        );
        let patience = Duration::from_millis(deadline_ms + PATIENCE_MS);
        let sent_at = Instant::now();
        let exchange = async {
            stream.write_all(request.as_bytes()).await.ok()?;
            read_answer(&mut stream).await
        };
        let (end, keeps_open) = match tokio::time::timeout(patience, exchange).await {
            Err(_) => (End::Silent, false),
            Ok(None) => (End::Closed, false),
            Ok(Some(answer)) => {
                let keeps_open = header(&answer.head, "connection").as_deref() != Some("close");
                (classify(&id, &answer, &log), keeps_open)
            }
        };
        if keeps_open {
            open = Some(stream);
        }
        log.calls.borrow_mut().push(Call {
            id,
            may_repeat,
            sent_at,
            end,
        });
    }
}

/// Sends copies of the request that ends targets to random hosts until the run is over.
pub(crate) async fn run_crashing_caller(seed: u64, hosts: Vec<SocketAddr>, log: Rc<CallLog>) {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    let mut count = 0;
    while !log.is_over.get() {
        tokio::time::sleep(CRASHING_INTERVAL).await;
        count += 1;
        let host = hosts[random.random_range(0..hosts.len())];
        let request = format!(
            "GET {CRASHING_PATH} HTTP/1.1\r\nhost: a.example\r\nlacewingstile-attempt-id: {seed:04x}cccc{count:08x}\r\nlacewingstile-time-remaining: {DEADLINE_MS}\r\n\r\n"
        );
        let exchange = async {
            let mut stream = TcpStream::connect(host).await.ok()?;
            stream.write_all(request.as_bytes()).await.ok()?;
            read_answer(&mut stream).await
        };
        let patience = Duration::from_millis(DEADLINE_MS);
        if let Ok(Some(answer)) = tokio::time::timeout(patience, exchange).await
            && answer.status == 200
        {
            let violation = format!("copy {count} of the crashing request was answered");
            log.violations.borrow_mut().push(violation);
        }
    }
}

struct Answer {
    status: u16,
    head: String,
    body: Vec<u8>,
}

/// Reads an answer with a length; `None` when the connection ends before its end.
async fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length: usize = header(&head, "content-length")?.parse().ok()?;
            let mut body = bytes.split_off(end + 4);
            let read = body.len();
            body.resize(length, 0);
            stream.read_exact(&mut body[read..]).await.ok()?;
            let status = head.split(' ').nth(1)?.parse().ok()?;
            return Some(Answer { status, head, body });
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

fn classify(id: &str, answer: &Answer, log: &CallLog) -> End {
    match answer.status {
        200 => {
            if answer.body != id.repeat(ANSWER_REPEATS).as_bytes() {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                let violation = format!("{id} got another answer: {body}");
                log.violations.borrow_mut().push(violation);
            }
            End::Answered
        }
        408 | 421 | 429 | 503 => End::NotRun,
        500.. => End::Unknown,
        status => {
            let violation = format!("{id} got status {status}");
            log.violations.borrow_mut().push(violation);
            End::Unknown
        }
    }
}
