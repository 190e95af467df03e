//! Errors of the command-line tool and their exit codes.

use lw_conf::{ConfigStoreError, PublishError};
use lw_doc::{Fault, ParseError, Warning};
use lw_plat::KvError;
use thiserror::Error;

/// Reason that a subcommand failed.
#[derive(Clone, Debug, PartialEq, Error)]
pub(crate) enum CliError {
    /// The arguments or the settings are invalid.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be parsed as a document.
    #[error("{0}")]
    Parse(ParseError),
    /// The document has faults.
    #[error("the document has {} faults, so it cannot be published; correct them and try again", .0.len())]
    Invalid(Vec<Fault>),
    /// The change has warnings that must be confirmed.
    #[error(
        "the change is dangerous and was not published; read the warnings, and repeat the command with --confirm if the change is intended"
    )]
    Unconfirmed(Vec<Warning>),
    /// The base revision is not the head, for example because another operator published first.
    #[error(
        "nothing was published: the change is based on revision {base_revision}, but the latest revision is {head_revision}; apply the change to revision {head_revision} and try again"
    )]
    Conflict {
        /// Latest published revision.
        head_revision: u64,
        /// Revision that the document is based on.
        base_revision: u64,
        /// Changes since the base revision, if they are known.
        changes: Option<Vec<lw_doc::Change>>,
    },
    /// A service is down, unreachable or did not reply.
    #[error("{0}")]
    Unavailable(String),
    /// Any other failure.
    #[error("{0}")]
    Failed(String),
}

impl CliError {
    /// Returns the exit code of the process.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Usage(_) => 2,
            Self::Parse(_) | Self::Invalid(_) | Self::Unconfirmed(_) => 3,
            Self::Conflict { .. } => 4,
            Self::Unavailable(_) => 5,
        }
    }

    /// Converts the error of a publication that is based on `base_revision`.
    pub(crate) fn from_publish(error: PublishError, base_revision: u64) -> Self {
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
            true => Self::Unavailable(format!(
                "key-value service: {error}; check its address and try again"
            )),
            false => Self::Failed(format!("key-value service: {error}")),
        }
    }
}
