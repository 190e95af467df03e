//! Simulated operators that publish configuration through hosts.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lw_base::WallMs;
use lw_conf::{PublishError, PublishRequest};
use lw_doc::{CustomerEntry, Document};
use serde_json::json;
use uuid::Uuid;

use crate::faults::document::parse_entry;
use crate::faults::host::Process;
use crate::faults::test_cluster::TestCluster;

/// Attempts to publish while the outcome of the operation is unknown.
const MAX_PUBLISH_ATTEMPTS: usize = 20;

/// Returns the current wall-clock time.
pub(crate) fn wall_now() -> WallMs {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallMs(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Publishes a change to the document of a host, together with a new marker customer.
///
/// A host whose document contains the marker has the publication. Returns the name of the marker, or the reason why the
/// publication was not accepted.
pub(crate) async fn publish(
    cluster: &TestCluster,
    process: &Process,
    change: impl FnOnce(&mut Document),
) -> Result<String, String> {
    let config = process.node.reader().load();
    let mut next = config
        .as_ref()
        .map(|config| (*config.document).clone())
        .unwrap_or_default();
    change(&mut next);
    let customer = format!("published-{}", cluster.next_number());
    let fields: CustomerEntry = parse_entry(json!({})).map_err(|error| error.to_string())?;
    next.customers.insert(customer.clone(), fields);
    let request = PublishRequest {
        base_revision: config.as_ref().map_or(0, |config| config.mark.revision),
        base_digest: config.as_ref().map(|config| config.mark.digest),
        next,
        operator: "operator".to_owned(),
        operation: Uuid::now_v7(),
        wall: wall_now(),
        gateway_addresses: Vec::new(),
        confirmed: true,
        known: config,
    };
    for _ in 0..MAX_PUBLISH_ATTEMPTS {
        match process.node.publish(request.clone()).await {
            Ok(_) => {
                cluster.observations.accepted.lock().push(customer.clone());
                return Ok(customer);
            }
            Err(PublishError::Unknown) => tokio::time::sleep(Duration::from_millis(200)).await,
            Err(PublishError::Invalid(faults)) => return Err(format!("{faults:?}")),
            Err(error) => return Err(error.to_string()),
        }
    }
    Err("the outcome is still unknown after all attempts".to_owned())
}
