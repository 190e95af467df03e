//! Retention: packed audit entries, removed snapshots and expired records, with failures of the key-value service.

mod support;

use std::sync::Arc;
use std::time::Duration;

use lw_base::WallMs;
use lw_conf::{
    AuditEntry, AuditRecord, Config, MAX_BLOCK_BYTES, PublishError, REVISIONS_PER_SNAPSHOT,
    Replica, RetentionReport, RetentionWorker, document_at, load_document, prepare_rollback,
    publish, read_audit, read_head, with_call_delay,
};
use lw_doc::{AuditKeepDays, Document};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{FakeKv, request, sample, with_customer};
use test_case::test_case;

const START_MS: u64 = 1_764_800_000_000;
const HOUR_MS: u64 = 60 * 60 * 1_000;
const KEEP: AuditKeepDays = AuditKeepDays(30);

/// An audit chain, extended by revisions with small changes.
struct Chain {
    fake: FakeKv,
    replica: Replica,
    document: Document,
    /// The time of the last revision, in milliseconds.
    wall_ms: u64,
}

impl Chain {
    /// Creates a chain of `revisions` revisions, `interval_ms` apart.
    async fn with_revisions(revisions: u64, interval_ms: u64) -> Self {
        let mut chain = Self {
            fake: FakeKv::default(),
            replica: Replica::new("host-0"),
            document: sample(),
            wall_ms: START_MS,
        };
        chain.grow(revisions, interval_ms).await;
        chain
    }

    async fn grow(&mut self, revisions: u64, interval_ms: u64) {
        for _ in 0..revisions {
            let known = self.known();
            let revision = known.as_ref().map_or(0, |config| config.mark.revision);
            if revision > 0 {
                // Customers are removed again, so that the document stays small and the test fast.
                self.document
                    .customers
                    .remove(&format!("c-{}", revision.saturating_sub(4)));
                self.document = with_customer(&self.document, &format!("c-{revision}"));
            }
            self.wall_ms += interval_ms;
            let mut attempt = request(u128::from(revision) + 1, revision, self.document.clone());
            attempt.wall = WallMs(self.wall_ms);
            attempt.known = known;
            let published = publish(&self.fake.client(), &attempt).await;
            let published = published.expect("a revision");
            self.replica.on_published(published, &mut Vec::new());
        }
    }

    fn known(&self) -> Option<Arc<Config>> {
        self.replica.reader().load()
    }

    fn revision(&self) -> u64 {
        self.known().map_or(0, |config| config.mark.revision)
    }

    /// Runs a pass at `after_ms` after the last revision. Returns `None` when it fails.
    async fn pass(&self, worker: &mut RetentionWorker, after_ms: u64) -> Option<RetentionReport> {
        let now = WallMs(self.wall_ms + after_ms);
        worker.pass(&self.fake.client(), now, KEEP).await.ok()
    }

    /// Runs passes until a pass changes nothing.
    async fn run_until_unchanged(&self, worker: &mut RetentionWorker, after_ms: u64) {
        for _ in 0..20 {
            let report = self
                .pass(worker, after_ms)
                .await
                .expect("the service is up");
            if report == RetentionReport::default() {
                return;
            }
        }
        panic!("the worker still makes changes after 20 passes");
    }

    /// Asserts that the audit log has every revision above `removed`, each based on the one before it, and that the
    /// document of the head can be loaded.
    async fn check(&self, removed: u64) {
        let entries = published(&self.fake).await;
        let revisions = usize::try_from(self.revision() - removed).expect("small");
        assert_eq!(entries.len(), revisions);
        assert!(
            entries
                .windows(2)
                .all(|window| window[0].base == window[1].mark)
        );
        let head = read_head(&self.fake.client()).await.expect("up").head;
        let head = head.expect("a head");
        assert_eq!(entries[0].mark, head.mark);
        let loaded = load_document(&self.fake.client(), &head).await;
        assert_eq!(loaded.expect("whole"), self.document);
    }
}

async fn published(fake: &FakeKv) -> Vec<AuditEntry> {
    let records = read_audit(&fake.client(), usize::MAX).await.expect("up");
    let entries = records.into_iter().filter_map(|record| match record {
        AuditRecord::Published(entry) => Some(*entry),
        AuditRecord::Refused(_) => None,
        AuditRecord::Gap { key, .. } => panic!("{key} is missing"),
    });
    entries.collect()
}

/// Guards against unpacked entries that grow without bound, and against an audit log or a rollback that loses packed
/// revisions.
#[tokio::test(start_paused = true)]
async fn old_entries_are_packed_and_stay_readable() {
    let chain = Chain::with_revisions(1_400, 2_400).await;
    let before = published(&chain.fake).await;
    let old = document_at(&chain.fake.client(), &before[0].head(), 700).await;
    chain
        .run_until_unchanged(&mut RetentionWorker::default(), 2 * HOUR_MS)
        .await;
    chain.check(0).await;
    assert_eq!(published(&chain.fake).await, before);
    let unpacked = chain.fake.keys("lw/entry/") as u64;
    assert!(unpacked < 770, "{unpacked} entries");
    // The snapshots of the unpacked entries and of the first revision remain.
    assert!(chain.fake.keys("lw/snap/") as u64 <= 770 / REVISIONS_PER_SNAPSHOT + 2);
    assert!(chain.fake.0.lock().largest_value <= MAX_BLOCK_BYTES);
    let rollback = prepare_rollback(&chain.fake.client(), 700).await;
    assert_eq!(rollback.expect("built").document, old.expect("kept"));
}

/// Guards against publishers that do not find packed entries: one with an old base, and one that retries an operation
/// after a lost reply.
#[tokio::test(start_paused = true)]
async fn publishers_find_packed_operations_and_bases() {
    let chain = Chain::with_revisions(900, 4_000).await;
    chain
        .run_until_unchanged(&mut RetentionWorker::default(), 2 * HOUR_MS)
        .await;
    let kv = chain.fake.client();
    let entries = published(&chain.fake).await;
    let base = entries.iter().find(|entry| entry.mark.revision == 500);
    let base_document = document_at(&kv, &entries[0].head(), 500).await;
    let next = with_customer(&base_document.expect("kept"), "late");
    let late = publish(&kv, &request(9_999, 500, next)).await;
    let Err(PublishError::Conflict { changes, .. }) = late else {
        panic!("{late:?}");
    };
    assert!(changes.is_some_and(|changes| !changes.is_empty()));
    // Operation 501 published revision 501 and is retried.
    let own = document_at(&kv, &entries[0].head(), 501).await;
    let again = publish(&kv, &request(501, 500, own.expect("kept"))).await;
    let again = again.expect("the published revision is found").entry;
    assert_eq!(Some(again.base), base.map(|entry| entry.mark));
}

/// Guards against a lost record or a broken chain when a pass fails at any call, with the same or a new worker
/// afterwards.
#[test_case(1, 0; "an outage")]
#[test_case(2, 3; "an outage and lost replies")]
#[tokio::test(start_paused = true)]
async fn a_pass_that_fails_at_any_call_loses_no_record(seed: u64, replies_to_drop: usize) {
    println!("seed {seed}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let chain = Chain::with_revisions(1_300, 3_600).await;
    let mut worker = RetentionWorker::default();
    let mut failures_during_removal = 0;
    for _ in 0..60 {
        {
            let mut store = chain.fake.0.lock();
            store.calls_left = Some(rng.random_range(1..2_500));
            store.replies_to_drop = replies_to_drop;
        }
        let before = chain.fake.keys("lw/entry/");
        let failed = chain.pass(&mut worker, 2 * HOUR_MS).await.is_none();
        let removed = chain.fake.keys("lw/entry/") < before;
        failures_during_removal += usize::from(failed && removed);
        {
            let mut store = chain.fake.0.lock();
            (store.calls_left, store.outage, store.replies_to_drop) = (None, false, 0);
        }
        if rng.random_bool(0.5) {
            worker = RetentionWorker::default();
        }
        chain.check(0).await;
    }
    assert!(
        failures_during_removal > 0,
        "no pass failed while it removed"
    );
    chain
        .run_until_unchanged(&mut RetentionWorker::default(), 2 * HOUR_MS)
        .await;
    assert!(chain.fake.keys("lw/entry/") < 770);
    chain.check(0).await;
}

/// Guards against a lost record when two workers run concurrently, one of them with stale links.
#[tokio::test(start_paused = true)]
async fn two_concurrent_workers_lose_no_record() {
    let mut chain = Chain::with_revisions(900, 4_000).await;
    let (mut a, mut b) = (RetentionWorker::default(), RetentionWorker::default());
    chain.pass(&mut a, 2 * HOUR_MS).await.expect("up");
    chain.fake.0.lock().latency_ms = 1;
    chain.grow(300, 4_000).await;
    for _ in 0..6 {
        let (one, two) = tokio::join!(
            chain.pass(&mut a, 2 * HOUR_MS),
            chain.pass(&mut b, 2 * HOUR_MS)
        );
        assert!(one.is_some() && two.is_some());
        chain.check(0).await;
    }
    chain.run_until_unchanged(&mut b, 2 * HOUR_MS).await;
    chain.run_until_unchanged(&mut a, 2 * HOUR_MS).await;
    assert!(chain.fake.keys("lw/entry/") < 770);
}

/// Guards against records that are lost when the service loses the last writes of a worker.
#[tokio::test(start_paused = true)]
async fn lost_writes_of_a_worker_lose_no_record() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    println!("seed 5");
    let chain = Chain::with_revisions(1_100, 3_300).await;
    let mut worker = RetentionWorker::default();
    let floor = chain.fake.undoable();
    for _ in 0..40 {
        chain.pass(&mut worker, 2 * HOUR_MS).await.expect("up");
        let done = chain.fake.undoable() - floor;
        // Only writes of the worker are undone, so the head does not change.
        let lost = rng.random_range(0..600).min(done);
        chain.fake.lose_last_writes(lost);
        chain.check(0).await;
    }
    chain
        .run_until_unchanged(&mut RetentionWorker::default(), 2 * HOUR_MS)
        .await;
    chain.check(0).await;
}

/// Guards against entries of failed attempts that are never removed, and against the removal of an entry that a slow
/// publisher still needs.
#[tokio::test(start_paused = true)]
async fn entries_of_failed_attempts_are_removed_once_they_are_old() {
    let mut chain = Chain::with_revisions(10, 4_000).await;
    let (kv, base) = (chain.fake.client(), chain.revision());
    for operation in 0..5 {
        let next = with_customer(&chain.document, &format!("lost-{operation}"));
        let mut own = request(90_000 + operation, base, next);
        own.known = chain.known();
        chain.fake.0.lock().calls_left = Some(2);
        // The entry is written, and the service fails before the head is written.
        assert!(publish(&kv, &own).await.is_err());
        let mut store = chain.fake.0.lock();
        (store.calls_left, store.outage) = (None, false);
    }
    let entries = chain.fake.keys("lw/entry/");
    assert!(entries > 10, "{entries} entries: no attempt left an entry");
    chain
        .run_until_unchanged(&mut RetentionWorker::default(), 2 * HOUR_MS)
        .await;
    assert_eq!(chain.fake.keys("lw/entry/"), entries);
    chain.grow(900, 4_000).await;
    chain
        .run_until_unchanged(&mut RetentionWorker::default(), 2 * HOUR_MS)
        .await;
    let mut worker = RetentionWorker::default();
    chain.run_until_unchanged(&mut worker, 3 * HOUR_MS).await;
    chain.check(0).await;
    let revisions = published(&chain.fake).await.len();
    let blocks = chain.fake.keys("lw/audit/");
    assert!(chain.fake.keys("lw/entry/") <= revisions - (blocks - 1) * 200);
    let orphans = chain.fake.keys("lw/entry/000000000011");
    assert_eq!(orphans, 0);
}

/// Guards against records that are kept beyond the retention time, against newer records that are removed with them,
/// and against an audit log that reports removed records as lost.
#[tokio::test(start_paused = true)]
async fn records_older_than_the_retention_time_are_removed() {
    let mut chain = Chain::with_revisions(1_000, 3_600).await;
    let kv = chain.fake.client();
    let refused = request(70_000, 3, sample());
    assert!(publish(&kv, &refused).await.is_err());
    chain
        .run_until_unchanged(&mut RetentionWorker::default(), 2 * HOUR_MS)
        .await;
    chain.grow(1_000, 3_600).await;
    for _ in 0..2 {
        // A worker removes expired blocks in its first pass.
        let after_ms = 30 * 24 * HOUR_MS - HOUR_MS;
        chain
            .run_until_unchanged(&mut RetentionWorker::default(), after_ms)
            .await;
    }
    let entries = published(&chain.fake).await;
    let cutoff = chain.wall_ms - HOUR_MS;
    let recent = entries.iter().filter(|entry| entry.wall_ms.0 >= cutoff);
    assert!(recent.count() >= 999 && entries.len() < 1_300);
    let removed = chain.revision() - entries.len() as u64;
    assert!(removed > 500, "only {removed} records were removed");
    chain.check(removed).await;
    assert_eq!(chain.fake.keys("lw/refused/"), 0);
    let floor = removed + 1;
    let none = document_at(&kv, &entries[0].head(), floor - 1).await;
    assert!(none.is_err(), "the document of a removed revision");
}

/// Guards against more than 64 MB of blocks a day at the target size, and against a pass that takes longer than its
/// interval at 5 calls a second. Measures calls and stored bytes over a tenth of a day.
#[tokio::test(start_paused = true)]
async fn storage_and_calls_of_a_day_are_bounded() {
    let mut chain = Chain::with_revisions(1, 2_400).await;
    let mut worker = RetentionWorker::default();
    let call_delay = Duration::from_millis(200);
    let kv = with_call_delay(chain.fake.client(), move || tokio::time::sleep(call_delay));
    let (mut calls, mut longest_pass) = (0, Duration::ZERO);
    // A tenth of a day at 36,000 changes a day with a pass every 5 minutes, after the first hour, in which nothing is
    // old enough to pack.
    for _ in 0..48 {
        chain.grow(125, 2_400).await;
        let before = count_calls(&chain.fake);
        let started = tokio::time::Instant::now();
        let now = WallMs(chain.wall_ms);
        worker.pass(&kv, now, KEEP).await.expect("up");
        longest_pass = longest_pass.max(started.elapsed());
        calls += count_calls(&chain.fake) - before;
    }
    let (blocks, block_bytes) = (chain.fake.keys("lw/audit/"), chain.fake.bytes("lw/audit/"));
    let entry_bytes = chain.fake.bytes("lw/entry/") / chain.fake.keys("lw/entry/");
    let packed = published(&chain.fake).await.len() - chain.fake.keys("lw/entry/");
    let (per_entry, per_change) = (block_bytes / packed, calls as f64 / 6_000.0);
    let day_bytes = per_entry * 36_000;
    println!(
        "{blocks} blocks for {packed} entries, {per_entry} bytes each ({entry_bytes} unpacked), {per_change:.2} calls \
         per change; extrapolated to a day of 36,000 changes: {:.1} MB in blocks, {:.0} calls, {:.2} a second; longest \
         pass {:.0} s; {} entries, {} snapshots",
        day_bytes as f64 / 1e6,
        per_change * 36_000.0,
        per_change * 36_000.0 / 86_400.0,
        longest_pass.as_secs_f64(),
        chain.fake.keys("lw/entry/"),
        chain.fake.keys("lw/snap/"),
    );
    assert!(day_bytes < 64_000_000);
    assert!(
        longest_pass < Duration::from_secs(300),
        "a pass takes longer than the interval"
    );
}

fn count_calls(fake: &FakeKv) -> usize {
    let store = fake.0.lock();
    store.reads + store.writes
}
