//! The targets from one word of the platform to the next.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use lw_base::prelude::*;

use crate::configuration::{ListedTarget, PlatformSnapshot};
use crate::host::short_hash;
use crate::plan::Plan;
use crate::target::Target;
use crate::target_load::TargetLoad;

/// Entries that lapsed while the platform had trouble are back within two seconds of its return.
const HOLD_MS: u64 = 2_000;
/// The platform counts as troubled for this long after a failed call.
const TROUBLE_MS: u64 = 6_000;
/// So many entries that vanish at once have lapsed rather than left.
const MASS: usize = 2;
/// An entry reaches a host some time after it was written.
const COLD_MARGIN_MS: u64 = 400;

#[derive(Debug)]
struct Known {
    listed: ListedTarget,
    load: Rc<RefCell<TargetLoad>>,
    /// Until when it is used although its entry has vanished.
    held_until: Option<MonoMs>,
}

/// Keeps the load of each incarnation, and decides on entries that vanish.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    known: FastMap<Arc<str>, Known>,
    evacuated: FastSet<Arc<str>>,
    trouble_at: Option<MonoMs>,
}

impl TargetRegistry {
    /// Notes that the platform could not be asked.
    pub fn record_platform_failure(&mut self, now: MonoMs) {
        self.trouble_at = Some(now);
    }

    /// Returns whether entries are held that will be dropped if they do not return.
    #[must_use]
    pub fn has_held_targets(&self) -> bool {
        self.known.values().any(|known| known.held_until.is_some())
    }

    /// Builds the plan for a word of the platform. `region_of` returns the region of an availability zone.
    pub fn plan(
        &mut self,
        now: MonoMs,
        word: &PlatformSnapshot,
        region_of: impl Fn(&str) -> Option<Arc<str>>,
    ) -> Plan {
        self.take(now, word);
        let configuration = &word.configuration;
        let mut plan = Plan {
            version: configuration.version,
            routes: configuration.routes.clone(),
            services: configuration.services.clone(),
            limits: configuration.limits,
            targets: vec![Vec::new(); configuration.services.len()],
            evacuated: word.evacuated.clone(),
        };
        let taken_back: Vec<Arc<str>> = self
            .evacuated
            .difference(&word.evacuated)
            .cloned()
            .collect();
        self.evacuated.clone_from(&word.evacuated);
        for (incarnation, known) in &self.known {
            let listed = &known.listed;
            let Some(service) = plan.services.key(&listed.service) else {
                continue;
            };
            let Some(region) = region_of(&listed.zone) else {
                continue;
            };
            if taken_back.contains(&listed.zone) {
                // Targets of an evacuated zone may have been replaced or restarted behind it.
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
                takes_work: !listed.is_leaving,
                load: known.load.clone(),
            });
        }
        plan
    }

    fn take(&mut self, now: MonoMs, word: &PlatformSnapshot) {
        let mut present: FastSet<Arc<str>> = FastSet::default();
        for listed in &word.targets {
            let incarnation: Arc<str> = format!("{}#{}", listed.id, listed.started_at_ms).into();
            present.insert(incarnation.clone());
            let known = self.known.entry(incarnation).or_insert_with(|| Known {
                listed: ListedTarget {
                    revision: 0,
                    ..listed.clone()
                },
                load: Rc::default(),
                held_until: None,
            });
            known.held_until = None;
            if known.listed.revision == listed.revision {
                continue;
            }
            known.listed = listed.clone();
            let mut load = known.load.borrow_mut();
            load.cold_until = match listed.cold_left_ms {
                0 => load.cold_until,
                cold_ms => now.plus_ms(cold_ms + COLD_MARGIN_MS),
            };
        }
        let vanished = self.known.iter().filter(|(incarnation, known)| {
            known.held_until.is_none() && !present.contains(*incarnation)
        });
        let is_trouble = vanished.count() >= MASS
            || self
                .trouble_at
                .is_some_and(|at| now.since_ms(at) < TROUBLE_MS);
        let ids: FastSet<Arc<str>> = word
            .targets
            .iter()
            .map(|listed| listed.id.clone())
            .collect();
        self.known.retain(|incarnation, known| {
            if present.contains(incarnation) {
                return true;
            }
            let hold_ms = if is_trouble { HOLD_MS } else { 0 };
            let until = *known.held_until.get_or_insert(now.plus_ms(hold_ms));
            let is_replaced = ids.contains(&known.listed.id);
            !is_replaced && !known.listed.is_leaving && now < until
        });
    }
}
