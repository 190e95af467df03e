//! The summary of a run and whether it passed.

use lw_base::Outcome;

use crate::table::total_violation_count;
use crate::targets::Targets;
use crate::traffic_counts::TrafficCounts;

/// Counts at the end of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemoSummary {
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests that ended with the outcome complete.
    pub complete: u64,
    /// Requests that ended without an outcome.
    pub without_outcome: u64,
    /// Complete answers that belong to another request.
    pub wrong_answers: u64,
    /// Requests that a host sent to another region.
    pub sent_to_other_region: u64,
    /// Orders that were sent.
    pub orders: u64,
    /// Orders that were executed more than once.
    pub orders_run_twice: u64,
    /// Orders that were executed although the caller received the outcome "not run", or not executed although it
    /// received "complete".
    pub orders_misreported: u64,
    /// Invariant violations in this process.
    pub violations: u64,
    /// Hosts that did not exit with 0 when they were drained.
    pub failed_stops: Vec<String>,
    /// Steps of the run that failed.
    pub failed_steps: Vec<String>,
    /// Number of faults that were produced.
    pub faults: u64,
    /// Whether each region accepted orders in time.
    pub orders_accepted: bool,
}

impl DemoSummary {
    /// Counts requests and orders; the caller fills in the results of stops and steps.
    pub(crate) fn of(traffic: &TrafficCounts, targets: &Targets) -> Self {
        let orders = &traffic.orders;
        let is_misreported = |(key, reported): &&(String, Option<Outcome>)| match reported {
            Some(Outcome::Complete) => targets.runs_of(key) == 0,
            Some(Outcome::NotRun) => targets.runs_of(key) > 0,
            Some(Outcome::Unknown) | None => false,
        };
        let ran_twice = |(key, _): &&(String, Option<Outcome>)| targets.runs_of(key) > 1;
        Self {
            requests: traffic.started,
            complete: crate::demo_request::TrafficClass::ALL
                .iter()
                .map(|class| traffic.class(*class).complete)
                .sum(),
            // A request that did not end has no outcome either.
            without_outcome: traffic.without_outcome() + traffic.started - traffic.total(),
            wrong_answers: traffic.wrong_answers,
            orders: orders.len() as u64,
            orders_run_twice: orders.iter().filter(ran_twice).count() as u64,
            orders_misreported: orders.iter().filter(is_misreported).count() as u64,
            violations: total_violation_count(),
            ..Self::default()
        }
    }

    /// Returns whether there were no faulty requests or orders, invariant violations, failed stops or failed steps.
    #[must_use]
    pub fn passed(&self) -> bool {
        let incorrect = self.without_outcome
            + self.wrong_answers
            + self.orders_run_twice
            + self.orders_misreported
            + self.violations;
        incorrect == 0 && self.failed_stops.is_empty() && self.failed_steps.is_empty()
    }

    /// Returns the counts and the result as text.
    pub(crate) fn text(&self) -> String {
        let mut text = format!(
            "requests {}, complete {}, without outcome {}, wrong answers {}, sent to another region {}\n\
             orders {}, run twice {}, misreported {}; invariant violations {}; faults produced {}\n",
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
