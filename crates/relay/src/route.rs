//! Routes: the service that runs a request, and whether the request may be retried.

use std::sync::Arc;

use lw_base::prelude::*;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPolicy {
    /// It may run more than once.
    Repeatable,
    /// It may run at most once.
    Once,
}

/// How an answer is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// As one message.
    Whole,
    /// As a stream of events.
    Events {
        /// Another target may continue the stream after an event.
        resumable: bool,
    },
}

/// A service with its share of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceKey,
    /// Its weight among the others.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host name of the requests, in lower case.
    pub host: Arc<str>,
    /// The prefix of the request path.
    pub prefix: Arc<str>,
    /// The services that run the requests.
    pub services: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub run_policy: RunPolicy,
    /// How the answer is forwarded.
    pub form: AnswerForm,
    /// The maximum number of targets on which a request may run.
    pub max_runs: u32,
    /// The time after which a request is abandoned, in milliseconds.
    pub timeout_ms: u64,
    /// The latency up to which an answer has its full value, in milliseconds.
    pub latency_goal_ms: u64,
    /// The scheduling urgency; zero is the most urgent.
    pub urgency: u8,
    /// The regions that may serve the requests; empty when all may.
    pub allowed_regions: Vec<Arc<str>>,
}

impl Route {
    /// Returns whether `region` may serve the requests.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        self.allowed_regions.is_empty()
            || self
                .allowed_regions
                .iter()
                .any(|allowed| **allowed == *region)
    }

    /// Returns the service for a request; `draw` is a random number from 0 to 1.
    #[must_use]
    pub fn service(&self, draw: f64) -> Option<ServiceKey> {
        let total: f64 = self.services.iter().map(|entry| entry.weight).sum();
        let mut remaining_weight = draw * total;
        for entry in &self.services {
            remaining_weight -= entry.weight;
            if remaining_weight < 0.0 {
                return Some(entry.service);
            }
        }
        self.services.last().map(|entry| entry.service)
    }
}

/// Routes by host name and longest path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: FastMap<Arc<str>, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds the table.
    #[must_use]
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host: FastMap<Arc<str>, Vec<Arc<Route>>> = FastMap::default();
        for route in routes {
            let of_host = by_host.entry(route.host.clone()).or_default();
            of_host.push(Arc::new(route));
        }
        for of_host in by_host.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the routes of a host name.
    pub fn of_host(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.get(host).into_iter().flatten()
    }

    /// Returns the route with the longest prefix of `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            match port.bytes().all(|byte| byte.is_ascii_digit()) {
                true => name,
                false => host,
            }
        });
        let of_host = match self.by_host.get(host) {
            Some(of_host) => of_host,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        of_host
            .iter()
            .find(|route| path.starts_with(&*route.prefix))
    }
}
