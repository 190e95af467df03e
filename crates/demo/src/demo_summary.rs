//! Whether the demonstration kept its promises.

use lw_base::Outcome;

use crate::table::violations;
use crate::tally::Tally;
use crate::targets::Targets;

/// Counts at the end of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemoSummary {
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests that were answered completely.
    pub complete: u64,
    /// Requests that ended without an outcome.
    pub without_outcome: u64,
    /// Complete answers that were not the answer to their request.
    pub wrong_answers: u64,
    /// Requests that a host sent to another region.
    pub sent_to_other_region: u64,
    /// Orders that were sent.
    pub orders: u64,
    /// Orders that ran more than once.
    pub orders_run_twice: u64,
    /// Orders that ran although the caller was told "not run", or did not run although it was told "complete".
    pub orders_misreported: u64,
    /// Violations of invariants in this process.
    pub violations: u64,
    /// Hosts whose planned stop did not end with 0.
    pub failed_stops: Vec<String>,
    /// Steps of the faults that did not go as planned.
    pub failed_steps: Vec<String>,
    /// Faults that were produced.
    pub faults: u64,
    /// Whether each region took orders.
    pub orders_accepted: bool,
}

impl DemoSummary {
    /// Counts requests and orders; stops and steps are filled in by the caller.
    pub(crate) fn of(tally: &Tally, targets: &Targets) -> Self {
        let orders = &tally.orders;
        let told_wrong = |(key, told): &&(String, Option<Outcome>)| match told {
            Some(Outcome::Complete) => targets.runs_of(key) == 0,
            Some(Outcome::NotRun) => targets.runs_of(key) > 0,
            Some(Outcome::Unknown) | None => false,
        };
        let ran_twice = |(key, _): &&(String, Option<Outcome>)| targets.runs_of(key) > 1;
        Self {
            requests: tally.started,
            complete: crate::ask::Row::ALL
                .iter()
                .map(|row| tally.row(*row).complete)
                .sum(),
            // A request that never ended has no outcome either.
            without_outcome: tally.without_outcome() + tally.started - tally.total(),
            wrong_answers: tally.wrong_answers,
            orders: orders.len() as u64,
            orders_run_twice: orders.iter().filter(ran_twice).count() as u64,
            orders_misreported: orders.iter().filter(told_wrong).count() as u64,
            violations: violations(),
            ..Self::default()
        }
    }

    /// Returns true when every promise was kept.
    #[must_use]
    pub fn passed(&self) -> bool {
        let faults = self.without_outcome
            + self.wrong_answers
            + self.orders_run_twice
            + self.orders_misreported
            + self.violations;
        faults == 0 && self.failed_stops.is_empty() && self.failed_steps.is_empty()
    }

    /// Returns the counts as text.
    pub(crate) fn text(&self) -> String {
        let mut text = format!(
            "requests {}, complete {}, without outcome {}, wrong answers {}, sent to another region {}\n\
             orders {}, run twice {}, told wrong {}; invariant violations {}; faults produced {}\n",
            self.requests,
            self.complete,
            self.without_outcome,
            self.wrong_answers,
            self.sent_to_other_region,
            self.orders,
            self.orders_run_twice,
            self.orders_misreported,
            self.violations,
            self.faults,
        );
        for failure in self.failed_stops.iter().chain(&self.failed_steps) {
            text += &format!("failed: {failure}\n");
        }
        text + match self.passed() {
            true => "result: passed",
            false => "result: FAILED",
        }
    }
}
