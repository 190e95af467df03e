//! The report of a fault-injection run.

use std::collections::BTreeMap;

use comfy_table::{Table, presets};

use crate::faults::check::Check;

/// The injected faults and the results of the checks of one run.
#[derive(Clone, Debug)]
pub struct FaultReport {
    /// The seed.
    pub seed: u64,
    /// The faults with a description of what each affected, in the order in which they ended.
    pub injected: Vec<String>,
    /// Number of requests by kind and by how they ended.
    pub endings: BTreeMap<(&'static str, String), u64>,
    /// Each check and how often it was made.
    pub checks: Vec<(Check, u64)>,
    /// The violated checks with details.
    pub violations: Vec<(Check, String)>,
}

impl FaultReport {
    /// Returns the share of requests with a complete answer, from 0 to 1.
    #[must_use]
    pub fn complete_share(&self) -> f64 {
        let complete = self
            .endings
            .iter()
            .filter(|((_, ending), _)| ending == "complete");
        let complete: u64 = complete.map(|(_, count)| count).sum();
        let all: u64 = self.endings.values().sum();
        complete as f64 / all.max(1) as f64
    }

    /// Returns how often a check was made.
    #[must_use]
    pub fn check_count(&self, check: Check) -> u64 {
        let counts = self.checks.iter().filter(|(of, _)| *of == check);
        counts.map(|(_, count)| count).sum()
    }

    /// Prints the report.
    pub fn print(&self) {
        println!("seed {}", self.seed);
        for line in &self.injected {
            println!("{line}");
        }
        let mut table = Table::new();
        table.load_preset(presets::ASCII_MARKDOWN);
        table.set_header(vec!["request", "ending", "count"]);
        for ((kind, ending), count) in &self.endings {
            table.add_row(vec![(*kind).to_owned(), ending.clone(), count.to_string()]);
        }
        println!("{table}");
        for (check, count) in &self.checks {
            let violated = self.violations.iter().filter(|(of, _)| of == check);
            println!("{check:?}: {count} checked, {} violated", violated.count());
        }
        for (check, detail) in &self.violations {
            println!("violation of {check:?}: {detail}");
        }
        println!("complete answers: {:.1}%", 100.0 * self.complete_share());
    }
}
