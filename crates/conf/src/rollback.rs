//! Publishing an older document as a new revision.

use lw_doc::Document;
use lw_plat::Kv;

use crate::chain::document_at;
use crate::head::Head;
use crate::service::read_head;
use crate::service_error::ConfigStoreError;

/// What a rollback publishes, to be given to [`crate::publish`].
#[derive(Clone, Debug)]
pub struct Rollback {
    /// The head to roll back from.
    pub head: Head,
    /// The older document.
    pub document: Document,
}

/// Loads the document of an older revision and the head that it replaces.
///
/// # Errors
///
/// Fails when the revision is not in the audit chain or the service fails.
pub async fn prepare_rollback(kv: &Kv, revision: u64) -> Result<Rollback, ConfigStoreError> {
    let missing = ConfigStoreError::NoRevision { revision };
    if revision == 0 {
        return Err(missing);
    }
    let head = read_head(kv).await?.head.ok_or(missing)?;
    let document = document_at(kv, &head, revision).await?;
    Ok(Rollback { head, document })
}
