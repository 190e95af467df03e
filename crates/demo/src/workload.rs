//! The random mix of requests.

use std::collections::BTreeMap;

use lw_base::PriorityClass;
use lw_doc::{Document, ServiceKind};
use lw_stand::whole_answer;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::demo_request::{DemoRequest, RequestKind, TrafficClass, chat_body, new_idempotency_key};

/// Orders per 10 requests to plain services.
const ORDERS_OF_10: u32 = 2;
/// Requests to plain services per 10 requests.
const PLAIN_OF_10: u32 = 6;
/// Requests to batch services per 10 requests; the rest go to interactive model services.
const BATCH_OF_10: u32 = 1;
/// Number of shared prefixes of prompts, so that prefix caches get hits.
const PREFIXES: u32 = 12;

/// Weight of a customer without a rate limit; that of other customers is their limit in requests per second.
const UNLIMITED_WEIGHT: f64 = 20.0;

/// A customer of the document.
#[derive(Clone, Debug)]
pub(crate) struct Customer {
    name: String,
    home_region: Option<String>,
    /// The relative share of the traffic, from the customer's rate limit.
    weight: f64,
}

/// Generates random requests to the services of a document.
pub(crate) struct Workload {
    rng: ChaCha8Rng,
    plain: Vec<String>,
    interactive: Vec<String>,
    batch: Vec<String>,
    customers: Vec<Customer>,
    /// The regions to which each service is restricted; empty if it may run in every region.
    allowed: BTreeMap<String, Vec<String>>,
    regions: Vec<String>,
    has_orders: bool,
}

impl Workload {
    /// Creates a workload for the services and customers of a document, without orders until [`Self::start_orders`].
    pub(crate) fn new(document: &Document, seed: u64) -> Self {
        let services = |wanted: fn(ServiceKind, PriorityClass) -> bool| {
            let found = document.services.iter();
            let found = found.filter(move |(_, entry)| wanted(entry.kind, entry.priority));
            found.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        };
        let allowed = document.services.iter();
        Self {
            allowed: allowed
                .map(|(name, entry)| (name.clone(), entry.allowed_regions.clone()))
                .collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            plain: services(|kind, _| kind == ServiceKind::Plain),
            interactive: services(|kind, priority| {
                kind == ServiceKind::Model && priority != PriorityClass::Batch
            }),
            batch: services(|kind, priority| {
                kind == ServiceKind::Model && priority == PriorityClass::Batch
            }),
            customers: customers_of(document),
            regions: document.regions.keys().cloned().collect(),
            has_orders: false,
        }
    }

    /// Adds orders to the mix.
    pub(crate) fn start_orders(&mut self) {
        self.has_orders = true;
    }

    /// Generates the next request.
    pub(crate) fn next(&mut self) -> DemoRequest {
        let draw = self.rng.random_range(0..10);
        if draw < PLAIN_OF_10
            && let Some(service) = self.plain.choose(&mut self.rng).cloned()
        {
            return self.plain_request(&service);
        }
        let is_batch = draw < PLAIN_OF_10 + BATCH_OF_10;
        let (services, class) = match is_batch {
            true => (&self.batch, TrafficClass::Batch),
            false => (&self.interactive, TrafficClass::Interactive),
        };
        let service = services.choose(&mut self.rng).cloned().unwrap_or_default();
        self.chat_request(&service, class)
    }

    /// Returns an order in a region, or `None` if there is no plain service or no customer for the region.
    pub(crate) fn order_in(&mut self, region: &str) -> Option<DemoRequest> {
        let service = self.plain.first()?;
        let customer = customer_in(&self.customers, region)?;
        Some(order(service, &customer, region))
    }

    fn plain_request(&mut self, service: &str) -> DemoRequest {
        let (customer, region) = self.choose_customer(service);
        if self.has_orders && self.rng.random_range(0..10) < ORDERS_OF_10 {
            return order(service, &customer, &region);
        }
        let item = self.rng.random_range(1..100);
        DemoRequest {
            kind: RequestKind::Lookup,
            class: TrafficClass::Lookup,
            region,
            customer,
            path: format!("/s/{service}/items/{item}"),
            body: bytes::Bytes::new(),
        }
    }

    fn chat_request(&mut self, service: &str, class: TrafficClass) -> DemoRequest {
        let (customer, region) = self.choose_customer(service);
        let (repeats, max_tokens) = match class {
            TrafficClass::Batch => (60, self.rng.random_range(20..60)),
            _ => (4, self.rng.random_range(4..16)),
        };
        let prefix = self.rng.random_range(0..PREFIXES);
        let number: u32 = self.rng.random();
        let text = format!("page {prefix} of the book of {service} ").repeat(repeats);
        let prompt = format!("{text}question {number}");
        let stream = self.rng.random_bool(0.5);
        DemoRequest {
            kind: RequestKind::Chat {
                stream,
                answer: whole_answer(&prompt, max_tokens),
            },
            class,
            region,
            customer,
            path: "/v1/chat/completions".to_owned(),
            body: chat_body(service, &prompt, max_tokens, stream)
                .to_string()
                .into(),
        }
    }

    /// Selects a random customer, and the region in which it calls the service.
    fn choose_customer(&mut self, service: &str) -> (String, String) {
        let allowed = self
            .allowed
            .get(service)
            .filter(|regions| !regions.is_empty());
        let allowed = allowed.unwrap_or(&self.regions);
        let home_allowed = |customer: &&Customer| {
            let home_region = customer.home_region.as_ref();
            home_region.is_none_or(|home_region| allowed.contains(home_region))
        };
        let callers: Vec<&Customer> = self.customers.iter().filter(home_allowed).collect();
        let drawn = callers.choose_weighted(&mut self.rng, |customer| customer.weight);
        let Ok(customer) = drawn else {
            return Default::default();
        };
        let region = customer.home_region.as_ref();
        let region = region.or_else(|| allowed.choose(&mut self.rng));
        (customer.name.clone(), region.cloned().unwrap_or_default())
    }
}

/// Returns the customers of a document.
pub(crate) fn customers_of(document: &Document) -> Vec<Customer> {
    let customers = document.customers.iter();
    customers
        .map(|(name, entry)| Customer {
            name: name.clone(),
            home_region: entry.home_region.clone(),
            weight: entry.requests_per_s.unwrap_or(UNLIMITED_WEIGHT),
        })
        .collect()
}

/// Returns a customer that may call in the region, preferably one with this home region.
pub(crate) fn customer_in(customers: &[Customer], region: &str) -> Option<String> {
    let is_home = |customer: &Customer| customer.home_region.as_deref() == Some(region);
    let may_call = customers
        .iter()
        .filter(|one| one.home_region.is_none() || is_home(one));
    let chosen = may_call.max_by_key(|customer| is_home(customer));
    chosen.map(|customer| customer.name.clone())
}

fn order(service: &str, customer: &str, region: &str) -> DemoRequest {
    DemoRequest {
        kind: RequestKind::Order {
            key: new_idempotency_key(region),
        },
        class: TrafficClass::Order,
        region: region.to_owned(),
        customer: customer.to_owned(),
        path: format!("/s/{service}/orders"),
        body: "{\"item\":\"one\"}".into(),
    }
}
