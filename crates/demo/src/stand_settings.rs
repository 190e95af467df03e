//! Settings of `lacewingstile-stand`.

use std::net::SocketAddr;
use std::path::Path;

use lw_doc::parse_json;
use lw_plat::HostEntry;
use serde::Deserialize;

use crate::demo_error::DemoError;

/// The addresses of the fakes, and what they serve.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandSettings {
    /// The key-value service.
    pub key_value: SocketAddr,
    /// The host list and the directory.
    pub host_list: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// The document whose targets are faked; a relative path is resolved from the directory of the settings file.
    pub document: String,
    /// The hosts that the host list contains while they accept connections from callers.
    pub hosts: Vec<HostEntry>,
}

impl StandSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read, or the first parse error with file and position.
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
