//! Tracks the targets across snapshots of the platform.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use lw_base::prelude::*;
use lw_mesh::StateVersion;

use crate::configuration::{ListedTarget, PlatformSnapshot};
use crate::host::short_hash;
use crate::plan::Plan;
use crate::target::Target;
use crate::target_load::TargetLoad;

/// Targets whose entries expired during a platform failure stay in use for this long: the entries reappear within two
/// seconds after the platform recovers.
const RETENTION_AFTER_FAILURE_MS: u64 = 2_000;
/// The platform counts as failing for this long after a failed call.
const PLATFORM_FAILURE_MS: u64 = 6_000;
/// This many entries that disappear at once have expired and were not removed by their targets.
const MIN_MASS_EXPIRY: usize = 2;
/// Added to the slow-start time, because an entry reaches a host some time after it was written.
const COLD_TIME_MARGIN_MS: u64 = 400;

#[derive(Debug)]
struct KnownTarget {
    listed: ListedTarget,
    load: Rc<RefCell<TargetLoad>>,
    /// Its entry was not read before.
    is_new: bool,
    /// The time until which the target is used although its entry has disappeared.
    retained_until: Option<MonoMs>,
}

/// What is known of an incarnation is kept for this long after its target was dropped: an entry that expired while the
/// platform was silent reappears when the platform returns.
const MEMORY_MS: u64 = 60_000;

/// Keeps the load of each incarnation, and decides how long targets whose entries disappeared stay in use.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    known: FastMap<Arc<str>, KnownTarget>,
    /// The loads of dropped incarnations, with the time at which each was dropped.
    dropped: FastMap<Arc<str>, (MonoMs, Rc<RefCell<TargetLoad>>)>,
    evacuated: FastSet<Arc<str>>,
    platform_failed_at: Option<MonoMs>,
}

impl TargetRegistry {
    /// Records that a call to the platform failed.
    pub fn record_platform_failure(&mut self, now: MonoMs) {
        self.platform_failed_at = Some(now);
    }

    /// Returns whether any target is retained although its entry has disappeared. Such a target is dropped unless its
    /// entry reappears in time.
    #[must_use]
    pub fn has_retained_targets(&self) -> bool {
        self.known
            .values()
            .any(|known| known.retained_until.is_some())
    }

    /// Builds the plan for a snapshot of the platform. `region_of` returns the region of an availability zone.
    pub fn plan(
        &mut self,
        now: MonoMs,
        snapshot: &PlatformSnapshot,
        region_of: impl Fn(&str) -> Option<Arc<str>>,
    ) -> Plan {
        self.update_targets(now, snapshot);
        let configuration = &snapshot.configuration;
        let mut plan = Plan {
            version: configuration.version,
            routes: configuration.routes.clone(),
            services: configuration.services.clone(),
            limits: configuration.limits,
            targets: vec![Vec::new(); configuration.services.len()],
            evacuated: snapshot.evacuated.clone(),
        };
        let readmitted_zones: Vec<Arc<str>> = self
            .evacuated
            .difference(&snapshot.evacuated)
            .cloned()
            .collect();
        self.evacuated.clone_from(&snapshot.evacuated);
        for (incarnation, known) in &self.known {
            let listed = &known.listed;
            let Some(service) = plan.services.key(&listed.service) else {
                continue;
            };
            let Some(region) = region_of(&listed.zone) else {
                continue;
            };
            if readmitted_zones.contains(&listed.zone) {
                // Targets of an evacuated zone may have been replaced or restarted during the evacuation.
                let cold_ms = plan.services[service].cold_ms;
                let mut load = known.load.borrow_mut();
                load.cold_until = load.cold_until.max(now.plus_ms(cold_ms));
            }
            plan.targets[service.index()].push(Target {
                id: listed.id.clone(),
                incarnation: incarnation.clone(),
                hash: short_hash(incarnation),
                service,
                address: listed.address,
                zone: listed.zone.clone(),
                region,
                slots: listed.slots,
                is_in_service: !listed.is_leaving,
                load: known.load.clone(),
            });
        }
        plan
    }

    fn update_targets(&mut self, now: MonoMs, snapshot: &PlatformSnapshot) {
        self.dropped
            .retain(|_, (at, _)| now.since_ms(*at) < MEMORY_MS);
        let mut present: FastSet<Arc<str>> = FastSet::default();
        for listed in &snapshot.targets {
            let incarnation: Arc<str> = format!("{}#{}", listed.id, listed.started_at_ms).into();
            present.insert(incarnation.clone());
            let dropped = &mut self.dropped;
            let known = self.known.entry(incarnation);
            let known = known.or_insert_with_key(|incarnation| {
                let load = dropped.remove(incarnation).map(|(_, load)| load);
                KnownTarget {
                    listed: ListedTarget {
                        version: StateVersion::default(),
                        ..listed.clone()
                    },
                    is_new: load.is_none(),
                    load: load.unwrap_or_default(),
                    retained_until: None,
                }
            });
            known.retained_until = None;
            if known.listed.version == listed.version {
                continue;
            }
            // A target that has reported that it drains never accepts requests again; an entry that says otherwise comes
            // from a copy of the store from before that report.
            let is_leaving = known.listed.is_leaving || listed.is_leaving;
            let is_new = std::mem::take(&mut known.is_new);
            known.listed = ListedTarget {
                is_leaving,
                ..listed.clone()
            };
            if listed.cold_left_ms > 0 {
                let mut load = known.load.borrow_mut();
                let until = now
                    .plus_ms(listed.cold_left_ms)
                    .plus_ms(COLD_TIME_MARGIN_MS);
                match is_new {
                    true => load.cold_until = until,
                    false => load.turn_cold(now, until),
                }
                log::info!(target_id = &*listed.id, started_at_ms = listed.started_at_ms, cold_left_ms = listed.cold_left_ms, version = listed.version.to_string().as_str(); "a target is listed as cold");
            }
        }
        let disappeared = self.known.iter().filter(|(incarnation, known)| {
            known.retained_until.is_none() && !present.contains(*incarnation)
        });
        let is_platform_failing = disappeared.count() >= MIN_MASS_EXPIRY
            || self
                .platform_failed_at
                .is_some_and(|at| now.since_ms(at) < PLATFORM_FAILURE_MS);
        let ids: FastSet<Arc<str>> = snapshot
            .targets
            .iter()
            .map(|listed| listed.id.clone())
            .collect();
        self.known.retain(|incarnation, known| {
            if present.contains(incarnation) {
                return true;
            }
            let retention_ms = if is_platform_failing {
                RETENTION_AFTER_FAILURE_MS
            } else {
                0
            };
            let until = *known
                .retained_until
                .get_or_insert(now.plus_ms(retention_ms));
            let is_replaced = ids.contains(&known.listed.id);
            let is_kept = !is_replaced && !known.listed.is_leaving && now < until;
            if !is_kept {
                let load = known.load.clone();
                if known.listed.is_leaving {
                    load.borrow_mut().health.record_leaving();
                }
                self.dropped.insert(incarnation.clone(), (now, load));
            }
            is_kept
        });
    }
}
