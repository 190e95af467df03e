//! The fake platform services and targets, which run in a process of their own.

use std::path::Path;
use std::time::Duration;

use lw_doc::parse_document;
use lw_plat::HostEntry;
use lw_stand::FakeHostList;
use tokio::net::TcpStream;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::task::AbortOnDropHandle;

use crate::demo_error::DemoError;
use crate::demo_request::new_idempotency_key;
use crate::platform::{Platform, PlatformAddresses};
use crate::stand_options::StandOptions;
use crate::stand_settings::{StandSettings, read_text};
use crate::targets::Targets;

/// Interval at which the hosts of the host list are probed.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time limit of one probe.
const PROBE_LIMIT: Duration = Duration::from_millis(500);

/// The running fakes of a settings file; dropping it stops them.
pub struct FakeServices {
    platform: Platform,
    targets: Targets,
    _probe: AbortOnDropHandle<()>,
}

impl FakeServices {
    /// Starts all fakes.
    ///
    /// # Errors
    ///
    /// Returns an error when the document cannot be read or an address cannot be bound.
    pub async fn start(settings: &StandSettings) -> Result<Self, DemoError> {
        let file = &settings.document;
        let document = parse_document(file, &read_text(Path::new(file))?)?.document;
        let wanted = PlatformAddresses {
            key_value: settings.key_value,
            host_list: settings.host_list,
            weights: settings.weights,
        };
        let platform = Platform::start(wanted, &document).await?;
        let targets = Targets::start(&document).await?;
        let probe = update_live_hosts(platform.hosts.clone(), settings.hosts.clone());
        Ok(Self {
            platform,
            targets,
            _probe: AbortOnDropHandle::new(tokio::spawn(probe)),
        })
    }

    /// Returns one line with the addresses and counts of the fakes.
    #[must_use]
    pub fn text(&self) -> String {
        let addresses = &self.platform.addresses;
        let traffic = self.platform.kv.traffic();
        format!(
            "key-value service {} ({} reads, {} writes, {} refused), host list and directory {}, weight store {}, \
             {} targets, {} orders, at most {} runs of one key",
            addresses.key_value,
            traffic.reads,
            traffic.writes,
            traffic.refused,
            addresses.host_list,
            addresses.weights,
            self.targets.len(),
            self.targets.orders(),
            self.targets.max_runs(),
        )
    }
}

/// Runs the fakes until the process is interrupted, or prints an idempotency key.
///
/// # Errors
///
/// See [`FakeServices::start`].
pub async fn run_stand(options: &StandOptions) -> Result<(), DemoError> {
    if let Some(region) = &options.new_key {
        println!("{}", new_idempotency_key(region));
        return Ok(());
    }
    let settings = options.settings.as_deref();
    let path = settings.ok_or(DemoError::Usage("give --settings FILE or --new-key REGION"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(DemoError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(DemoError::Signals)?;
    let services = FakeServices::start(&StandSettings::read(path)?).await?;
    println!("{}", services.text());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    println!("{}", services.text());
    Ok(())
}

/// Probes `hosts` periodically and lists those that accept connections.
async fn update_live_hosts(list: FakeHostList, hosts: Vec<HostEntry>) {
    let mut listed = Vec::new();
    loop {
        let mut live = Vec::new();
        for entry in &hosts {
            let connect = TcpStream::connect(&entry.caller_address);
            if matches!(tokio::time::timeout(PROBE_LIMIT, connect).await, Ok(Ok(_))) {
                live.push(entry.clone());
            }
        }
        if live != listed {
            list.set_hosts(live.clone());
            listed = live;
        }
        tokio::time::sleep(PROBE_PERIOD).await;
    }
}
