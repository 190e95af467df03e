//! Operators, who publish through hosts.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lw_base::WallMs;
use lw_conf::{PublishError, PublishRequest};
use lw_doc::{CustomerEntry, Document};
use serde_json::json;
use uuid::Uuid;

use crate::faults::document::entry;
use crate::faults::host::Process;
use crate::faults::world::World;

/// How often an operator repeats an operation whose outcome is unknown.
const REPEATS: usize = 20;

/// Returns the wall-clock time.
pub(crate) fn wall() -> WallMs {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallMs(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Publishes a change of the document that a host holds, and a new customer that tells later whether the publication
/// is still in force. Returns the name of that customer, or why the publication was not accepted.
pub(crate) async fn publish(
    world: &World,
    process: &Process,
    change: impl FnOnce(&mut Document),
) -> Result<String, String> {
    let held = process.node.reader().load();
    let mut next = held
        .as_ref()
        .map(|held| (*held.document).clone())
        .unwrap_or_default();
    change(&mut next);
    let customer = format!("published-{}", world.next());
    let fields: CustomerEntry = entry(json!({})).map_err(|error| error.to_string())?;
    next.customers.insert(customer.clone(), fields);
    let request = PublishRequest {
        base_revision: held.as_ref().map_or(0, |held| held.mark.revision),
        base_digest: held.as_ref().map(|held| held.mark.digest),
        next,
        operator: "operator".to_owned(),
        operation: Uuid::now_v7(),
        wall: wall(),
        gateway_addresses: Vec::new(),
        confirmed: true,
        known: held,
    };
    for _ in 0..REPEATS {
        match process.node.publish(request.clone()).await {
            Ok(_) => {
                world.ledger.accepted.lock().push(customer.clone());
                return Ok(customer);
            }
            Err(PublishError::Unknown) => tokio::time::sleep(Duration::from_millis(200)).await,
            Err(PublishError::Invalid(faults)) => return Err(format!("{faults:?}")),
            Err(error) => return Err(error.to_string()),
        }
    }
    Err("the outcome stayed unknown".to_owned())
}
