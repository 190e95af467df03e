//! The stand-ins as a process of their own.

use std::path::Path;
use std::time::Duration;

use lw_doc::parse_document;
use lw_plat::HostEntry;
use lw_stand::FakeHostList;
use tokio::net::TcpStream;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::task::AbortOnDropHandle;

use crate::ask::new_key;
use crate::demo_error::DemoError;
use crate::platform::{Platform, PlatformAddresses};
use crate::stand_options::StandOptions;
use crate::stand_settings::{StandSettings, read_text};
use crate::targets::Targets;

/// How often the host list looks which hosts are up.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
const PROBE_LIMIT: Duration = Duration::from_millis(500);

/// The running stand-ins of a settings file; they end when dropped.
pub struct Stand {
    platform: Platform,
    targets: Targets,
    _probe: AbortOnDropHandle<()>,
}

impl Stand {
    /// Starts all stand-ins.
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
        let probe = keep_list(platform.hosts.clone(), settings.hosts.clone());
        Ok(Self {
            platform,
            targets,
            _probe: AbortOnDropHandle::new(tokio::spawn(probe)),
        })
    }

    /// Returns one line about what runs and what it counted.
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

/// Runs the stand-ins until the process is interrupted, or prints a key.
///
/// # Errors
///
/// See [`Stand::start`].
pub async fn run_stand(options: &StandOptions) -> Result<(), DemoError> {
    if let Some(region) = &options.new_key {
        println!("{}", new_key(region));
        return Ok(());
    }
    let settings = options.settings.as_deref();
    let path = settings.ok_or(DemoError::Usage("give --settings FILE or --new-key REGION"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(DemoError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(DemoError::Signals)?;
    let stand = Stand::start(&StandSettings::read(path)?).await?;
    println!("{}", stand.text());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    println!("{}", stand.text());
    Ok(())
}

/// Shows those of `hosts` in the host list that take connections.
async fn keep_list(list: FakeHostList, hosts: Vec<HostEntry>) {
    let mut shown = Vec::new();
    loop {
        let mut live = Vec::new();
        for entry in &hosts {
            let connect = TcpStream::connect(&entry.caller_address);
            if matches!(tokio::time::timeout(PROBE_LIMIT, connect).await, Ok(Ok(_))) {
                live.push(entry.clone());
            }
        }
        if live != shown {
            list.set_hosts(live.clone());
            shown = live;
        }
        tokio::time::sleep(PROBE_PERIOD).await;
    }
}
