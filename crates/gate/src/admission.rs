//! The admission queues of a host, one per service.

use std::sync::Arc;

use lw_admit::QueueConfig;
use lw_base::prelude::*;
use lw_route::RouteView;
use parking_lot::RwLock;

use crate::service_door::ServiceDoor;

/// The queues and retry budgets of all services. They are held by name and outlive revisions.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    doors: RwLock<FastMap<Arc<str>, Arc<ServiceDoor>>>,
}

impl Admission {
    /// Returns the door of a service of `view`.
    pub(crate) fn door(
        &self,
        view: &RouteView,
        service: ServiceKey,
        hosts: u32,
    ) -> Arc<ServiceDoor> {
        let name = view.fleet().services.name(service);
        if let Some(door) = self.doors.read().get(name) {
            return door.clone();
        }
        let config = config_of(view, service, hosts);
        let mut doors = self.doors.write();
        let door = doors.entry(name.clone());
        door.or_insert_with(|| Arc::new(ServiceDoor::new(config, hosts)))
            .clone()
    }

    /// Takes bounds and concurrency from `view`, and ends waits whose deadline has come.
    pub(crate) fn tick(&self, now: MonoMs, view: &RouteView, hosts: u32) {
        for (service, _, _) in view.fleet().services.iter() {
            let door = self.door(view, service, hosts);
            door.tick(now, config_of(view, service, hosts), hosts);
        }
    }

    /// Returns the number of waiting requests by service.
    pub(crate) fn waiting(&self) -> Vec<(Arc<str>, usize)> {
        let doors = self.doors.read();
        let entries = doors
            .iter()
            .map(|(name, door)| (name.clone(), door.waiting()));
        entries.collect()
    }
}

fn config_of(view: &RouteView, service: ServiceKey, hosts: u32) -> QueueConfig {
    let concurrency = view.host_concurrency(service, hosts);
    QueueConfig::of_service(&view.fleet().services[service], concurrency)
}
