//! Starts a gateway host and scripted targets on loopback.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use http::HeaderName;
use lw_base::prelude::*;
use lw_relay::{
    AnswerForm, Bounds, CallerLimits, EngineCapacity, HeaderNames, Host, HostParts, HostSettings,
    ListenerKind, OnChanged, PathSet, Plan, Route, RouteTable, RunPolicy, Service, Target,
    TargetLoad, WeightedService, serve,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// One action of a target on a request.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Sends bytes.
    Send(String),
    /// Waits for a time in milliseconds, or until the client disconnects.
    Wait(u64),
    /// Sends a text again and again until the client closes the connection.
    SendWithoutEnd(String),
    /// Closes the connection.
    Close,
    /// Resets the connection with an RST.
    Reset,
}

/// The actions of a target, one list per request in order of arrival; the last list repeats.
pub(crate) type Script = Vec<Vec<Action>>;

/// A target that follows a script.
#[derive(Clone)]
pub(crate) struct ScriptedTarget {
    pub(crate) address: SocketAddr,
    /// The heads of the requests that arrived.
    pub(crate) request_heads: Rc<RefCell<Vec<String>>>,
    /// The number of connections that the client closed while the target waited.
    pub(crate) disconnects: Rc<Cell<u32>>,
    /// The bytes that were sent by [`Action::SendWithoutEnd`].
    pub(crate) sent_without_end_bytes: Rc<Cell<usize>>,
}

/// The placeholder in scripts for the attempt id of the request.
pub(crate) const ATTEMPT_ID: &str = "{id}";

/// Returns a valid answer with a content length.
pub(crate) fn ok_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-attempt: {ATTEMPT_ID}\r\nx-seal: s\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the head of a valid event stream.
pub(crate) fn stream_head() -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-attempt: {ATTEMPT_ID}\r\nx-seal: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )
}

/// Returns one chunk of a chunked body.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns an event with an id.
pub(crate) fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

impl ScriptedTarget {
    pub(crate) async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let target = Self {
            address: listener.local_addr().expect("a bound socket"),
            request_heads: Rc::default(),
            disconnects: Rc::default(),
            sent_without_end_bytes: Rc::default(),
        };
        let server = target.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(server.clone().serve(stream, script.clone()));
            }
        });
        target
    }

    async fn serve(self, mut stream: TcpStream, script: Script) {
        while let Some(head) = read_request(&mut stream).await {
            let id = header(&head, "x-attempt").unwrap_or_default();
            let index = self.request_heads.borrow().len();
            self.request_heads.borrow_mut().push(head);
            let actions = &script[index.min(script.len() - 1)];
            for action in actions {
                match action {
                    Action::Send(text) => {
                        let text = text.replace(ATTEMPT_ID, &id);
                        if stream.write_all(text.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                    Action::Wait(wait_ms) => {
                        let mut byte = [0];
                        let wait = Duration::from_millis(*wait_ms);
                        let read = tokio::time::timeout(wait, stream.peek(&mut byte)).await;
                        if matches!(read, Ok(Ok(0) | Err(_))) {
                            self.disconnects.set(self.disconnects.get() + 1);
                            return;
                        }
                    }
                    Action::SendWithoutEnd(text) => {
                        let block = text.repeat(65_536_usize.div_ceil(text.len()));
                        while stream.write_all(block.as_bytes()).await.is_ok() {
                            let sent_bytes = self.sent_without_end_bytes.get() + block.len();
                            self.sent_without_end_bytes.set(sent_bytes);
                        }
                        return;
                    }
                    Action::Close => return,
                    Action::Reset => {
                        let linger = Some(Duration::ZERO);
                        let socket = socket2::SockRef::from(&stream);
                        socket.set_linger(linger).expect("a TCP socket");
                        return;
                    }
                }
            }
        }
    }
}

/// Reads a request and returns its head, or `None` when the connection ends.
pub(crate) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = header(&head, "content-length").and_then(|text| text.parse().ok());
            let missing = (end + 4 + length.unwrap_or(0_usize)).saturating_sub(bytes.len());
            let mut body = vec![0; missing];
            stream.read_exact(&mut body).await.ok()?;
            return Some(head);
        }
        let length = stream.read(&mut buffer).await.ok()?;
        if length == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..length]);
    }
}

/// Returns the value of a header in a head.
pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// Options of the only route.
#[derive(Clone, Copy)]
pub(crate) struct RouteOptions {
    pub(crate) run_policy: RunPolicy,
    pub(crate) form: AnswerForm,
    pub(crate) max_runs: u32,
    pub(crate) timeout_ms: u64,
    pub(crate) latency_goal_ms: u64,
}

pub(crate) const ONCE: RouteOptions = RouteOptions {
    run_policy: RunPolicy::Once,
    form: AnswerForm::Whole,
    max_runs: 1,
    timeout_ms: 2_000,
    latency_goal_ms: 400,
};
pub(crate) const REPEATABLE: RouteOptions = RouteOptions {
    run_policy: RunPolicy::Repeatable,
    max_runs: 2,
    ..ONCE
};
pub(crate) const RESUMABLE: RouteOptions = RouteOptions {
    form: AnswerForm::Events { resumable: true },
    max_runs: 2,
    ..ONCE
};
pub(crate) const STREAM: RouteOptions = RouteOptions {
    form: AnswerForm::Events { resumable: false },
    ..ONCE
};

/// Returns a loopback address that no other host of this process has.
///
/// With an address of its own, a host can use fixed ports. A port that was probed as free may be taken by a parallel
/// test before it is bound, which fails about one run in a hundred.
pub(crate) fn unique_loopback_address() -> Ipv4Addr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let process = (std::process::id() % 200) as u8 + 10;
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    Ipv4Addr::new(127, process, 80 + high, low)
}

/// The memory that a host may use unless a test says otherwise.
const MEMORY_BYTES: usize = 256 * 1024 * 1024;

const CALLER_PORT: u16 = 18_144;
const READY_PORT: u16 = 18_140;
const DIRECTORY_PORT: u16 = 18_143;
pub(crate) const PEER_PORT: u16 = 17_660;

/// Starts a host with one route to the given targets.
pub(crate) async fn start_host(options: RouteOptions, targets: &[ScriptedTarget]) -> Rc<Host> {
    let plan = plan_with_route(options, targets);
    start_host_in("north", unique_loopback_address(), Vec::new(), plan).await
}

/// Starts a host in a region.
pub(crate) async fn start_host_in(
    region: &str,
    ip: Ipv4Addr,
    seeds: Vec<Ipv4Addr>,
    plan: Plan,
) -> Rc<Host> {
    start_host_with_port(region, ip, PEER_PORT, seeds, plan).await
}

/// Starts a host that exchanges heartbeats with those of the same peer port.
pub(crate) async fn start_host_with_port(
    region: &str,
    ip: Ipv4Addr,
    peer_port: u16,
    seeds: Vec<Ipv4Addr>,
    plan: Plan,
) -> Rc<Host> {
    let settings = host_settings(region, ip, peer_port, seeds);
    start_host_with(settings, plan).await
}

/// Returns the settings of a host.
pub(crate) fn host_settings(
    region: &str,
    ip: Ipv4Addr,
    peer_port: u16,
    seeds: Vec<Ipv4Addr>,
) -> HostSettings {
    let address = |port| SocketAddr::from((ip, port));
    HostSettings {
        host: ip.to_string().into(),
        ip,
        zone: "z".into(),
        region: region.into(),
        zones: FastMap::default(),
        caller_address: address(CALLER_PORT),
        ready_address: address(READY_PORT),
        directory_address: address(DIRECTORY_PORT),
        peer_port,
        seeds,
        capacity_permille: 250,
        memory_bytes: MEMORY_BYTES,
        bounds: Bounds {
            grace_ms: 8_000,
            retry_ratio: 0.2,
            retry_extra: 80.0,
            retry_window_ms: 10_000,
            cold_factor: 1.5,
            cold_slack: 3.0,
            directory_ttl_s: 5,
        },
    }
}

/// Starts a host with its settings.
pub(crate) async fn start_host_with(settings: HostSettings, plan: Plan) -> Rc<Host> {
    start_host_with_changes(settings, plan, Box::new(|_, _| ())).await
}

/// Starts a host that calls `on_changed` when its copy of the platform state changes.
pub(crate) async fn start_host_with_changes(
    settings: HostSettings,
    plan: Plan,
    on_changed: OnChanged,
) -> Rc<Host> {
    let peer_address = SocketAddr::from((settings.ip, settings.peer_port));
    let name = HeaderName::from_static;
    let host = Rc::new(Host::new(HostParts {
        settings,
        names: HeaderNames {
            attempt_id: name("x-attempt"),
            remaining_ms: name("x-remaining"),
            prompt_parts: name("x-parts"),
            token_counts: name("x-tokens"),
            last_event_id: name("last-event-id"),
            seal: name("x-seal"),
            pinned_target: name("x-target"),
            not_run: name("x-not-run"),
            retry_after: name("retry-after"),
            leaving: name("x-leaving"),
            limit_per_s: name("x-limit"),
            instance: name("x-instance"),
            cold_remaining_ms: name("x-cold"),
            urgency: name("x-urgency"),
            caller: vec![name("x-customer")],
            reserved: vec![name("x-target"), name("x-urgency"), name("x-hold")],
        },
        paths: PathSet {
            ready: "/ready",
            directory: "/entry",
        },
        started_ms: 1,
        on_changed,
        holds_earlier_state: Box::new(|_| false),
    }));
    for (address, kind) in [
        (host.settings.caller_address, ListenerKind::Callers),
        (host.settings.ready_address, ListenerKind::Ready),
        (host.settings.directory_address, ListenerKind::Directory),
        (peer_address, ListenerKind::Peers),
    ] {
        serve(host.clone(), address, kind)
            .await
            .expect("a free port");
    }
    host.set_plan(plan);
    host
}

/// Returns the heartbeat of a host that reports free slots.
pub(crate) fn heartbeat_with_free_slots(host: &Host) -> lw_mesh::Heartbeat {
    lw_mesh::Heartbeat::new(
        lw_mesh::HostAddress {
            host: host.settings.host.clone(),
            ip: host.settings.ip,
            zone: host.settings.zone.clone(),
            region: host.settings.region.clone(),
            started_ms: 1,
        },
        lw_mesh::HostStatus {
            stage: lw_mesh::Stage::Ready,
            as_of: lw_mesh::StateVersion::default(),
            platform_age_ms: 0,
            platform_contact_age_ms: u16::MAX,
            region_watch_age_ms: u16::MAX,
            is_watch_failing: false,
            has_platform_returned: false,
            capacity_permille: 250,
            services: vec![lw_mesh::ServiceUsage {
                service: 1,
                wait_ms: 0,
                targets: 1,
                free_slots: 8,
            }],
            earlier_states: 0,
        },
    )
}

pub(crate) fn route_of(options: RouteOptions, service: ServiceKey) -> Route {
    Route {
        name: "r".into(),
        host: "a.example".into(),
        prefix: "/x/".into(),
        services: vec![WeightedService {
            service,
            weight: 1.0,
        }],
        run_policy: options.run_policy,
        form: options.form,
        max_runs: options.max_runs,
        timeout_ms: options.timeout_ms,
        latency_goal_ms: options.latency_goal_ms,
        urgency: 1,
        allowed_regions: Vec::new(),
    }
}

/// Builds a plan with one route and one service.
pub(crate) fn plan_with_route(options: RouteOptions, targets: &[ScriptedTarget]) -> Plan {
    let mut plan = Plan {
        version: 1,
        limits: CallerLimits {
            header_bytes: 2_000,
            body_bytes: 10_000,
            ..CallerLimits::default()
        },
        ..Plan::default()
    };
    let service = plan.services.push(
        "s",
        Service {
            name: "s".into(),
            hash: 1,
            max_connections: 100,
            cold_ms: 0,
            cold_per_s: 0.0,
            health_path: None,
            engine: None::<EngineCapacity>,
        },
    );
    plan.routes = RouteTable::new([route_of(options, service)]);
    let target = |(index, target): (usize, &ScriptedTarget)| Target {
        id: format!("t{index}").into(),
        incarnation: format!("t{index}#1").into(),
        hash: index as u32 + 1,
        service,
        address: target.address,
        zone: "z".into(),
        region: "north".into(),
        slots: 8,
        is_in_service: true,
        load: Rc::new(RefCell::new(TargetLoad::default())),
    };
    plan.targets = vec![targets.iter().enumerate().map(target).collect()];
    plan
}

/// An answer as the caller read it, until it was complete or the connection closed.
#[derive(Debug)]
pub(crate) struct CallerAnswer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// The body is complete according to its framing.
    pub(crate) is_complete: bool,
}

/// Sends a request on a new connection and reads the answer.
pub(crate) async fn call(address: SocketAddr, request: &str) -> CallerAnswer {
    let mut stream = TcpStream::connect(address).await.expect("the host listens");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the host reads");
    read_answer(&mut stream).await
}

/// Connects with a receive buffer that holds a small part of a large answer.
pub(crate) async fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(8 * 1_024)
        .expect("a socket option");
    socket.connect(address).await.expect("the host listens")
}

/// Reads an answer until it is complete or the connection closes.
pub(crate) async fn read_answer(stream: &mut TcpStream) -> CallerAnswer {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut buffer)).await;
        let length = read.expect("an answer in time").unwrap_or(0);
        bytes.extend_from_slice(&buffer[..length]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            assert!(length > 0, "no answer: {text}");
            continue;
        };
        let is_complete = match header(head, "content-length") {
            Some(declared) => declared.parse() == Ok(body.len()),
            None => body.ends_with("0\r\n\r\n"),
        };
        if is_complete || length == 0 {
            let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
            return CallerAnswer {
                status: status.expect("a status line"),
                head: head.to_owned(),
                body: body.to_owned(),
                is_complete,
            };
        }
    }
}

/// Returns a request with the attempt id `id`.
pub(crate) fn request(id: &str) -> String {
    format!(
        "POST /x/1?q=%20a HTTP/1.1\r\nhost: a.example\r\nx-attempt: {id}\r\nx-remaining: 1500\r\ncontent-length: 4\r\n\r\nbody"
    )
}

/// Runs a test on one thread, because a host runs on one.
pub(crate) fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
