//! The fakes that serve as targets of a run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use lw_stand::{EngineOptions, FakeEngine, FakePlainService, ServerHandle};

use crate::faults::observations::{Observations, ReceivedRequest};

/// The fake that serves a target, with its fault controls.
pub(crate) enum TargetFake {
    Plain(FakePlainService),
    Engine(FakeEngine),
}

/// A target.
pub(crate) struct Target {
    pub(crate) name: String,
    pub(crate) service: &'static str,
    pub(crate) zone: &'static str,
    pub(crate) fake: TargetFake,
    pub(crate) server: ServerHandle,
}

/// All targets of a run.
pub(crate) struct Targets {
    pub(crate) all: Vec<Target>,
}

/// Service, region and zone of each target.
const TARGET_LAYOUT: [(&str, &str, &str); 13] = [
    ("portal", "east", "east-1"),
    ("portal", "east", "east-2"),
    ("portal", "west", "west-1"),
    ("portal", "west", "west-2"),
    ("stock", "west", "west-1"),
    ("stock", "west", "west-2"),
    ("chat", "east", "east-1"),
    ("chat", "east", "east-2"),
    ("chat", "west", "west-1"),
    ("chat", "west", "west-2"),
    ("review", "east", "east-1"),
    ("review", "east", "east-2"),
    ("review", "west", "west-1"),
];

impl Targets {
    /// Starts a fake for every entry of [`TARGET_LAYOUT`].
    ///
    /// Fails if a listener cannot be opened.
    pub(crate) async fn start(observations: &Arc<Observations>) -> std::io::Result<Self> {
        let mut all = Vec::new();
        for (service, region, zone) in TARGET_LAYOUT {
            let name = format!("{service}-{zone}");
            let local = SocketAddr::from(([127, 0, 0, 1], 0));
            let request_observer = request_observer(observations.clone(), name.clone(), region);
            let is_plain = service == "portal" || service == "stock";
            let (fake, server) = if is_plain {
                let plain_service = FakePlainService::default();
                plain_service.observe(move |path, key| request_observer(path, key));
                let server = plain_service.start(local).await?;
                (TargetFake::Plain(plain_service), server)
            } else {
                let engine = FakeEngine::new(engine_options(service));
                engine.observe(move |prompt| request_observer(prompt, None));
                let server = engine.start(local).await?;
                (TargetFake::Engine(engine), server)
            };
            all.push(Target {
                name,
                service,
                zone,
                fake,
                server,
            });
        }
        Ok(Self { all })
    }
}

fn request_observer(
    observations: Arc<Observations>,
    target: String,
    region: &'static str,
) -> impl Fn(&str, Option<&str>) + Send + Sync + 'static {
    move |text, key| {
        if let Some(key) = key {
            *observations.runs.lock().entry(key.to_owned()).or_default() += 1;
        }
        let received = ReceivedRequest {
            target: target.clone(),
            text: text.to_owned(),
            region,
            at: Instant::now(),
        };
        observations.record_received(received);
    }
}

fn engine_options(service: &str) -> EngineOptions {
    EngineOptions {
        model: service.to_owned(),
        slots: 4,
        decode_ms: 10.0,
        resume: true,
        ..EngineOptions::default()
    }
}
