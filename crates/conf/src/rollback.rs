//! Publishes an older document as a new revision.

use lw_doc::Document;
use lw_plat::Kv;

use crate::chain::document_at;
use crate::config_store_error::ConfigStoreError;
use crate::head::Head;
use crate::store::read_head;

/// The input of a rollback for [`crate::publish`].
#[derive(Clone, Debug)]
pub struct Rollback {
    /// The head to roll back from.
    pub head: Head,
    /// The older document.
    pub document: Document,
}

/// Loads the document of an older revision and the current head.
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
