//! The `/admin/explain` endpoint: explains how a request would be routed.

use lw_base::prelude::*;
use lw_base::stable_hash;
use lw_doc::Fleet;
use lw_route::{Decision, Explanation, Query, allowed_regions};
use serde_json::{Value, json};

use crate::caller_service::json_reply;
use crate::gate::Gate;
use crate::problem::Problem;
use crate::query_string::query_value;
use crate::reply::Reply;

impl Gate {
    /// Explains the routing decision for the `service`, `customer` and shared `prefix` in the query string.
    pub(crate) fn explain(&self, query: &str) -> Reply {
        let view = self.router.view();
        let fleet = view.fleet();
        let service_name = query_value(query, "service").unwrap_or_default();
        let Some(service) = fleet.services.key(&service_name) else {
            let message = format!(
                "no service is named {service_name:?}; send ?service=<name> with a service of the configuration"
            );
            return Problem::new(ErrorKind::UnknownService, message).reply();
        };
        let customer_name = query_value(query, "customer").unwrap_or_default();
        let customer = fleet.customers.key(&customer_name);
        if customer.is_none() && !customer_name.is_empty() {
            let message = format!(
                "no customer is named {customer_name:?}; use a customer of the configuration, or leave out `customer`"
            );
            return Problem::new(ErrorKind::BadRequest, message).reply();
        }
        let allowed = allowed_regions(fleet, service, customer, None);
        let mut route_query = Query::new(service, allowed);
        route_query.prefix = query_value(query, "prefix").map(|text| stable_hash(text.as_bytes()));
        let admission = self
            .admission_control
            .service(&view, service, (self.hosts.live_hosts)());
        route_query.local_wait_ms = admission.expected_wait_ms(fleet.services[service].priority);
        let explanation = view.explain(self.clock.now(), &route_query);
        let mut body = explanation_json(fleet, &explanation);
        body["service"] = service_name.into();
        body["customer"] = customer_name.into();
        body["revision"] = fleet.revision.into();
        body["waiting"] = admission.queued_requests().into();
        json_reply(&body)
    }
}

fn explanation_json(fleet: &Fleet, explanation: &Explanation) -> Value {
    let regions: Vec<Value> = explanation
        .regions
        .iter()
        .map(|region| {
            json!({
                "region": &**fleet.regions.name(region.region),
                "allowed": region.allowed,
                "serves": region.serves,
                "use_ratio": region.use_ratio,
                "takes_spill": region.takes_spill,
            })
        })
        .collect();
    let targets: Vec<Value> = explanation
        .targets
        .iter()
        .map(|target| {
            json!({
                "target": &**fleet.targets.name(target.target),
                "source": format!("{:?}", target.source),
                "ruled_out": target.ruled_out.map(|reason| format!("{reason:?}")),
                "requests": target.requests,
                "wait_ms": target.wait_ms,
                "miss_ms": target.miss_ms,
                "score": target.score,
            })
        })
        .collect();
    json!({
        "decision": decision_json(fleet, explanation.decision),
        "spill_share": explanation.spill_share,
        "regions": regions,
        "targets": targets,
    })
}

fn decision_json(fleet: &Fleet, decision: Decision) -> Value {
    match decision {
        Decision::Target(target) => json!({"target": &**fleet.targets.name(target)}),
        Decision::Region(region) => json!({"region": &**fleet.regions.name(region)}),
        Decision::Refuse(refusal) => json!({"refused": refusal.kind.as_str()}),
    }
}
