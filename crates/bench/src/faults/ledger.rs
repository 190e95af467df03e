//! What callers, targets and watchers of a run observed.

use std::collections::BTreeMap;
use std::time::Instant;

use lw_base::FastMap;
use parking_lot::Mutex;

use crate::faults::check::Check;

/// A request that a target received.
pub(crate) struct Reception {
    pub(crate) target: String,
    /// The path or the prompt, which names the customer.
    pub(crate) text: String,
    pub(crate) region: &'static str,
    pub(crate) at: Instant,
}

/// A rule of which receptions may not break after it is in force.
pub(crate) struct Rule {
    pub(crate) check: Check,
    /// The customer that was published together with the rule.
    pub(crate) marker: String,
    /// The rule counts from this moment, or from when the last host had the marker if that is later.
    pub(crate) start: Instant,
    pub(crate) end: Instant,
    pub(crate) margin_ms: u64,
    /// When a host without the marker was seen.
    pub(crate) behind: Vec<Instant>,
    pub(crate) applies: Box<dyn Fn(&Reception) -> bool + Send + Sync>,
}

/// Shared observations.
#[derive(Default)]
pub(crate) struct Ledger {
    checked: Mutex<FastMap<Check, u64>>,
    pub(crate) violations: Mutex<Vec<(Check, String)>>,
    pub(crate) receptions: Mutex<Vec<Reception>>,
    pub(crate) runs: Mutex<FastMap<String, u32>>,
    pub(crate) endings: Mutex<BTreeMap<(&'static str, String), u64>>,
    pub(crate) rules: Mutex<Vec<Rule>>,
    pub(crate) injected: Mutex<Vec<String>>,
    pub(crate) unrun_keys: Mutex<Vec<String>>,
    /// The names of customers that accepted publications added.
    pub(crate) accepted: Mutex<Vec<String>>,
}

impl Ledger {
    /// Counts a check and keeps the detail of a violation.
    pub(crate) fn check(&self, check: Check, holds: bool, detail: impl FnOnce() -> String) {
        *self.checked.lock().entry(check).or_default() += 1;
        if !holds {
            self.violations.lock().push((check, detail()));
        }
    }

    pub(crate) fn check_count(&self, check: Check) -> u64 {
        self.checked.lock().get(&check).copied().unwrap_or(0)
    }

    /// Counts how a request of a kind ended.
    pub(crate) fn ended(&self, kind: &'static str, ending: String) {
        *self.endings.lock().entry((kind, ending)).or_default() += 1;
    }

    /// Takes a request that a target received.
    pub(crate) fn receive(&self, reception: Reception) {
        let text = &reception.text;
        for region in ["east", "west"] {
            if text.contains(&format!("bound-{region}")) {
                self.check(Check::Bound, reception.region == region, || {
                    format!("{text} reached {}", reception.target)
                });
            }
        }
        self.receptions.lock().push(reception);
    }

    pub(crate) fn runs_of(&self, key: &str) -> u32 {
        self.runs.lock().get(key).copied().unwrap_or(0)
    }

    /// Compares the receptions with the rules, at the end of a run.
    pub(crate) fn apply_rules(&self) {
        let receptions = self.receptions.lock();
        for rule in self.rules.lock().iter() {
            for reception in receptions.iter().filter(|one| (rule.applies)(one)) {
                let since = rule.in_force_since(reception.at);
                let late_ms = reception.at.saturating_duration_since(since).as_millis();
                let breaks = reception.at < rule.end && late_ms > u128::from(rule.margin_ms);
                self.check(rule.check, !breaks, || {
                    let target = &reception.target;
                    format!(
                        "{target} received a request {late_ms} ms after {} applied",
                        rule.marker
                    )
                });
            }
        }
    }
}

impl Rule {
    fn in_force_since(&self, at: Instant) -> Instant {
        let behind = self.behind.iter().copied().take_while(|seen| *seen <= at);
        behind
            .last()
            .map_or(self.start, |seen| self.start.max(seen))
    }
}
