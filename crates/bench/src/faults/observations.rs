//! Observations of the callers, the targets and the revision watcher of a run.

use std::collections::BTreeMap;
use std::time::Instant;

use lw_base::FastMap;
use parking_lot::Mutex;

use crate::faults::check::Check;

/// A request that a target received.
pub(crate) struct ReceivedRequest {
    pub(crate) target: String,
    /// The path or the prompt, which contains the customer name.
    pub(crate) text: String,
    pub(crate) region: &'static str,
    pub(crate) at: Instant,
}

/// A rule that received requests must not violate once it is in force.
pub(crate) struct Rule {
    pub(crate) check: Check,
    /// The customer entry that was published together with the rule; a host whose document contains it has the rule.
    pub(crate) marker: String,
    /// The rule applies from this time, or from the time at which the last host received the marker, if that is later.
    pub(crate) start: Instant,
    pub(crate) end: Instant,
    pub(crate) margin_ms: u64,
    /// The times at which a host without the marker was observed.
    pub(crate) lagging_at: Vec<Instant>,
    pub(crate) applies: Box<dyn Fn(&ReceivedRequest) -> bool + Send + Sync>,
}

/// Observations shared by all tasks of a run.
#[derive(Default)]
pub(crate) struct Observations {
    checked: Mutex<FastMap<Check, u64>>,
    pub(crate) violations: Mutex<Vec<(Check, String)>>,
    pub(crate) received_requests: Mutex<Vec<ReceivedRequest>>,
    pub(crate) runs: Mutex<FastMap<String, u32>>,
    pub(crate) endings: Mutex<BTreeMap<(&'static str, String), u64>>,
    pub(crate) rules: Mutex<Vec<Rule>>,
    pub(crate) injected: Mutex<Vec<String>>,
    pub(crate) not_run_keys: Mutex<Vec<String>>,
    /// The marker customers of accepted publications.
    pub(crate) accepted: Mutex<Vec<String>>,
}

impl Observations {
    /// Counts a check and records the detail if it is violated.
    pub(crate) fn check(&self, check: Check, holds: bool, detail: impl FnOnce() -> String) {
        *self.checked.lock().entry(check).or_default() += 1;
        if !holds {
            self.violations.lock().push((check, detail()));
        }
    }

    pub(crate) fn check_count(&self, check: Check) -> u64 {
        self.checked.lock().get(&check).copied().unwrap_or(0)
    }

    /// Counts how a request of the given kind ended.
    pub(crate) fn count_ending(&self, kind: &'static str, ending: String) {
        *self.endings.lock().entry((kind, ending)).or_default() += 1;
    }

    /// Records a request that a target received and checks the home region of its customer.
    pub(crate) fn record_received(&self, received: ReceivedRequest) {
        let text = &received.text;
        for region in ["east", "west"] {
            if text.contains(&format!("bound-{region}")) {
                self.check(Check::Bound, received.region == region, || {
                    format!("{text} reached {}", received.target)
                });
            }
        }
        self.received_requests.lock().push(received);
    }

    pub(crate) fn runs_of(&self, key: &str) -> u32 {
        self.runs.lock().get(key).copied().unwrap_or(0)
    }

    /// Checks all received requests against the rules, at the end of a run.
    pub(crate) fn check_rules(&self) {
        let received_requests = self.received_requests.lock();
        for rule in self.rules.lock().iter() {
            for received in received_requests.iter().filter(|one| (rule.applies)(one)) {
                let since = rule.effective_since(received.at);
                let late_ms = received.at.saturating_duration_since(since).as_millis();
                let is_violation = received.at < rule.end && late_ms > u128::from(rule.margin_ms);
                self.check(rule.check, !is_violation, || {
                    let target = &received.target;
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
    fn effective_since(&self, at: Instant) -> Instant {
        let lagging_at = self
            .lagging_at
            .iter()
            .copied()
            .take_while(|seen| *seen <= at);
        lagging_at
            .last()
            .map_or(self.start, |seen| self.start.max(seen))
    }
}
