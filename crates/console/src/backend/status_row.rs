//! Rows of the host status table.

/// The status of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusRow {
    /// The host.
    pub host: String,
    /// Its region.
    pub region: String,
    /// Its availability zone.
    pub zone: String,
    /// Its state, like `alive` or `leaving`.
    pub state: String,
    /// The revision in force on the host, when known.
    pub revision: Option<u64>,
}
