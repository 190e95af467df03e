//! The measured system: a host with one worker thread, a fake engine and a fake plain service.

use std::io;
use std::net::SocketAddr;

use lw_daemon::{Daemon, Settings};
use lw_stand::{EngineOptions, FakeEngine, FakePlainService, ServerHandle};
use serde_json::json;

use crate::proxy::round::Endpoint;

/// More than the concurrent requests of any round.
const SLOTS: u32 = 4_096;

pub(crate) struct MeasuredSystem {
    daemon: Daemon,
    plain: ServerHandle,
    engine: ServerHandle,
}

impl MeasuredSystem {
    /// Starts the fake targets and a host whose document lists them as targets.
    ///
    /// Fails if one of them does not start.
    pub(crate) async fn start() -> io::Result<Self> {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let plain = FakePlainService::default().start(local).await?;
        let engine = FakeEngine::new(engine_options()).start(local).await?;
        let daemon = Daemon::start(settings(&plain, &engine)?).await;
        Ok(Self {
            daemon: daemon.map_err(io::Error::other)?,
            plain,
            engine,
        })
    }

    /// Returns the endpoint of a fake target, for direct requests.
    pub(crate) fn direct(&self, streams: bool) -> Endpoint {
        let server = if streams { &self.engine } else { &self.plain };
        Endpoint {
            address: server.address(),
            path: "/status/drum",
        }
    }

    /// Returns the endpoint of the host.
    pub(crate) fn proxied(&self) -> Endpoint {
        Endpoint {
            address: self.daemon.addresses().callers,
            path: "/s/portal/status/drum",
        }
    }

    pub(crate) async fn stop(self) {
        self.daemon.kill().await;
    }
}

fn engine_options() -> EngineOptions {
    EngineOptions {
        model: "assistant".to_owned(),
        slots: SLOTS as usize,
        prefill_tokens_per_s: 1e9,
        decode_ms: 2.0,
        batch_slowdown: 0.0,
        ..EngineOptions::default()
    }
}

fn settings(plain: &ServerHandle, engine: &ServerHandle) -> io::Result<Settings> {
    let service = |kind, priority| {
        json!({
            "kind": kind, "priority": priority, "regions": ["east"], "deadline_ms": 60_000,
            "max_in_flight_per_target": SLOTS, "queue_entries": SLOTS, "non_idempotent_methods": [],
        })
    };
    let target = |service: &str, server: &ServerHandle| {
        json!({
            "service": service, "zone": "east-1", "address": server.address().to_string(),
            "slots": SLOTS,
        })
    };
    let document = json!({
        "format": 1,
        "regions": {"east": {"zones": ["east-1"]}},
        "services": {
            "portal": service("plain", "lookup"),
            "assistant": service("model", "interactive"),
        },
        "targets": {
            "portal-1": target("portal", plain),
            "assistant-1": target("assistant", engine),
        },
    });
    let file = std::env::temp_dir().join(format!("lw-bench-proxy-{}.json", std::process::id()));
    std::fs::write(&file, document.to_string())?;
    let local = "127.0.0.1:0";
    let text = json!({
        "host": "bench", "region": "east", "zone": "east-1",
        "listen": {"callers": local, "peers": local, "nng": local, "admin": local},
        "document_file": file, "peer_key": "a key of the bench only",
        "worker_threads": 1, "log_level": "error",
    });
    Settings::parse("bench settings", &text.to_string()).map_err(io::Error::other)
}
