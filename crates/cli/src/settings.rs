//! The settings file of the tool.

use std::net::SocketAddr;

use serde::Deserialize;

/// Settings, in JSON with comments; flags win over them.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The address of the key-value service.
    pub kv_address: Option<String>,
    /// The address of a daemon's admin listener.
    pub admin_address: Option<String>,
    /// The name of the operator in the audit.
    pub operator: Option<String>,
    /// The operator's credential for the admin listener.
    pub operator_key: Option<String>,
    /// The addresses of the gateway's own listeners, which no target may have.
    pub gateway_addresses: Vec<SocketAddr>,
}
