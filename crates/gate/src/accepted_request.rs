//! Requests that passed the checks of the listener.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method};
use lw_base::prelude::*;
use lw_doc::{Fleet, ServiceKind};
use lw_route::{RegionSet, allowed_regions};
use tokio_util::sync::CancellationToken;

/// A request that passed the checks of the listener.
///
/// Services, customers and regions are stored by name, because their keys change with each revision.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedRequest {
    pub(crate) id: RequestId,
    pub(crate) hop: Hop,
    pub(crate) service: Arc<str>,
    pub(crate) kind: ServiceKind,
    /// The customer name; empty for a request without one.
    pub(crate) customer: Arc<str>,
    pub(crate) class: PriorityClass,
    pub(crate) idempotent: bool,
    /// The idempotency key as the caller sent it.
    pub(crate) key: Option<Arc<str>>,
    /// Whether the caller marked this as its first attempt.
    pub(crate) first_attempt: bool,
    pub(crate) method: Method,
    /// The path and query that the target receives.
    pub(crate) path: Arc<str>,
    /// The headers as received; the target receives a filtered copy.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The stable hash of the shared prefix, and the prefill time in milliseconds that a cached copy saves.
    pub(crate) prefix: Option<(u64, f64)>,
    pub(crate) deadline: MonoMs,
    /// The regions that the forwarding host allows, by name; `None` for a request that came from a caller.
    pub(crate) sender_allowed: Option<Arc<[Arc<str>]>>,
    pub(crate) caller_gone: CancellationToken,
}

impl AcceptedRequest {
    /// Returns the regions that the residency rules of both `fleet` and the forwarding host allow for the request.
    ///
    /// Returns the empty set when the revision no longer has the service or the customer.
    pub(crate) fn allowed_regions(&self, fleet: &Fleet) -> RegionSet {
        let Some(service) = fleet.services.key(&self.service) else {
            return RegionSet::EMPTY;
        };
        let customer = fleet.customers.key(&self.customer);
        if customer.is_none() && !self.customer.is_empty() {
            return RegionSet::EMPTY;
        }
        let sender = self.sender_allowed.as_ref().map(|names| {
            let keys = names.iter().filter_map(|name| fleet.regions.key(name));
            keys.collect::<RegionSet>()
        });
        allowed_regions(fleet, service, customer, sender)
    }
}
