//! Counts of the traffic as the callers saw it.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use lw_base::Outcome;

use crate::ask::{Ask, Row};
use crate::caller::Ended;

/// Counts of one row of the table.
#[derive(Clone, Debug)]
pub(crate) struct RowCounts {
    pub(crate) complete: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) no_outcome: u64,
    /// Latencies of complete answers, in milliseconds.
    pub(crate) latency_ms: Histogram<u64>,
}

impl RowCounts {
    fn new() -> Self {
        Self {
            complete: 0,
            not_run: 0,
            unknown: 0,
            no_outcome: 0,
            latency_ms: Histogram::new(3).expect("three digits are in the range of the crate"),
        }
    }

    /// Returns the number of requests that ended.
    pub(crate) fn total(&self) -> u64 {
        self.complete + self.not_run + self.unknown + self.no_outcome
    }
}

/// Counts of the traffic since the start.
pub(crate) struct Tally {
    rows: BTreeMap<Row, RowCounts>,
    /// Requests that did not end complete, by error kind.
    pub(crate) kinds: BTreeMap<String, u64>,
    pub(crate) started: u64,
    pub(crate) repeats: u64,
    pub(crate) wrong_answers: u64,
    /// The orders that were sent, with what their callers were told.
    pub(crate) orders: Vec<(String, Option<Outcome>)>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            rows: Row::ALL.map(|row| (row, RowCounts::new())).into(),
            kinds: BTreeMap::new(),
            started: 0,
            repeats: 0,
            wrong_answers: 0,
            orders: Vec::new(),
        }
    }
}

impl Tally {
    /// Counts the end of a request.
    pub(crate) fn ended(&mut self, ask: &Ask, ended: &Ended) {
        let row = self.rows.entry(ask.row).or_insert_with(RowCounts::new);
        match ended.outcome {
            Some(Outcome::Complete) => {
                row.complete += 1;
                row.latency_ms.saturating_record(ended.latency_ms.max(1));
            }
            Some(Outcome::NotRun) => row.not_run += 1,
            Some(Outcome::Unknown) => row.unknown += 1,
            None => row.no_outcome += 1,
        }
        if ended.outcome != Some(Outcome::Complete) {
            *self.kinds.entry(ended.kind.clone()).or_default() += 1;
        }
        self.repeats += u64::from(ended.repeats);
        self.wrong_answers += u64::from(ended.wrong_answer);
        if let Some(key) = ask.key() {
            self.orders.push((key.to_owned(), ended.outcome));
        }
    }

    /// Returns the counts of a row.
    pub(crate) fn row(&self, row: Row) -> &RowCounts {
        &self.rows[&row]
    }

    /// Returns the number of requests that ended.
    pub(crate) fn total(&self) -> u64 {
        self.rows.values().map(RowCounts::total).sum()
    }

    /// Returns the number of requests that ended without an outcome.
    pub(crate) fn without_outcome(&self) -> u64 {
        self.rows.values().map(|row| row.no_outcome).sum()
    }
}
