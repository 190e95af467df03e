//! An accepted request in the form that the gateway works with.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method};
use lw_base::prelude::*;
use lw_doc::{Fleet, ServiceKind};
use lw_route::{RegionSet, allowed_regions};
use tokio_util::sync::CancellationToken;

/// What is known about a request. Entities are held by name, because keys change with each revision.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) id: RequestId,
    pub(crate) hop: Hop,
    pub(crate) service: Arc<str>,
    pub(crate) kind: ServiceKind,
    /// The account, or an empty name.
    pub(crate) customer: Arc<str>,
    pub(crate) class: PriorityClass,
    pub(crate) idempotent: bool,
    /// The idempotency key as the caller sent it.
    pub(crate) key: Option<Arc<str>>,
    /// The caller marked its first attempt.
    pub(crate) first_attempt: bool,
    pub(crate) method: Method,
    /// The path and query towards the target.
    pub(crate) path: Arc<str>,
    /// The headers that travel to the target.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The stable hash of the reusable prefix, and the prefill time that it saves.
    pub(crate) prefix: Option<(u64, f64)>,
    pub(crate) deadline: MonoMs,
    /// The regions that the sending host allows, by name; `None` for a request of a caller.
    pub(crate) sender_allowed: Option<Arc<[Arc<str>]>>,
    pub(crate) gone: CancellationToken,
}

impl Ask {
    /// Returns the regions that may process the request, by the rules of `fleet` and of the sending host.
    ///
    /// A service or customer that the revision does not name any more is allowed nowhere.
    pub(crate) fn allowed(&self, fleet: &Fleet) -> RegionSet {
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
