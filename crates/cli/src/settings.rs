//! Settings file of the command-line tool.

use std::net::SocketAddr;

use serde::Deserialize;

/// Settings, in JSON with comments; command-line flags override them.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Address of the key-value service.
    pub kv_address: Option<String>,
    /// Address of a daemon's admin listener.
    pub admin_address: Option<String>,
    /// Name of the operator, recorded in the audit log.
    pub operator: Option<String>,
    /// Credential of the operator for the admin listener.
    pub operator_key: Option<String>,
    /// Addresses of the gateway's own listeners; a target must not use them.
    pub gateway_addresses: Vec<SocketAddr>,
}
