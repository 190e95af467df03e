//! Publishes documents in the same way as the command-line tool.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lw_base::WallMs;
use lw_conf::{PublishError, PublishRequest, load_document, publish, read_head};
use lw_doc::Document;
use lw_plat::{HttpTimeouts, Kv, http_kv};
use uuid::Uuid;

use crate::demo_error::DemoError;
use crate::hosts::{Hosts, OPERATOR};

const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect_ms: 1_000,
    call_ms: 5_000,
};
/// Maximum number of tries of one operation, one second apart, while its result is unknown.
const MAX_TRIES: usize = 10;
const POLL_PERIOD: Duration = Duration::from_millis(2);
/// Limit of the wait for a revision; twice the time in which a revision must be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(22);

/// Publishes documents through the key-value service.
pub(crate) struct Publisher {
    kv: Kv,
}

impl Publisher {
    /// Creates a publisher that uses the key-value service at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            kv: http_kv(&address.to_string(), TIMEOUTS),
        }
    }

    /// Applies `change` to the newest document, publishes the result and returns its revision.
    pub(crate) async fn change(
        &self,
        gateway_addresses: Vec<SocketAddr>,
        change: impl Fn(&mut Document),
    ) -> Result<u64, DemoError> {
        let stored = read_head(&self.kv).await?;
        let mut next = match &stored.head {
            Some(head) => load_document(&self.kv, head).await?,
            None => Document::default(),
        };
        change(&mut next);
        let request = PublishRequest {
            base_revision: stored.head.as_ref().map_or(0, |head| head.mark.revision),
            base_digest: stored.head.as_ref().map(|head| head.mark.digest),
            next,
            operator: OPERATOR.to_owned(),
            operation: Uuid::now_v7(),
            wall: wall_now(),
            gateway_addresses,
            confirmed: true,
            known: None,
        };
        for _ in 0..MAX_TRIES {
            match publish(&self.kv, &request).await {
                Err(PublishError::Unknown) => tokio::time::sleep(Duration::from_secs(1)).await,
                result => return Ok(result?.entry.mark.revision),
            }
        }
        Err(PublishError::Unknown.into())
    }
}

/// Waits until the revision is in force on every host, and returns the time since `start` per region.
///
/// The time is `None` for a region in which the revision is not in force within the limit.
pub(crate) async fn time_until_in_force(
    hosts: &Hosts,
    regions: &[String],
    revision: u64,
    start: Instant,
) -> Vec<(String, Option<Duration>)> {
    let mut times: Vec<(String, Option<Duration>)> = regions
        .iter()
        .map(|region| (region.clone(), None))
        .collect();
    while times.iter().any(|(_, time)| time.is_none()) && start.elapsed() < IN_FORCE_LIMIT {
        for (region, time) in &mut times {
            if time.is_none() && hosts.all_have_revision(Some(region), revision) {
                *time = Some(start.elapsed());
            }
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    times
}

/// Returns the wall-clock time.
pub(crate) fn wall_now() -> WallMs {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    WallMs(since_epoch.map_or(0, |span| span.as_millis() as u64))
}
