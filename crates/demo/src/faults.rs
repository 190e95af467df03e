//! The faults that the demonstration produces one after the other.

use std::time::Duration;

use lw_daemon::Exit;
use lw_doc::{Document, PlannedStopEntry, ServiceKind, format_rfc3339};

use crate::demo_error::DemoError;
use crate::hosts::Hosts;
use crate::platform::Platform;
use crate::publisher::{Publisher, wall_now};
use crate::targets::Targets;

/// Duration of the key-value outage; longer than the 5 s after which hosts stop proposing shard maps.
const KEY_VALUE_OUTAGE: Duration = Duration::from_secs(8);
/// Time until a killed host is replaced; longer than the suspicion period and the 8 s until its shards move.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(13);
/// Duration of each phase of an engine failure: first aborted completions, then refused connections.
const ENGINE_FAILURE_PHASE: Duration = Duration::from_secs(5);
/// Duration of a planned stop of targets.
const PLANNED_STOP: Duration = Duration::from_secs(8);
/// Number of completions that the failing engine aborts.
const ABORTED_COMPLETIONS: u32 = 3;
/// The name of the planned stop in the document.
const STOP_NAME: &str = "demonstration";

/// The parts of the demonstration that the faults act on.
pub(crate) struct Faults<'a> {
    pub(crate) platform: &'a Platform,
    pub(crate) targets: &'a Targets,
    pub(crate) hosts: &'a mut Hosts,
    pub(crate) document: &'a Document,
    pub(crate) publisher: &'a Publisher,
}

/// A fault; the variants are in the order of production.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    KeyValueOutage,
    HostKilled,
    EngineFails,
    PlannedStop,
    RegionStop,
}

impl Fault {
    /// All faults, in the order of production.
    pub(crate) const ALL: [Self; 5] = [
        Self::KeyValueOutage,
        Self::HostKilled,
        Self::EngineFails,
        Self::PlannedStop,
        Self::RegionStop,
    ];
}

impl Faults<'_> {
    /// Produces a fault and waits until the affected part has recovered.
    pub(crate) async fn produce(&mut self, fault: Fault, round: usize) -> Result<(), DemoError> {
        match fault {
            Fault::KeyValueOutage => {
                self.outage().await;
                Ok(())
            }
            Fault::HostKilled => self.kill_host(round).await,
            Fault::EngineFails => self.fail_engine().await,
            Fault::PlannedStop => self.planned_stop(round).await,
            Fault::RegionStop => self.region_stop().await,
        }
    }

    async fn outage(&self) {
        print_fault("the key-value service is down");
        self.platform.kv.set_outage(true);
        tokio::time::sleep(KEY_VALUE_OUTAGE).await;
        self.platform.kv.set_outage(false);
        print_fault("the key-value service is back");
    }

    async fn kill_host(&mut self, round: usize) -> Result<(), DemoError> {
        let Some(host) = self.choose_host(round) else {
            return Ok(());
        };
        let Some(killed) = self.hosts.remove(&host) else {
            return Ok(());
        };
        let placement = killed.placement;
        print_fault(&format!("host {host} is killed"));
        killed.daemon.kill().await;
        tokio::time::sleep(REPLACEMENT_DELAY).await;
        print_fault(&format!("host {host} is replaced"));
        self.hosts.add(placement).await?;
        self.hosts.wait_for_revision(1).await?;
        print_fault(&format!("the replacement of {host} is ready"));
        Ok(())
    }

    async fn fail_engine(&self) -> Result<(), DemoError> {
        let Some(engine) = self.choose_engine() else {
            return Ok(());
        };
        print_fault(&format!(
            "engine {engine} breaks streams, and then refuses connections"
        ));
        self.targets.abort_completions(&engine, ABORTED_COMPLETIONS);
        tokio::time::sleep(ENGINE_FAILURE_PHASE).await;
        self.targets.stop(&engine);
        tokio::time::sleep(ENGINE_FAILURE_PHASE).await;
        self.targets.restart(&engine).await?;
        print_fault(&format!("engine {engine} is back"));
        Ok(())
    }

    /// Stops a target by a planned stop in the document, and then drains and replaces a host.
    async fn planned_stop(&mut self, round: usize) -> Result<(), DemoError> {
        if let Some(engine) = self.choose_engine() {
            print_fault(&format!("planned stop of target {engine} is published"));
            self.stop_targets_temporarily(vec![engine]).await?;
        }
        let Some(host) = self.choose_host(round + 1) else {
            return Ok(());
        };
        let Some(leaving) = self.hosts.remove(&host) else {
            return Ok(());
        };
        print_fault(&format!("planned stop of host {host}"));
        let exit = leaving.daemon.drain().await;
        print_fault(&format!(
            "host {host} ended with {}, and is replaced",
            exit.code()
        ));
        self.hosts.add(leaving.placement).await?;
        self.hosts.wait_for_revision(1).await?;
        match exit {
            Exit::Ok => Ok(()),
            _ => Err(DemoError::TimedOut {
                what: format!("the planned stop of {host}"),
                limit_s: 90,
            }),
        }
    }

    /// Stops all targets of a service in one region by a planned stop, so that its requests go to another region.
    async fn region_stop(&self) -> Result<(), DemoError> {
        let Some((service, region)) = self.choose_service() else {
            return Ok(());
        };
        print_fault(&format!(
            "planned stop of all targets of {service} in {region} is published"
        ));
        let zones = &self.document.regions[&region].zones;
        let targets = self.document.targets.iter();
        let stopped =
            targets.filter(|(_, entry)| entry.service == service && zones.contains(&entry.zone));
        self.stop_targets_temporarily(stopped.map(|(name, _)| name.clone()).collect())
            .await
    }

    async fn stop_targets_temporarily(&self, targets: Vec<String>) -> Result<(), DemoError> {
        let stop = PlannedStopEntry {
            targets,
            start: format_rfc3339(wall_now().plus_ms(1_000)),
            ..PlannedStopEntry::default()
        };
        self.change(|next| {
            next.planned_stops
                .insert(STOP_NAME.to_owned(), stop.clone());
        })
        .await?;
        tokio::time::sleep(PLANNED_STOP).await;
        self.change(|next| {
            next.planned_stops.remove(STOP_NAME);
        })
        .await
    }

    /// Returns a model service without region restrictions that runs in several regions, and the last of its regions.
    fn choose_service(&self) -> Option<(String, String)> {
        let mut services = self.document.services.iter();
        let (name, entry) = services.find(|(_, entry)| {
            let is_unrestricted = entry.allowed_regions.is_empty() && entry.regions.len() > 1;
            entry.kind == ServiceKind::Model && is_unrestricted
        })?;
        Some((name.clone(), entry.regions.last()?.clone()))
    }

    async fn change(&self, change: impl Fn(&mut Document)) -> Result<(), DemoError> {
        let addresses = self.hosts.gateway_addresses();
        let revision = self.publisher.change(addresses, change).await?;
        self.hosts.wait_for_revision(revision).await?;
        print_fault(&format!("revision {revision} is in force everywhere"));
        Ok(())
    }

    /// Returns the name of a host that depends on the round.
    fn choose_host(&self, round: usize) -> Option<String> {
        let names: Vec<_> = self
            .hosts
            .iter()
            .map(|host| host.placement.host.clone())
            .collect();
        // A step of 3 over the hosts, sorted by name, alternates between the regions.
        names.get((1 + round * 3) % names.len().max(1)).cloned()
    }

    fn choose_engine(&self) -> Option<String> {
        let models = self.document.engine.models.keys();
        let mut engines =
            models.filter_map(|service| self.targets.first_target_of(self.document, service));
        engines.next().map(str::to_owned)
    }
}

fn print_fault(what: &str) {
    println!("FAULT: {what}");
}
