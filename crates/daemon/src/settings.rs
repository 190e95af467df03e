//! Settings of the daemon.

use std::net::SocketAddr;
use std::path::Path;

use lw_doc::{Digest, parse_json};
use lw_gate::Operator;
use serde::Deserialize;

use crate::settings_error::SettingsError;

/// Minimum length of a peer key; shorter keys can be guessed.
const MIN_PEER_KEY_BYTES: usize = 16;

/// Settings of one host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Region of the host.
    pub region: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Addresses of the platform services.
    #[serde(default)]
    pub platform: PlatformSettings,
    /// Path of the configuration document, for a host without a key-value service.
    #[serde(default)]
    pub document_file: Option<String>,
    /// Key that authenticates this host to other hosts.
    pub peer_key: String,
    /// Keys that are accepted from other hosts in addition to `peer_key`, during a key rotation.
    #[serde(default)]
    pub peer_keys_accepted: Vec<String>,
    /// Model placement by this host while it holds the lease of its region; `None` disables it.
    #[serde(default)]
    pub placement: Option<PlacementSettings>,
    /// Operators who may use the admin listener.
    #[serde(default)]
    pub operators: Vec<OperatorSettings>,
    /// Peer addresses of hosts of the same region, to join its membership.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Peer addresses of hosts of other regions, to discover these regions.
    #[serde(default)]
    pub region_seeds: Vec<String>,
    /// Log level: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Maximum time that a planned stop waits for requests in flight, in milliseconds.
    #[serde(default = "default_drain_limit_ms")]
    pub drain_limit_ms: u64,
    /// Time that a planned stop gives callers to move to other hosts, in milliseconds.
    #[serde(default = "default_move_ms")]
    pub move_ms: u64,
    /// Worker threads of the caller listener, and of the peer listener.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
}

/// Addresses to listen on; port 0 picks a free port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for other hosts.
    pub peers: SocketAddr,
    /// Peer messages of other hosts, over nng.
    pub nng: SocketAddr,
    /// HTTP for operators and probes.
    pub admin: SocketAddr,
}

/// Addresses of the platform services; a service without an address is not used.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the key-value service.
    #[serde(default)]
    pub key_value: Option<String>,
    /// Address of the host list.
    #[serde(default)]
    pub host_list: Option<String>,
    /// Address of the directory for clients.
    #[serde(default)]
    pub directory: Option<String>,
    /// Address of the weight store.
    #[serde(default)]
    pub weights: Option<String>,
}

/// Limits of model placement on engines.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementSettings {
    /// Share of the weight store's load rate that the region may use, in loads per second.
    pub weight_loads_per_s: f64,
    /// Number of loads that may start at once.
    #[serde(default = "default_weight_burst")]
    pub weight_burst: u32,
}

/// An operator and the digest of the operator's token.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name of the operator.
    pub name: String,
    /// SHA-256 digest of the bearer token, in hex.
    pub token_digest: String,
}

fn default_log_level() -> String {
    "info".to_owned()
}

fn default_drain_limit_ms() -> u64 {
    660_000
}

fn default_weight_burst() -> u32 {
    2
}

fn default_move_ms() -> u64 {
    2_000
}

fn default_worker_threads() -> usize {
    2
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first error, with the file, the field or line, and what to change.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            file: file.clone(),
            error: error.to_string(),
        })?;
        Self::parse(&file, &text)
    }

    /// Parses and checks settings; `file` is the name of the source in errors.
    ///
    /// # Errors
    ///
    /// Returns the first error, with the file, the field or line, and what to change.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = parse_json(file, text)?;
        settings.check(file)?;
        Ok(settings)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let invalid = |field: &'static str, message: &str| SettingsError::Invalid {
            file: file.to_owned(),
            field: field.to_owned(),
            message: message.to_owned(),
        };
        for (field, value) in [
            ("host", &self.host),
            ("region", &self.region),
            ("zone", &self.zone),
        ] {
            if value.is_empty() {
                return Err(invalid(field, "is empty; give a name"));
            }
        }
        if self.peer_key.len() < MIN_PEER_KEY_BYTES {
            return Err(invalid(
                "peer_key",
                "is shorter than 16 characters; use a longer key",
            ));
        }
        for (index, key) in self.peer_keys_accepted.iter().enumerate() {
            if key.len() < MIN_PEER_KEY_BYTES {
                return Err(SettingsError::Invalid {
                    file: file.to_owned(),
                    field: format!("peer_keys_accepted.{index}"),
                    message: "is shorter than 16 characters; use a longer key".to_owned(),
                });
            }
        }
        if self.platform.key_value.is_none() && self.document_file.is_none() {
            let message = "is missing; set platform.key_value to the address of the key-value service, or set document_file for a host without one";
            return Err(invalid("platform.key_value", message));
        }
        if self.platform.key_value.is_some() && self.document_file.is_some() {
            let message = "is set together with platform.key_value; remove one of the two";
            return Err(invalid("document_file", message));
        }
        if let Some(placement) = &self.placement
            && !(placement.weight_loads_per_s > 0.0 && placement.weight_burst > 0)
        {
            let message = "has a value that is too low; set weight_loads_per_s above 0 and weight_burst to at least 1";
            return Err(invalid("placement", message));
        }
        if level_of(&self.log_level).is_none() {
            return Err(invalid(
                "log_level",
                "is not a known log level; use error, warn, info, debug or trace",
            ));
        }
        self.operators()
            .map(drop)
            .map_err(|name| SettingsError::Invalid {
                file: file.to_owned(),
                field: format!("operators.{name}.token_digest"),
                message: "is not a SHA-256 digest; give 64 hex digits".to_owned(),
            })
    }

    /// Returns the operators.
    ///
    /// # Errors
    ///
    /// Returns the name of the first operator with a malformed digest.
    pub(crate) fn operators(&self) -> Result<Vec<Operator>, String> {
        let operators = self.operators.iter().map(|entry| {
            let digest = Digest::from_hex(&entry.token_digest).ok_or_else(|| entry.name.clone())?;
            Ok(Operator {
                name: entry.name.clone(),
                token_digest: digest.0,
            })
        });
        operators.collect()
    }
}

/// Returns the log level with the given name, or `None` if there is none.
pub(crate) fn level_of(name: &str) -> Option<log::LevelFilter> {
    match name {
        "error" => Some(log::LevelFilter::Error),
        "warn" => Some(log::LevelFilter::Warn),
        "info" => Some(log::LevelFilter::Info),
        "debug" => Some(log::LevelFilter::Debug),
        "trace" => Some(log::LevelFilter::Trace),
        _ => None,
    }
}
