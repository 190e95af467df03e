//! The decision that travels with a forwarded request, so that each host on its way decides by the same configuration or by
//! a newer one.

use std::fmt::{Display, Formatter};
use std::net::Ipv4Addr;
use std::str::FromStr;

use lw_base::prelude::*;

use crate::plan::Plan;
use crate::route::Route;

/// What the host that forwards a request has decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ForwardedDecision {
    /// The version of the configuration.
    pub(crate) version: u64,
    /// The hash of the service.
    pub(crate) service: u32,
    /// The address of the host, which has the configuration.
    pub(crate) host: Ipv4Addr,
}

impl ForwardedDecision {
    /// Returns whether `plan` is older than the configuration of the decision.
    pub(crate) fn is_newer_than(&self, plan: &Plan) -> bool {
        self.version > plan.version
    }

    /// Returns the service of the decision if the route still sends requests to it.
    pub(crate) fn service(&self, plan: &Plan, route: &Route) -> Option<ServiceKey> {
        let mut weighted = route.services.iter().filter(|entry| entry.weight > 0.0);
        let entry = weighted.find(|entry| plan.services[entry.service].hash == self.service);
        entry.map(|entry| entry.service)
    }
}

/// The error of a text that is not a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected VERSION SERVICE ADDRESS")]
pub(crate) struct ForwardedDecisionError;

impl Display for ForwardedDecision {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} {} {}", self.version, self.service, self.host)
    }
}

impl FromStr for ForwardedDecision {
    type Err = ForwardedDecisionError;

    /// Parses `VERSION SERVICE ADDRESS`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split(' ');
        let [Some(version), Some(service), Some(host), None] = [(); 4].map(|()| fields.next())
        else {
            return Err(ForwardedDecisionError);
        };
        Ok(Self {
            version: version.parse().map_err(|_| ForwardedDecisionError)?,
            service: service.parse().map_err(|_| ForwardedDecisionError)?,
            host: host.parse().map_err(|_| ForwardedDecisionError)?,
        })
    }
}
