//! Admission control of a host, per service.

use std::sync::Arc;

use lw_admit::QueueConfig;
use lw_base::prelude::*;
use lw_route::RouteView;
use parking_lot::RwLock;

use crate::service_admission::ServiceAdmission;

/// The admission queues and retry budgets of all services, by service name, because keys change with each revision.
#[derive(Debug, Default)]
pub(crate) struct AdmissionControl {
    services: RwLock<FastMap<Arc<str>, Arc<ServiceAdmission>>>,
}

impl AdmissionControl {
    /// Returns the admission queue and retry budget of a service of `view`, creating them on first use.
    pub(crate) fn service(
        &self,
        view: &RouteView,
        service: ServiceKey,
        live_hosts: u32,
    ) -> Arc<ServiceAdmission> {
        let name = view.fleet().services.name(service);
        if let Some(admission) = self.services.read().get(name) {
            return admission.clone();
        }
        let config = queue_config(view, service, live_hosts);
        let mut services = self.services.write();
        let entry = services.entry(name.clone());
        entry
            .or_insert_with(|| Arc::new(ServiceAdmission::new(config, live_hosts)))
            .clone()
    }

    /// Updates queue limits and concurrency from `view`, and expires queued requests.
    pub(crate) fn tick(&self, now: MonoMs, view: &RouteView, live_hosts: u32) {
        for (service, _, _) in view.fleet().services.iter() {
            let admission = self.service(view, service, live_hosts);
            admission.tick(now, queue_config(view, service, live_hosts), live_hosts);
        }
    }

    /// Returns the number of queued requests by service.
    pub(crate) fn queued_requests(&self) -> Vec<(Arc<str>, usize)> {
        let services = self.services.read();
        let entries = services
            .iter()
            .map(|(name, admission)| (name.clone(), admission.queued_requests()));
        entries.collect()
    }
}

fn queue_config(view: &RouteView, service: ServiceKey, live_hosts: u32) -> QueueConfig {
    let concurrency = view.host_concurrency(service, live_hosts);
    QueueConfig::of_service(&view.fleet().services[service], concurrency)
}
