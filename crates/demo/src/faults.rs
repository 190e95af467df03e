//! Faults in turn.

use std::time::Duration;

use lw_daemon::Exit;
use lw_doc::{Document, PlannedStopEntry, ServiceKind, format_rfc3339};

use crate::demo_error::DemoError;
use crate::hosts::Hosts;
use crate::platform::Platform;
use crate::publisher::{Publisher, wall_now};
use crate::targets::Targets;

/// How long the key-value service is down; longer than the 5 s in which hosts stop proposing shard maps.
const OUTAGE: Duration = Duration::from_secs(8);
/// How long a lost host is missing; longer than the suspicion and the 8 s until its shards move.
const MISSING: Duration = Duration::from_secs(13);
/// How long an engine refuses connections.
const ENGINE_DOWN: Duration = Duration::from_secs(5);
/// How long a planned stop of a target lasts.
const STOP: Duration = Duration::from_secs(8);
/// How many streams of the failing engine break.
const BROKEN_STREAMS: u32 = 3;
/// The name of the planned stop.
const STOP_NAME: &str = "demonstration";

/// What the faults act on.
pub(crate) struct Faults<'a> {
    pub(crate) platform: &'a Platform,
    pub(crate) targets: &'a Targets,
    pub(crate) hosts: &'a mut Hosts,
    pub(crate) document: &'a Document,
    pub(crate) publisher: &'a Publisher,
}

/// The faults in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    KeyValueOutage,
    HostKilled,
    EngineFails,
    PlannedStop,
    RegionStop,
}

impl Fault {
    /// Every fault.
    pub(crate) const ALL: [Self; 5] = [
        Self::KeyValueOutage,
        Self::HostKilled,
        Self::EngineFails,
        Self::PlannedStop,
        Self::RegionStop,
    ];
}

impl Faults<'_> {
    /// Produces a fault and ends it.
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
        announce("the key-value service is down");
        self.platform.kv.set_outage(true);
        tokio::time::sleep(OUTAGE).await;
        self.platform.kv.set_outage(false);
        announce("the key-value service is back");
    }

    async fn kill_host(&mut self, round: usize) -> Result<(), DemoError> {
        let Some(host) = self.pick_host(round) else {
            return Ok(());
        };
        let Some(killed) = self.hosts.take(&host) else {
            return Ok(());
        };
        let plan = killed.plan;
        announce(&format!("host {host} is killed"));
        killed.daemon.kill().await;
        tokio::time::sleep(MISSING).await;
        announce(&format!("host {host} is replaced"));
        self.hosts.add(plan).await?;
        self.hosts.wait_for(1).await?;
        announce(&format!("the replacement of {host} is ready"));
        Ok(())
    }

    async fn fail_engine(&self) -> Result<(), DemoError> {
        let Some(engine) = self.pick_engine() else {
            return Ok(());
        };
        announce(&format!(
            "engine {engine} breaks streams, and then refuses connections"
        ));
        self.targets.break_streams(&engine, BROKEN_STREAMS);
        tokio::time::sleep(ENGINE_DOWN).await;
        self.targets.stop(&engine);
        tokio::time::sleep(ENGINE_DOWN).await;
        self.targets.restart(&engine).await?;
        announce(&format!("engine {engine} is back"));
        Ok(())
    }

    /// Stops a target by the document and a host by its planned stop.
    async fn planned_stop(&mut self, round: usize) -> Result<(), DemoError> {
        if let Some(engine) = self.pick_engine() {
            announce(&format!("planned stop of target {engine} is published"));
            self.stop_for_a_while(vec![engine]).await?;
        }
        let Some(host) = self.pick_host(round + 1) else {
            return Ok(());
        };
        let Some(leaving) = self.hosts.take(&host) else {
            return Ok(());
        };
        announce(&format!("planned stop of host {host}"));
        let exit = leaving.daemon.drain().await;
        announce(&format!(
            "host {host} ended with {}, and is replaced",
            exit.code()
        ));
        self.hosts.add(leaving.plan).await?;
        self.hosts.wait_for(1).await?;
        match exit {
            Exit::Ok => Ok(()),
            _ => Err(DemoError::TimedOut {
                what: format!("the planned stop of {host}"),
                limit_s: 90,
            }),
        }
    }

    /// Stops all targets of a service in one region, so that its requests are sent to another region.
    async fn region_stop(&self) -> Result<(), DemoError> {
        let Some((service, region)) = self.pick_service() else {
            return Ok(());
        };
        announce(&format!(
            "planned stop of all targets of {service} in {region} is published"
        ));
        let zones = &self.document.regions[&region].zones;
        let targets = self.document.targets.iter();
        let there =
            targets.filter(|(_, entry)| entry.service == service && zones.contains(&entry.zone));
        self.stop_for_a_while(there.map(|(name, _)| name.clone()).collect())
            .await
    }

    async fn stop_for_a_while(&self, targets: Vec<String>) -> Result<(), DemoError> {
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
        tokio::time::sleep(STOP).await;
        self.change(|next| {
            next.planned_stops.remove(STOP_NAME);
        })
        .await
    }

    /// Returns a model service that may run in every region, and the last of its regions.
    fn pick_service(&self) -> Option<(String, String)> {
        let mut services = self.document.services.iter();
        let (name, entry) = services.find(|(_, entry)| {
            let everywhere = entry.allowed_regions.is_empty() && entry.regions.len() > 1;
            entry.kind == ServiceKind::Model && everywhere
        })?;
        Some((name.clone(), entry.regions.last()?.clone()))
    }

    async fn change(&self, change: impl Fn(&mut Document)) -> Result<(), DemoError> {
        let addresses = self.hosts.gateway_addresses();
        let revision = self.publisher.change(addresses, change).await?;
        self.hosts.wait_for(revision).await?;
        announce(&format!("revision {revision} is in force everywhere"));
        Ok(())
    }

    /// Returns the name of a host, another one in each round.
    fn pick_host(&self, round: usize) -> Option<String> {
        let names: Vec<_> = self
            .hosts
            .iter()
            .map(|host| host.plan.host.clone())
            .collect();
        // Three steps, so that the rounds take turns over the regions.
        names.get((1 + round * 3) % names.len().max(1)).cloned()
    }

    fn pick_engine(&self) -> Option<String> {
        let models = self.document.engine.models.keys();
        let mut engines =
            models.filter_map(|service| self.targets.engine_of(self.document, service));
        engines.next().map(str::to_owned)
    }
}

fn announce(what: &str) {
    println!("FAULT: {what}");
}
