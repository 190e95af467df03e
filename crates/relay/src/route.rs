//! Routes: which service runs a request, and what may be repeated.

use std::sync::Arc;

use lw_base::prelude::*;

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPolicy {
    /// It may run more than once.
    Repeatable,
    /// It may run once at most.
    Once,
}

/// How an answer is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// As a whole.
    Whole,
    /// Event by event.
    Events {
        /// Another target may go on after an event.
        resumable: bool,
    },
}

/// A part of the requests of a route.
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
    /// The host of the requests, in lower case.
    pub host: Arc<str>,
    /// What the path begins with.
    pub prefix: Arc<str>,
    /// The services that run the requests.
    pub services: Vec<WeightedService>,
    /// How often a request may run.
    pub run_policy: RunPolicy,
    /// How the answer is passed on.
    pub form: AnswerForm,
    /// The most targets on which a request may run.
    pub max_runs: u32,
    /// The longest time for which a request is kept, in milliseconds.
    pub timeout_ms: u64,
    /// The time in which an answer earns its full worth, in milliseconds.
    pub latency_goal_ms: u64,
    /// The rank, where zero is the most urgent.
    pub urgency: u8,
    /// The regions that may serve the requests; empty when all may.
    pub allowed_regions: Vec<Arc<str>>,
}

impl Route {
    /// Returns whether `region` may serve the requests.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.iter().any(|home| **home == *region)
    }

    /// Returns the service for a request; `draw` lies between 0 and 1.
    #[must_use]
    pub fn service(&self, draw: f64) -> Option<ServiceKey> {
        let total: f64 = self.services.iter().map(|entry| entry.weight).sum();
        let mut left = draw * total;
        for entry in &self.services {
            left -= entry.weight;
            if left < 0.0 {
                return Some(entry.service);
            }
        }
        self.services.last().map(|entry| entry.service)
    }
}

/// Routes by host and longest prefix.
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

    /// Returns the routes of a host.
    pub fn of_host(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.get(host).into_iter().flatten()
    }

    /// Returns the route with the longest prefix that begins `path`.
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
