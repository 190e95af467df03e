//! Waits until new regions accept orders.

use std::time::{Duration, Instant};

use lw_base::Outcome;

use crate::traffic::Traffic;

/// Pause after an order that was not executed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Limit of the whole wait; longer than the 30 s for which the first shard map of a region refuses keys.
const WAIT_LIMIT: Duration = Duration::from_secs(90);
/// Consecutive orders that each region must complete; each order goes to the shard of its own key.
const REQUIRED_CONSECUTIVE_ORDERS: usize = 3;

/// Sends orders to each region until [`REQUIRED_CONSECUTIVE_ORDERS`] consecutive ones complete.
///
/// Returns false if this takes longer than [`WAIT_LIMIT`].
///
/// For 30 s the first shard map of a region answers keys with the outcome unknown, because an earlier map may have been
/// lost.
pub(crate) async fn wait_for_orders(traffic: &Traffic, regions: &[String]) -> bool {
    let start = Instant::now();
    for region in regions {
        let mut consecutive = 0;
        while consecutive < REQUIRED_CONSECUTIVE_ORDERS {
            if start.elapsed() > WAIT_LIMIT {
                return false;
            }
            match send_check_order(traffic, region).await {
                Some(Outcome::Complete) => consecutive += 1,
                _ => {
                    consecutive = 0;
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
    true
}

/// Sends an order that is checked in the summary but not counted in the traffic table.
async fn send_check_order(traffic: &Traffic, region: &str) -> Option<Outcome> {
    let request = traffic.workload.lock().order_in(region)?;
    let outcome = traffic.caller.call(&request).await.outcome;
    if let Some(key) = request.key() {
        traffic.counts.lock().orders.push((key.to_owned(), outcome));
    }
    outcome
}
