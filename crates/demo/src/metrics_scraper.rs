//! Reads the metrics that the hosts export.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Time limit of one read.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(2);

/// The latest count of requests that each host sent to another region; stopped hosts keep their count.
pub(crate) struct MetricsScraper {
    client: Client<HttpConnector, Full<Bytes>>,
    hosts: BTreeMap<SocketAddr, u64>,
}

impl Default for MetricsScraper {
    fn default() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            hosts: BTreeMap::new(),
        }
    }
}

impl MetricsScraper {
    /// Reads `/metrics` of the hosts; a host that does not answer keeps its previous count.
    pub(crate) async fn read(&mut self, admin: impl IntoIterator<Item = SocketAddr>) {
        for address in admin {
            let text = tokio::time::timeout(SCRAPE_TIMEOUT, self.fetch(address)).await;
            if let Ok(Some(text)) = text {
                self.hosts.insert(address, region_attempts_in(&text));
            }
        }
    }

    /// Returns the number of requests that were sent to another region, over all hosts.
    pub(crate) fn region_attempts(&self) -> u64 {
        self.hosts.values().sum()
    }

    async fn fetch(&self, address: SocketAddr) -> Option<String> {
        let uri = format!("http://{address}/metrics").parse().ok()?;
        let response = self.client.get(uri).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some(String::from_utf8_lossy(&body).into_owned())
    }
}

fn region_attempts_in(text: &str) -> u64 {
    let is_region = |line: &&str| {
        line.starts_with("lacewingstile_attempts_total{") && line.contains("type=\"region\"")
    };
    let counts = text.lines().filter(is_region);
    counts
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}
