//! Settings and clients that the subcommands share.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use lw_base::WallMs;
use lw_doc::{ParsedDocument, parse_document};
use lw_plat::{HttpTimeouts, Kv, http_kv};

use crate::admin::Admin;
use crate::arguments::Arguments;
use crate::cli_error::CliError;
use crate::settings::Settings;

/// Environment variable with the operator's credential; a flag would expose it in process lists.
const OPERATOR_KEY_VARIABLE: &str = "LACEWINGSTILE_OPERATOR_KEY";
const KV_TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect_ms: 3_000,
    call_ms: 10_000,
};

/// Settings of a run, from the settings file, the flags and the environment.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) settings: Settings,
}

impl Context {
    /// Reads the settings file; flags and the environment variable override it.
    pub(crate) fn new(arguments: &Arguments) -> Result<Self, CliError> {
        let mut settings = match &arguments.settings {
            Some(file) => read_settings(file)?,
            None => Settings::default(),
        };
        let override_with = |setting: &mut Option<String>, flag: &Option<String>| {
            if flag.is_some() {
                setting.clone_from(flag);
            }
        };
        override_with(&mut settings.kv_address, &arguments.kv);
        override_with(&mut settings.admin_address, &arguments.admin);
        override_with(&mut settings.operator, &arguments.operator);
        override_with(
            &mut settings.operator_key,
            &std::env::var(OPERATOR_KEY_VARIABLE).ok(),
        );
        Ok(Self { settings })
    }

    /// Returns a client for the key-value service.
    pub(crate) fn kv(&self) -> Result<Kv, CliError> {
        let address = self.settings.kv_address.as_deref();
        let address = address.ok_or_else(|| missing("--kv", "kv_address"))?;
        check_address("--kv", address)?;
        Ok(http_kv(address, KV_TIMEOUTS))
    }

    /// Returns the address of the platform's store, which is its key-value service.
    pub(crate) fn kv_address(&self) -> Result<SocketAddr, CliError> {
        let address = self.settings.kv_address.as_deref();
        let address = address.ok_or_else(|| missing("--kv", "kv_address"))?;
        address.parse().map_err(|error| {
            CliError::Usage(format!(
                "--kv: `{address}` is not an address: {error}; give it as IP:PORT"
            ))
        })
    }

    /// Returns a client for the admin listener, or `None` if no address is given.
    pub(crate) fn admin(&self) -> Result<Option<Admin>, CliError> {
        let Some(address) = &self.settings.admin_address else {
            return Ok(None);
        };
        check_address("--admin", address)?;
        let key = self.settings.operator_key.clone();
        Ok(Some(Admin::new(address, key)))
    }

    /// Returns a client for the admin listener; fails if no address is given.
    pub(crate) fn required_admin(&self) -> Result<Admin, CliError> {
        self.admin()?
            .ok_or_else(|| missing("--admin", "admin_address"))
    }

    /// Returns the name of the operator; fails if none is given.
    pub(crate) fn operator(&self) -> Result<String, CliError> {
        let operator = self.settings.operator.clone();
        operator.ok_or_else(|| missing("--operator", "operator"))
    }
}

fn missing(flag: &str, field: &str) -> CliError {
    CliError::Usage(format!(
        "{flag} is missing; give it on the command line, or set `{field}` in the settings file"
    ))
}

fn check_address(flag: &str, address: &str) -> Result<(), CliError> {
    let parsed: Result<SocketAddr, _> = address.parse();
    parsed.map(drop).map_err(|_| {
        CliError::Usage(format!(
            "{flag}: `{address}` is not an IP address with a port; give one such as 127.0.0.1:9000"
        ))
    })
}

fn read_settings(file: &str) -> Result<Settings, CliError> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        CliError::Usage(format!(
            "{file}: the settings file cannot be read: {error}; check the path and its permissions"
        ))
    })?;
    lw_doc::parse_json(file, &text).map_err(|error| CliError::Usage(error.to_string()))
}

/// Reads and parses a document file.
pub(crate) fn read_document(file: &str) -> Result<ParsedDocument, CliError> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        CliError::Failed(format!(
            "{file}: the document cannot be read: {error}; check the path and its permissions"
        ))
    })?;
    parse_document(file, &text).map_err(CliError::Parse)
}

/// Returns the current wall clock time.
pub(crate) fn wall_now() -> WallMs {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |span| span.as_millis());
    WallMs(u64::try_from(millis).unwrap_or(u64::MAX))
}
