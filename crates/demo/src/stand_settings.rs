//! Settings of the stand-in process.

use std::net::SocketAddr;
use std::path::Path;

use lw_doc::parse_json;
use lw_plat::HostEntry;
use serde::Deserialize;

use crate::demo_error::DemoError;

/// The addresses of the stand-ins.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandSettings {
    /// The key-value service.
    pub key_value: SocketAddr,
    /// The host list and the directory.
    pub host_list: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// The document whose targets are stood in for; a relative name starts at the settings file.
    pub document: String,
    /// The hosts that the host list shows while they take connections of callers.
    pub hosts: Vec<HostEntry>,
}

impl StandSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first fault with file and place.
    pub fn read(path: &Path) -> Result<Self, DemoError> {
        let mut settings: Self = parse_json(&path.display().to_string(), &read_text(path)?)?;
        let directory = path.parent().unwrap_or(Path::new("."));
        settings.document = directory.join(&settings.document).display().to_string();
        Ok(settings)
    }
}

/// Reads a file.
pub(crate) fn read_text(path: &Path) -> Result<String, DemoError> {
    std::fs::read_to_string(path).map_err(|error| DemoError::Unreadable {
        file: path.display().to_string(),
        error,
    })
}
