//! A request as the server hands it on.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method};
use lw_base::prelude::*;

use crate::plan::Plan;
use crate::prompt::Prompt;
use crate::route::Route;

/// The way of a request between hosts: to another region at most once, then to another host of a region at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Hop {
    /// It comes from a caller.
    Caller,
    /// It comes from a host of another region.
    Region,
    /// It comes from a host of this region and goes to a target.
    Near,
}

/// A request whose body has been read.
pub(crate) struct Incoming {
    /// The id of the caller's attempt, for logs.
    pub(crate) id: Arc<str>,
    pub(crate) method: Method,
    /// Path and query as they were sent.
    pub(crate) path: Arc<str>,
    /// The headers that travel on.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) received_at: MonoMs,
    /// When the caller stops waiting, or the route's time is over.
    pub(crate) deadline: MonoMs,
    /// The hosts that the request has passed.
    pub(crate) hop: Hop,
    /// The targets on which another host has tried the request, by hash.
    pub(crate) tried_before: Vec<u32>,
    /// The most targets on which the request may run here.
    pub(crate) max_runs: u32,
    /// The route at the arrival, whose limits hold to the end.
    pub(crate) route: Arc<Route>,
    /// The version of the configuration at the arrival, for logs.
    pub(crate) version: u64,
    /// The name of the service that was drawn at the arrival. Keys belong to one plan, and the plan may change while
    /// the request is open.
    pub(crate) service: Arc<str>,
    pub(crate) prompt: Prompt,
}

impl Incoming {
    /// Returns whether `region` may serve the request now: both the route at the arrival and the one that has taken
    /// its place must allow it.
    pub(crate) fn allows(&self, plan: &Plan, region: &str) -> bool {
        let path = self
            .path
            .split_once('?')
            .map_or(&*self.path, |(path, _)| path);
        let present = plan.routes.find(&self.route.host, path);
        self.route.allows(region) && present.is_none_or(|present| present.allows(region))
    }
}
