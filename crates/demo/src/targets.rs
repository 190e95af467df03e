//! The fakes of a document's targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lw_doc::{Document, ServiceKind, TargetEntry};
use lw_stand::{EngineOptions, FakeEngine, FakePlainService, ServerHandle};
use parking_lot::Mutex;

use crate::demo_error::DemoError;

/// The fake that serves a target.
pub(crate) enum TargetKind {
    Engine(FakeEngine),
    Plain(FakePlainService),
}

/// A running fake of a target.
pub(crate) struct Target {
    kind: TargetKind,
    server: Mutex<ServerHandle>,
}

/// The running fakes of all targets, by name.
pub(crate) struct Targets(BTreeMap<String, Target>);

impl Targets {
    /// Starts a fake for each target on its address in the document.
    pub(crate) async fn start(document: &Document) -> Result<Self, DemoError> {
        let mut targets = BTreeMap::new();
        for (name, entry) in &document.targets {
            let address = entry.address.parse().map_err(|_| DemoError::Address {
                target: name.clone(),
                address: entry.address.clone(),
            })?;
            targets.insert(
                name.clone(),
                start_target(document, name, entry, address).await?,
            );
        }
        Ok(Self(targets))
    }

    /// Starts a fake for each target on a free port, and writes the addresses into the document.
    pub(crate) async fn start_on_free_ports(document: &mut Document) -> Result<Self, DemoError> {
        for entry in document.targets.values_mut() {
            entry.address = "127.0.0.1:0".to_owned();
        }
        let targets = Self::start(document).await?;
        for (name, entry) in &mut document.targets {
            entry.address = targets.0[name].server.lock().address().to_string();
        }
        Ok(targets)
    }

    /// Returns the number of executions of the idempotency key, summed over all plain services.
    pub(crate) fn runs_of(&self, key: &str) -> u64 {
        self.plain().map(|service| service.runs_of(key)).sum()
    }

    /// Returns the number of executed orders.
    pub(crate) fn orders(&self) -> u64 {
        self.plain().map(FakePlainService::orders).sum()
    }

    /// Returns the highest number of executions of any idempotency key on one plain service.
    pub(crate) fn max_runs(&self) -> u64 {
        self.plain()
            .map(FakePlainService::max_runs)
            .max()
            .unwrap_or(0)
    }

    /// Returns the name of the first target of the service.
    pub(crate) fn first_target_of<'a>(
        &self,
        document: &'a Document,
        service: &str,
    ) -> Option<&'a str> {
        let mut targets = document.targets.iter();
        targets
            .find(|(_, entry)| entry.service == service)
            .map(|(name, _)| name.as_str())
    }

    /// Makes an engine abort its next `count` completions after 3 tokens.
    pub(crate) fn abort_completions(&self, name: &str, count: u32) {
        if let TargetKind::Engine(engine) = &self.0[name].kind {
            engine.abort_completions_after_tokens(3, count);
        }
    }

    /// Closes the listener and all connections of a target.
    pub(crate) fn stop(&self, name: &str) {
        self.0[name].server.lock().stop();
    }

    /// Restarts a stopped target on its address.
    pub(crate) async fn restart(&self, name: &str) -> Result<(), DemoError> {
        let target = &self.0[name];
        let address = target.server.lock().address();
        let server = serve(&target.kind, name, address).await?;
        *target.server.lock() = server;
        Ok(())
    }

    /// Returns the number of targets.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    fn plain(&self) -> impl Iterator<Item = &FakePlainService> {
        self.0.values().filter_map(|target| match &target.kind {
            TargetKind::Plain(service) => Some(service),
            TargetKind::Engine(_) => None,
        })
    }
}

async fn start_target(
    document: &Document,
    name: &str,
    entry: &TargetEntry,
    address: SocketAddr,
) -> Result<Target, DemoError> {
    let is_model = document
        .services
        .get(&entry.service)
        .is_some_and(|service| service.kind == ServiceKind::Model);
    let kind = match is_model {
        true => TargetKind::Engine(FakeEngine::new(engine_options(document, entry))),
        false => TargetKind::Plain(FakePlainService::default()),
    };
    let server = serve(&kind, name, address).await?;
    Ok(Target {
        kind,
        server: Mutex::new(server),
    })
}

async fn serve(
    kind: &TargetKind,
    name: &str,
    address: SocketAddr,
) -> Result<ServerHandle, DemoError> {
    let started = match kind {
        TargetKind::Engine(engine) => engine.start(address).await,
        TargetKind::Plain(plain) => plain.start(address).await,
    };
    started.map_err(|error| DemoError::Listen {
        what: format!("target {name}"),
        address,
        error,
    })
}

fn engine_options(document: &Document, entry: &TargetEntry) -> EngineOptions {
    let version = document.engine.models.get(&entry.service);
    EngineOptions {
        model: entry.service.clone(),
        version: version.map_or_else(|| "1".to_owned(), |model| model.version.clone()),
        slots: entry.slots as usize,
        fencing: entry.fencing,
        resume: entry.resume,
        ..EngineOptions::default()
    }
}
