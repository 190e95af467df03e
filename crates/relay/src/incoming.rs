//! A request whose head and body were read.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method};
use lw_base::prelude::*;
use lw_quarantine::{PartKey, Suspects};

use crate::held_memory::HeldRoom;
use crate::plan::Plan;
use crate::prompt::Prompt;
use crate::route::Route;

/// Where a request came from. A request is forwarded at most once to another region, and then at most once to another
/// host of that region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Hop {
    /// From a caller.
    Caller,
    /// From a host of another region.
    Region,
    /// From a host of this region; the request goes to a target next.
    Near,
}

/// A request whose body has been read.
pub(crate) struct Incoming {
    /// The id of the caller's attempt, for logs.
    pub(crate) id: Arc<str>,
    pub(crate) method: Method,
    /// Path and query as they were sent.
    pub(crate) path: Arc<str>,
    /// The headers to forward.
    pub(crate) headers: HeaderMap,
    /// The body; it is empty once the request can no longer be sent again.
    pub(crate) body: Bytes,
    /// The room for the request besides its body.
    pub(crate) _room: HeldRoom,
    pub(crate) received_at: MonoMs,
    /// The earlier of the caller's deadline and the end of the route's timeout.
    pub(crate) deadline: MonoMs,
    /// Where the request came from.
    pub(crate) hop: Hop,
    /// The hashes of the targets on which another host has tried the request.
    pub(crate) tried_before: Vec<u32>,
    /// The maximum number of runs that this host may start.
    pub(crate) max_runs: u32,
    /// The route at the time of arrival; its limits apply until the request ends.
    pub(crate) route: Arc<Route>,
    /// The version of the configuration at the time of arrival.
    pub(crate) version: u64,
    /// The name of the service that was drawn on arrival. It is a name and not a key, because keys are valid for one
    /// plan only and the plan may change while the request is in flight.
    pub(crate) service: Arc<str>,
    /// The hash of the service.
    pub(crate) service_hash: u32,
    pub(crate) prompt: Prompt,
    /// The same for each copy of the request, at any host.
    pub(crate) request_key: PartKey,
}

impl Incoming {
    /// Returns what of the request may crash targets.
    pub(crate) fn suspects(&self) -> Suspects<'_> {
        Suspects {
            parts: &self.prompt.shared_parts,
            request: Some(self.request_key),
        }
    }

    /// Returns whether `region` may serve the request now: both the route at the time of arrival and the route that
    /// matches in the current plan must allow it.
    pub(crate) fn allows(&self, plan: &Plan, region: &str) -> bool {
        let path = self
            .path
            .split_once('?')
            .map_or(&*self.path, |(path, _)| path);
        let current = plan.routes.find(&self.route.host, path);
        self.route.allows(region) && current.is_none_or(|current| current.allows(region))
    }
}
