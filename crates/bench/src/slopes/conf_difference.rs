//! Measures the cost of one configuration difference by document size.

use std::hint::black_box;
use std::time::Instant;

use lw_doc::{Difference, DigestedDocument, Fleet, apply, compile, diff, recompile};

use crate::counting_alloc::live_bytes;
use crate::slopes::documents::{customer, document};
use crate::slopes::slope::Slope;
use crate::slopes::target::{CHANGES_PER_DAY, CUSTOMERS, SECONDS_PER_DAY, TARGETS};

/// Divisors of the target size, for 1%, 10% and 100% of it.
const DIVISORS: [usize; 3] = [100, 10, 1];
/// Size of a snapshot part in bytes; one byte less than half of the value limit.
const PART_BYTES: f64 = lw_conf::SNAPSHOT_PART_BYTES as f64;

struct Row {
    entities: f64,
    document_bytes: f64,
    difference_bytes: f64,
    memory_bytes: f64,
    apply_s: f64,
}

pub(crate) fn measure() -> Vec<Slope> {
    let rows: Vec<Row> = DIVISORS.into_iter().map(row).collect();
    let target = (CUSTOMERS + TARGETS) as f64;
    let smallest_s = rows[0].apply_s;
    let slope = |id, what, unit, value: &dyn Fn(&Row) -> f64| {
        let points = rows.iter().map(|row| (row.entities, value(row)));
        Slope::new(id, what, unit, "customers and targets", points, target)
    };
    vec![
        slope(
            "conf.document_bytes",
            "canonical bytes of the document",
            "bytes",
            &|row| row.document_bytes,
        ),
        slope(
            "conf.snapshot_parts",
            "writes of a snapshot, and reads to load it",
            "calls",
            &|row| (row.document_bytes / PART_BYTES).ceil(),
        ),
        slope(
            "conf.difference_bytes",
            "a difference of one customer with its digests",
            "bytes",
            &|row| row.difference_bytes,
        ),
        slope(
            "conf.memory_bytes",
            "memory of the document, its digest tree and its compiled form",
            "bytes",
            &|row| row.memory_bytes,
        ),
        slope(
            "conf.apply_ratio",
            "time to apply and compile a difference, relative to 1% of the size",
            "ratio",
            &|row| row.apply_s / smallest_s,
        )
        .timed(),
        slope(
            "conf.apply_core_share",
            "the same at 36,000 changes a day as a share of one core",
            "ratio",
            &|row| row.apply_s * CHANGES_PER_DAY / SECONDS_PER_DAY,
        )
        .timed(),
    ]
}

fn row(divisor: usize) -> Row {
    let (customers, targets) = (CUSTOMERS / divisor, TARGETS / divisor);
    let before = live_bytes();
    let base = DigestedDocument::new(document(customers, targets));
    let fleet = compile(&base.document, 1);
    let memory_bytes = (live_bytes() - before) as f64;
    let mut next = base.document.clone();
    let changed = customer(customers / 2 + 1);
    next.customers.insert("customer-new".to_owned(), changed);
    let difference = diff(&base.document, &next);
    let encoded = serde_json::to_vec(&difference).map_or(0, |bytes| bytes.len());
    let apply_s = (0..3)
        .map(|_| time_to_apply(&base, &fleet, &difference))
        .fold(f64::INFINITY, f64::min);
    Row {
        entities: (customers + targets) as f64,
        document_bytes: base.document.canonical_bytes().len() as f64,
        difference_bytes: encoded as f64,
        memory_bytes,
        apply_s,
    }
}

/// Returns the seconds that a host spends on a revision: copy, apply, check the digest, recompile the changes.
fn time_to_apply(base: &DigestedDocument, fleet: &Fleet, difference: &Difference) -> f64 {
    let start = Instant::now();
    let next = apply(base.clone(), difference);
    if let Ok(next) = &next {
        black_box(recompile(fleet, &next.document, &difference.changes, 2));
    }
    start.elapsed().as_secs_f64().max(f64::MIN_POSITIVE)
}
