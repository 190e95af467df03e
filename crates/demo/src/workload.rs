//! The mix of requests.

use std::collections::BTreeMap;

use lw_base::PriorityClass;
use lw_doc::{Document, ServiceKind};
use lw_stand::whole_answer;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::ask::{Ask, AskKind, Row, chat_body, new_key};

/// Of 10 requests to a plain service, this many are orders.
const ORDERS_OF_10: u32 = 2;
/// Of 10 requests, this many go to plain services; of the others, a third goes to each batch service.
const PLAIN_OF_10: u32 = 6;
const BATCH_OF_10: u32 = 1;
/// Prompts begin with one of so many texts, so that prefix caches have something to hold.
const PREFIXES: u32 = 12;

/// Requests per second of a customer without a limit, to compare with the limits of the others.
const UNLIMITED_WEIGHT: f64 = 20.0;

/// A customer of the document.
#[derive(Clone, Debug)]
pub(crate) struct Customer {
    name: String,
    home: Option<String>,
    /// The share of the traffic, in proportion to the customer's limit.
    weight: f64,
}

/// Draws requests for the services of a document.
pub(crate) struct Workload {
    rng: ChaCha8Rng,
    plain: Vec<String>,
    interactive: Vec<String>,
    batch: Vec<String>,
    customers: Vec<Customer>,
    /// The regions that a service is restricted to; none for every region.
    allowed: BTreeMap<String, Vec<String>>,
    regions: Vec<String>,
    orders: bool,
}

impl Workload {
    /// Reads services and customers from a document; orders are left out at first.
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
            interactive: services(|kind, class| {
                kind == ServiceKind::Model && class != PriorityClass::Batch
            }),
            batch: services(|kind, class| {
                kind == ServiceKind::Model && class == PriorityClass::Batch
            }),
            customers: customers_of(document),
            regions: document.regions.keys().cloned().collect(),
            orders: false,
        }
    }

    /// Adds orders to the mix.
    pub(crate) fn start_orders(&mut self) {
        self.orders = true;
    }

    /// Draws the next request.
    pub(crate) fn next(&mut self) -> Ask {
        let draw = self.rng.random_range(0..10);
        if draw < PLAIN_OF_10
            && let Some(service) = self.plain.choose(&mut self.rng).cloned()
        {
            return self.plain_ask(&service);
        }
        let is_batch = draw < PLAIN_OF_10 + BATCH_OF_10;
        let (services, row) = match is_batch {
            true => (&self.batch, Row::Batch),
            false => (&self.interactive, Row::Interactive),
        };
        let service = services.choose(&mut self.rng).cloned().unwrap_or_default();
        self.chat_ask(&service, row)
    }

    /// Builds an order in a region.
    pub(crate) fn order_in(&mut self, region: &str) -> Option<Ask> {
        let service = self.plain.first()?;
        let customer = customer_in(&self.customers, region)?;
        Some(order(service, &customer, region))
    }

    fn plain_ask(&mut self, service: &str) -> Ask {
        let (customer, region) = self.customer(service);
        if self.orders && self.rng.random_range(0..10) < ORDERS_OF_10 {
            return order(service, &customer, &region);
        }
        let item = self.rng.random_range(1..100);
        Ask {
            kind: AskKind::Lookup,
            row: Row::Lookup,
            region,
            customer,
            path: format!("/s/{service}/items/{item}"),
            body: bytes::Bytes::new(),
        }
    }

    fn chat_ask(&mut self, service: &str, row: Row) -> Ask {
        let (customer, region) = self.customer(service);
        let (repeats, max_tokens) = match row {
            Row::Batch => (60, self.rng.random_range(20..60)),
            _ => (4, self.rng.random_range(4..16)),
        };
        let prefix = self.rng.random_range(0..PREFIXES);
        let number: u32 = self.rng.random();
        let text = format!("page {prefix} of the book of {service} ").repeat(repeats);
        let prompt = format!("{text}question {number}");
        let stream = self.rng.random_bool(0.5);
        Ask {
            kind: AskKind::Chat {
                stream,
                answer: whole_answer(&prompt, max_tokens),
            },
            row,
            region,
            customer,
            path: "/v1/chat/completions".to_owned(),
            body: chat_body(service, &prompt, max_tokens, stream)
                .to_string()
                .into(),
        }
    }

    /// Draws a customer and the region that it calls in for the service.
    fn customer(&mut self, service: &str) -> (String, String) {
        let allowed = self
            .allowed
            .get(service)
            .filter(|regions| !regions.is_empty());
        let allowed = allowed.unwrap_or(&self.regions);
        let home_allowed = |customer: &&Customer| {
            let home = customer.home.as_ref();
            home.is_none_or(|home| allowed.contains(home))
        };
        let callers: Vec<&Customer> = self.customers.iter().filter(home_allowed).collect();
        let drawn = callers.choose_weighted(&mut self.rng, |customer| customer.weight);
        let Ok(customer) = drawn else {
            return Default::default();
        };
        let region = customer.home.as_ref();
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
            home: entry.home_region.clone(),
            weight: entry.requests_per_s.unwrap_or(UNLIMITED_WEIGHT),
        })
        .collect()
}

/// Returns a customer who may call from the region, those who are bound to it first.
pub(crate) fn customer_in(customers: &[Customer], region: &str) -> Option<String> {
    let bound = |customer: &Customer| customer.home.as_deref() == Some(region);
    let may_call = customers
        .iter()
        .filter(|one| one.home.is_none() || bound(one));
    let first = may_call.max_by_key(|customer| bound(customer));
    first.map(|customer| customer.name.clone())
}

fn order(service: &str, customer: &str, region: &str) -> Ask {
    Ask {
        kind: AskKind::Order {
            key: new_key(region),
        },
        row: Row::Order,
        region: region.to_owned(),
        customer: customer.to_owned(),
        path: format!("/s/{service}/orders"),
        body: "{\"item\":\"one\"}".into(),
    }
}
