//! Errors of the tool and their exit codes.

use lw_conf::{ConfigStoreError, PublishError};
use lw_doc::{Fault, ParseError, Warning};
use lw_plat::KvError;
use thiserror::Error;

/// Why a subcommand failed.
#[derive(Clone, Debug, PartialEq, Error)]
pub(crate) enum CliError {
    /// The arguments or the settings are wrong.
    #[error("{0}")]
    Usage(String),
    /// A file is not a document.
    #[error("{0}")]
    Parse(ParseError),
    /// The document has faults.
    #[error("the document has {} faults; nothing was published", .0.len())]
    Invalid(Vec<Fault>),
    /// The change needs confirmation.
    #[error("the change is dangerous; check the warnings and repeat with --confirm")]
    Unconfirmed(Vec<Warning>),
    /// Another operator published first.
    #[error(
        "revision {head_revision} is in force, not revision {base_revision}; apply your change to it and repeat"
    )]
    Conflict {
        /// The revision in force.
        head_revision: u64,
        /// The revision that the document was made from.
        base_revision: u64,
        /// What changed since, when it is known.
        changes: Option<Vec<lw_doc::Change>>,
    },
    /// A service is down, cannot be reached or did not answer.
    #[error("{0}")]
    Unavailable(String),
    /// Anything else.
    #[error("{0}")]
    Failed(String),
}

impl CliError {
    /// Returns the exit code.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Usage(_) => 2,
            Self::Parse(_) | Self::Invalid(_) | Self::Unconfirmed(_) => 3,
            Self::Conflict { .. } => 4,
            Self::Unavailable(_) => 5,
        }
    }

    /// Maps an error of publishing from `base_revision`.
    pub(crate) fn of_publish(error: PublishError, base_revision: u64) -> Self {
        match error {
            PublishError::Invalid(faults) => Self::Invalid(faults),
            PublishError::Unconfirmed(warnings) => Self::Unconfirmed(warnings),
            PublishError::Conflict {
                head_revision,
                changes,
            } => Self::Conflict {
                head_revision,
                base_revision,
                changes,
            },
            PublishError::Store(error) => error.into(),
            PublishError::Unchanged { .. } => Self::Failed(error.to_string()),
            PublishError::Unknown => Self::Unavailable(error.to_string()),
        }
    }
}

impl From<ConfigStoreError> for CliError {
    fn from(error: ConfigStoreError) -> Self {
        let unavailable = matches!(
            error,
            ConfigStoreError::Kv(KvError::Unavailable | KvError::Unreachable | KvError::ReplyLost)
        );
        match unavailable {
            true => Self::Unavailable(format!("key-value service: {error}")),
            false => Self::Failed(format!("key-value service: {error}")),
        }
    }
}
