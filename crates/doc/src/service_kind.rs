//! Kinds of services.

use serde::{Deserialize, Serialize};

/// The kind of targets that serve a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engines behind `/v1/chat/completions`.
    Model,
    /// Plain HTTP services behind `/s/<service>/`.
    Plain,
}
