//! Publishing: races, lost replies, audit and snapshots.

mod support;

use lw_conf::{
    AuditRecord, Entry, PublishError, REVISIONS_PER_SNAPSHOT, Replica, RevisionMark,
    SNAPSHOT_PART_BYTES, load_document, prepare_rollback, publish, read_audit, read_head,
};
use support::{FakeKv, Fault, large_document, request, sample, with_customer};
use test_case::test_case;

async fn head_mark(fake: &FakeKv) -> RevisionMark {
    let stored = read_head(&fake.client()).await.expect("the service is up");
    stored.head.expect("there is a head").mark
}

async fn published_entries(fake: &FakeKv) -> Vec<Entry> {
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

/// Guards against one of two operators silently overwriting the other.
#[tokio::test(start_paused = true)]
async fn of_two_operators_one_gets_a_conflict_with_the_difference() {
    let fake = FakeKv::default();
    let kv = fake.client();
    publish(&kv, &request(1, 0, sample()))
        .await
        .expect("the first revision");
    fake.0.lock().latency_ms = 5;
    let a = request(2, 1, with_customer(&sample(), "a"));
    let b = request(3, 1, with_customer(&sample(), "b"));
    let (a, b) = tokio::join!(publish(&kv, &a), publish(&kv, &b));
    let (won, lost) = if a.is_ok() { (a, b) } else { (b, a) };
    let won = won.expect("one of the two wins");
    let Err(PublishError::Conflict {
        head_revision: 2,
        changes: Some(changes),
    }) = lost
    else {
        panic!("{lost:?}");
    };
    assert_eq!(Some(changes), won.entry.changes);
    let records = read_audit(&kv, 10).await.expect("the service is up");
    let refused = records
        .iter()
        .filter(|record| matches!(record, AuditRecord::Refused(_)));
    assert_eq!(refused.count(), 1);
    let entries = published_entries(&fake).await;
    assert_eq!(entries[0].mark, head_mark(&fake).await);
    assert_eq!(entries.len(), 2);
}

/// Guards against a change that is published twice, or reported as failed, after a lost reply.
#[test_case(&[Fault::ReplyLost], true; "once")]
#[test_case(&[Fault::ReplyLost, Fault::ReplyLost], true; "twice")]
#[test_case(&[Fault::ReplyLostThenOutage], false; "with an outage")]
#[tokio::test(start_paused = true)]
async fn a_lost_reply_is_recognised(faults: &[Fault], at_once: bool) {
    let fake = FakeKv::default();
    let kv = fake.client();
    publish(&kv, &request(1, 0, sample()))
        .await
        .expect("the first revision");
    fake.0.lock().head_faults.extend(faults);
    let own = request(2, 1, with_customer(&sample(), "a"));
    let result = publish(&kv, &own).await;
    if at_once {
        assert_eq!(result.expect("recognised").entry.mark.revision, 2);
    } else {
        assert_eq!(result, Err(PublishError::Unknown));
        fake.0.lock().outage = false;
        // Another operator publishes before the first one asks again.
        let next = with_customer(&own.next, "b");
        publish(&kv, &request(3, 2, next))
            .await
            .expect("a revision on top");
        let again = publish(&kv, &own).await.expect("recognised later");
        assert_eq!(again.entry.mark.revision, 2);
    }
    let entries = published_entries(&fake).await;
    let own_entries = entries
        .iter()
        .filter(|entry| entry.operation == own.operation);
    assert_eq!(own_entries.count(), 1);
}

/// Guards against faulty or unconfirmed documents that reach the hosts, and against missing records of them.
#[tokio::test(start_paused = true)]
async fn refused_attempts_change_nothing_and_are_recorded() {
    let fake = FakeKv::default();
    let kv = fake.client();
    publish(&kv, &request(1, 0, sample()))
        .await
        .expect("the first revision");
    let mut faulty = sample();
    faulty.weights.cost = 7.0;
    let error = publish(&kv, &request(2, 1, faulty)).await;
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
async fn a_document_larger_than_one_value_is_split() {
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

/// Guards against loads that grow with the age of the fleet, and against lost older revisions.
#[tokio::test(start_paused = true)]
async fn snapshots_bound_loading_and_old_documents_come_back() {
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
    assert!(entries.windows(2).all(|pair| pair[0].base == pair[1].mark));
}
