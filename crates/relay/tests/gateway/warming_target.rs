//! A target that can turn cold under its id, and says so in its health answers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::support::*;

pub(crate) const HEALTH_PATH: &str = "/health";
/// A target works on a request for this long.
const WORK: Duration = Duration::from_millis(5);

/// What a target answers to a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// Whether it is cold, at once.
    Told,
    /// The same, after this time.
    ToldAfter(Duration),
    /// A rejection, because all its slots are taken.
    Rejected,
    /// Nothing.
    Silent,
    /// That it fails, although it serves requests.
    Failing,
}

#[derive(Clone, Copy)]
pub(crate) struct TargetOptions {
    pub(crate) health: Health,
    /// When the target turns cold, after its start.
    pub(crate) cold_at: Option<Duration>,
    /// The target restarts as it turns cold, after it was down for this long.
    pub(crate) down: Option<Duration>,
}

pub(crate) struct WarmingTarget {
    pub(crate) address: SocketAddr,
    started_at: Instant,
    options: TargetOptions,
    /// The times of requests, without health checks.
    pub(crate) arrivals: RefCell<Vec<Instant>>,
    pub(crate) health_checks: Cell<usize>,
}

impl WarmingTarget {
    pub(crate) async fn start(options: TargetOptions) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let target = Rc::new(Self {
            address: listener.local_addr().expect("a bound socket"),
            started_at: Instant::now(),
            options,
            arrivals: RefCell::default(),
            health_checks: Cell::default(),
        });
        tokio::task::spawn_local(target.clone().run(listener));
        target
    }

    async fn run(self: Rc<Self>, mut listener: TcpListener) {
        let down_from = self.options.cold_at.zip(self.options.down);
        let mut down_from = down_from.map(|(cold_at, down)| self.started_at + cold_at - down);
        loop {
            let mut connections = JoinSet::new();
            loop {
                let ends = async {
                    match down_from {
                        Some(at) => tokio::time::sleep_until(at.into()).await,
                        None => std::future::pending().await,
                    }
                };
                tokio::select! {
                    accepted = listener.accept() => {
                        let (stream, _) = accepted.expect("a connection");
                        connections.spawn_local(self.clone().serve(stream));
                    }
                    () = ends => break,
                }
            }
            down_from = None;
            drop(listener);
            connections.shutdown().await;
            tokio::time::sleep(self.options.down.unwrap_or_default()).await;
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.set_reuseaddr(true).expect("a socket option");
            socket.bind(self.address).expect("the target's own port");
            listener = socket.listen(64).expect("a bound socket");
        }
    }

    fn is_cold(&self) -> bool {
        let elapsed = self.started_at.elapsed();
        self.options.cold_at.is_some_and(|at| elapsed >= at)
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        while let Some(head) = read_request(&mut stream).await {
            let is_health_check = head.starts_with(&format!("GET {HEALTH_PATH} "));
            let answer = match is_health_check {
                true => {
                    self.health_checks.set(self.health_checks.get() + 1);
                    if let Health::ToldAfter(delay) = self.options.health {
                        tokio::time::sleep(delay).await;
                    }
                    self.health_answer()
                }
                false => {
                    self.arrivals.borrow_mut().push(Instant::now());
                    tokio::time::sleep(WORK).await;
                    let id = header(&head, "x-attempt").unwrap_or_default();
                    ok_response("body").replace(ATTEMPT_ID, &id)
                }
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn health_answer(&self) -> String {
        let cold = match self.is_cold() {
            true => "x-cold: 3000\r\n",
            false => "",
        };
        match self.options.health {
            Health::Told | Health::ToldAfter(_) => {
                format!("HTTP/1.1 200 OK\r\nx-instance: t0\r\n{cold}content-length: 0\r\n\r\n")
            }
            Health::Rejected => {
                "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
                    .to_owned()
            }
            Health::Silent => String::new(),
            Health::Failing => format!(
                "HTTP/1.1 503 Service Unavailable\r\nx-instance: t0\r\n{cold}content-length: 0\r\n\r\n"
            ),
        }
    }

    /// Returns the largest number of requests in one second after the target turned cold.
    pub(crate) fn peak_cold_arrivals_per_s(&self) -> usize {
        let Some(cold_at) = self.options.cold_at.map(|at| self.started_at + at) else {
            return 0;
        };
        let arrivals = self.arrivals.borrow();
        let cold: Vec<Instant> = arrivals
            .iter()
            .copied()
            .filter(|at| *at >= cold_at)
            .collect();
        let windows = cold.iter().enumerate().map(|(first, start)| {
            let later = cold[first..].iter();
            let second = Duration::from_secs(1);
            later.take_while(|at| **at - *start < second).count()
        });
        windows.max().unwrap_or(0)
    }
}
