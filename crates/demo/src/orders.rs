//! Waiting until a new region takes orders.

use std::time::{Duration, Instant};

use lw_base::Outcome;

use crate::traffic::Traffic;

const PAUSE: Duration = Duration::from_millis(500);
/// More than the 30 s for which the first shard map of a region refuses keys.
const LIMIT: Duration = Duration::from_secs(90);
/// Orders in a row that each region must complete; each goes to the shard of its own key.
const NEEDED: usize = 3;

/// Sends orders to each region until some in a row ran; returns false when a region took none in time.
///
/// The first shard map of a region answers keys as unknown for 30 s, because an earlier map may have been lost.
pub(crate) async fn wait_for_orders(traffic: &Traffic, regions: &[String]) -> bool {
    let start = Instant::now();
    for region in regions {
        let mut in_row = 0;
        while in_row < NEEDED {
            if start.elapsed() > LIMIT {
                return false;
            }
            match probe(traffic, region).await {
                Some(Outcome::Complete) => in_row += 1,
                _ => {
                    in_row = 0;
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
    true
}

/// Sends an order that counts in the verdict but not in the table.
async fn probe(traffic: &Traffic, region: &str) -> Option<Outcome> {
    let ask = traffic.workload.lock().order_in(region)?;
    let outcome = traffic.caller.call(&ask).await.outcome;
    if let Some(key) = ask.key() {
        traffic.tally.lock().orders.push((key.to_owned(), outcome));
    }
    outcome
}
