//! Publishing: concurrent publishers, lost replies, the audit log and snapshots.

mod support;

use lw_conf::{
    AuditEntry, AuditRecord, PublishError, REVISIONS_PER_SNAPSHOT, Replica, RevisionMark,
    SNAPSHOT_PART_BYTES, load_document, prepare_rollback, publish, read_audit, read_head,
};
use support::{FakeKv, Fault, large_document, request, sample, with_customer};
use test_case::test_case;

async fn head_mark(fake: &FakeKv) -> RevisionMark {
    let stored = read_head(&fake.client()).await.expect("the service is up");
    stored.head.expect("there is a head").mark
}

async fn published_entries(fake: &FakeKv) -> Vec<AuditEntry> {
    let records = read_audit(&fake.client(), 10_000)
        .await
        .expect("the service is up");
    let entries = records.into_iter().filter_map(|record| match record {
        AuditRecord::Published(entry) => Some(*entry),
        AuditRecord::Refused(_) => None,
        AuditRecord::Gap { key, .. } => panic!("{key} is missing"),
    });
    entries.collect()
}

/// Guards against one of two concurrent operators silently overwriting the change of the other.
#[tokio::test(start_paused = true)]
async fn one_of_two_concurrent_operators_gets_a_conflict_with_the_changes() {
    let fake = FakeKv::default();
    let kv = fake.client();
    publish(&kv, &request(1, 0, sample()))
        .await
        .expect("the first revision");
    fake.0.lock().latency_ms = 5;
    let a = request(2, 1, with_customer(&sample(), "a"));
    let b = request(3, 1, with_customer(&sample(), "b"));
    let (a, b) = tokio::join!(publish(&kv, &a), publish(&kv, &b));
    let (winner, loser) = if a.is_ok() { (a, b) } else { (b, a) };
    let winner = winner.expect("one of the two wins");
    let Err(PublishError::Conflict {
        head_revision: 2,
        changes: Some(changes),
    }) = loser
    else {
        panic!("{loser:?}");
    };
    assert_eq!(Some(changes), winner.entry.changes);
    let records = read_audit(&kv, 10).await.expect("the service is up");
    let refused = records
        .iter()
        .filter(|record| matches!(record, AuditRecord::Refused(_)));
    assert_eq!(refused.count(), 1);
    let entries = published_entries(&fake).await;
    assert_eq!(entries[0].mark, head_mark(&fake).await);
    assert_eq!(entries.len(), 2);
}

/// Guards against a change that is published twice, or reported as failed, after the reply to its write was lost.
#[test_case(&[Fault::ReplyLost], true; "one lost reply")]
#[test_case(&[Fault::ReplyLost, Fault::ReplyLost], true; "two lost replies")]
#[test_case(&[Fault::ReplyLostThenOutage], false; "a lost reply, then an outage")]
#[tokio::test(start_paused = true)]
async fn an_operation_finds_its_revision_after_a_lost_reply(
    faults: &[Fault],
    found_immediately: bool,
) {
    let fake = FakeKv::default();
    let kv = fake.client();
    publish(&kv, &request(1, 0, sample()))
        .await
        .expect("the first revision");
    fake.0.lock().head_faults.extend(faults);
    let own = request(2, 1, with_customer(&sample(), "a"));
    let result = publish(&kv, &own).await;
    if found_immediately {
        assert_eq!(
            result
                .expect("the published revision is found")
                .entry
                .mark
                .revision,
            2
        );
    } else {
        assert_eq!(result, Err(PublishError::Unknown));
        fake.0.lock().outage = false;
        // Another operator publishes before the first one retries.
        let next = with_customer(&own.next, "b");
        publish(&kv, &request(3, 2, next))
            .await
            .expect("a later revision");
        let again = publish(&kv, &own)
            .await
            .expect("the published revision is found by the retry");
        assert_eq!(again.entry.mark.revision, 2);
    }
    let entries = published_entries(&fake).await;
    let own_entries = entries
        .iter()
        .filter(|entry| entry.operation == own.operation);
    assert_eq!(own_entries.count(), 1);
}

/// Guards against invalid or unconfirmed documents that are published, and against refusals that are not recorded.
#[tokio::test(start_paused = true)]
async fn refused_attempts_are_recorded_and_do_not_change_the_head() {
    let fake = FakeKv::default();
    let kv = fake.client();
    publish(&kv, &request(1, 0, sample()))
        .await
        .expect("the first revision");
    let mut invalid = sample();
    invalid.weights.cost = 7.0;
    let error = publish(&kv, &request(2, 1, invalid)).await;
    assert!(matches!(error, Err(PublishError::Invalid(_))));
    let mut dangerous = sample();
    dangerous.targets.retain(|name, _| !name.starts_with("mp"));
    let mut attempt = request(3, 1, dangerous);
    let error = publish(&kv, &attempt).await;
    assert!(matches!(error, Err(PublishError::Unconfirmed(_))));
    assert_eq!(head_mark(&fake).await.revision, 1);
    assert_eq!(read_audit(&kv, 10).await.expect("up").len(), 3);
    attempt.confirmed = true;
    publish(&kv, &attempt).await.expect("confirmed");
    let error = publish(&kv, &request(4, 2, attempt.next)).await;
    assert!(matches!(
        error,
        Err(PublishError::Unchanged { revision: 2 })
    ));
}

/// Guards against documents that exceed the value limit of the service.
#[tokio::test(start_paused = true)]
async fn a_snapshot_above_the_value_limit_is_split() {
    let fake = FakeKv::default();
    let kv = fake.client();
    let document = large_document();
    publish(&kv, &request(1, 0, document.clone()))
        .await
        .expect("the first revision");
    let next = with_customer(&document, "one-more");
    publish(&kv, &request(2, 1, next.clone()))
        .await
        .expect("the second revision");
    assert!(fake.keys("lw/snap/") > 1);
    assert!(fake.0.lock().largest_value <= SNAPSHOT_PART_BYTES);
    let head = read_head(&kv).await.expect("up").head.expect("a head");
    assert_eq!(load_document(&kv, &head).await.expect("whole"), next);
}

/// Guards against reads per load that grow with the number of revisions, and against older documents that cannot be
/// rebuilt.
#[tokio::test(start_paused = true)]
async fn snapshots_bound_the_reads_of_a_load_and_old_documents_can_be_rebuilt() {
    let fake = FakeKv::default();
    let kv = fake.client();
    let mut document = sample();
    publish(&kv, &request(1, 0, document.clone()))
        .await
        .expect("the first revision");
    let mut replica = Replica::new("host-0");
    for revision in 1..300 {
        document = with_customer(&document, &format!("c-{}", revision % 7));
        document
            .customers
            .remove(&format!("c-{}", (revision + 3) % 7));
        let base = u64::try_from(revision).unwrap();
        let mut attempt = request(revision + 1, base, document.clone());
        attempt.known = replica.reader().load();
        let published = publish(&kv, &attempt).await.expect("a revision");
        replica.on_published(published, &mut Vec::new());
    }
    let head = read_head(&kv).await.expect("up").head.expect("a head");
    assert_eq!(head.mark.revision, 300);
    let before = fake.0.lock().reads;
    assert_eq!(load_document(&kv, &head).await.expect("whole"), document);
    let reads = fake.0.lock().reads - before;
    assert!(
        reads <= usize::try_from(REVISIONS_PER_SNAPSHOT).unwrap() + 1,
        "{reads} reads"
    );

    let rollback = prepare_rollback(&kv, 1).await.expect("revision 1 is kept");
    assert_eq!(rollback.document, sample());
    let revision = rollback.head.mark.revision;
    let published = publish(&kv, &request(900, revision, rollback.document)).await;
    assert_eq!(published.expect("a new revision").entry.mark.revision, 301);
    let entries = published_entries(&fake).await;
    assert_eq!(entries.len(), 301);
    assert!(
        entries
            .windows(2)
            .all(|window| window[0].base == window[1].mark)
    );
}
