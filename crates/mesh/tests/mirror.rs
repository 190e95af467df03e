//! The mirror must never go back to an older state, whatever order listings and watches come in.

use std::sync::Arc;

use bytes::Bytes;
use lw_mesh::{Item, KeyChange, Listing, Mirror};
use test_case::test_case;

fn put(key: &str, revision: u64, value: &str) -> KeyChange {
    KeyChange {
        key: key.into(),
        revision,
        value: Some(Bytes::copy_from_slice(value.as_bytes())),
    }
}

fn removed(key: &str, revision: u64) -> KeyChange {
    KeyChange {
        key: key.into(),
        revision,
        value: None,
    }
}

fn listing(as_of: u64, items: &[(&str, u64, &str)]) -> Listing {
    let items = items.iter().map(|(key, revision, value)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        let revision = *revision;
        (Arc::from(*key), Item { value, revision })
    });
    Listing {
        as_of,
        items: items.collect(),
    }
}

struct Case {
    listings_and_watches: Vec<Step>,
    /// The value of the key `a` at the end.
    value: Option<&'static str>,
    as_of: u64,
}

enum Step {
    Replace(Listing),
    Apply(Vec<KeyChange>, u64),
}

// Guards against a listing of another host that is older than the own watch.
#[test_case(Case {
    listings_and_watches: vec![
        Step::Replace(listing(5, &[("a", 4, "old")])),
        Step::Apply(vec![put("a", 7, "new")], 7),
        Step::Replace(listing(6, &[("a", 4, "old")])),
    ],
    value: Some("new"),
    as_of: 7,
}; "an older listing changes nothing")]
// Guards against a page that was read before a change which the watch has already brought.
#[test_case(Case {
    listings_and_watches: vec![
        Step::Replace(listing(5, &[("a", 9, "newer than the listing")])),
        Step::Apply(vec![put("a", 7, "between"), removed("a", 8), put("a", 9, "newer than the listing")], 9),
    ],
    value: Some("newer than the listing"),
    as_of: 9,
}; "changes below the revision of an item are skipped")]
// Guards against a removed key that a late change brings back.
#[test_case(Case {
    listings_and_watches: vec![
        Step::Apply(vec![put("a", 3, "x"), removed("a", 4)], 4),
        Step::Apply(vec![put("a", 3, "x")], 4),
    ],
    value: None,
    as_of: 4,
}; "a change that is contained already is skipped")]
// Guards against keys that stay after their removal fell into lost history.
#[test_case(Case {
    listings_and_watches: vec![
        Step::Apply(vec![put("a", 3, "x"), put("b", 4, "y")], 4),
        Step::Replace(listing(9, &[("b", 4, "y")])),
    ],
    value: None,
    as_of: 9,
}; "a newer listing removes what it does not hold")]
fn mirror_never_goes_back(case: Case) {
    let mut mirror = Mirror::default();
    for step in case.listings_and_watches {
        match step {
            Step::Replace(listing) => drop(mirror.replace(listing)),
            Step::Apply(changes, as_of) => drop(mirror.apply_changes(changes, as_of)),
        }
    }
    let value = mirror.get("a").map(|item| item.value.clone());
    assert_eq!(value.as_deref(), case.value.map(str::as_bytes));
    assert_eq!(mirror.as_of(), case.as_of);
}

/// Guards against a plan that misses a change because it was not reported.
#[test]
fn changes_are_reported_once() {
    let mut mirror = Mirror::default();
    let changed =
        mirror.apply_changes(vec![put("a", 1, "x"), put("b", 2, "y"), removed("b", 3)], 3);
    assert_eq!(changed.written, vec![Arc::from("a")]);
    assert_eq!(changed.removed, vec![Arc::from("b")]);
    let changed = mirror.replace(listing(5, &[("a", 1, "x"), ("c", 5, "z")]));
    assert_eq!(changed.written, vec![Arc::from("c")]);
    assert!(changed.removed.is_empty());
}

/// Guards against prefixes that take in keys beside them.
#[test]
fn prefixes_hold_only_their_keys() {
    let mut mirror = Mirror::default();
    mirror.apply_changes(
        vec![put("op/a", 1, ""), put("op/b", 2, ""), put("opx", 3, "")],
        3,
    );
    let keys: Vec<&str> = mirror.with_prefix("op/").map(|(key, _)| &**key).collect();
    assert_eq!(keys, ["op/a", "op/b"]);
}

/// Guards against a host that is brought up to date with a gap, and against whole listings for single changes.
#[test]
fn another_host_is_brought_up_to_date() {
    let mut source = Mirror::default();
    source.replace(listing(5, &[("a", 4, "x")]));
    let mut follower = source.clone();
    source.apply_changes(vec![put("b", 6, "y"), removed("a", 7)], 8);
    let update = source
        .update_after(follower.as_of())
        .expect("a newer state");
    assert!(matches!(update, lw_mesh::MirrorUpdate::Changes { .. }));
    follower.apply_update(update);
    assert_eq!((follower.as_of(), follower.get("a")), (8, None));
    assert!(source.update_after(8).is_none());
    let stranger = source.update_after(2).expect("a newer state");
    assert!(matches!(stranger, lw_mesh::MirrorUpdate::Listing(_)));
}

/// Guards against changes that fell out of the kept ones and are skipped.
#[test]
fn a_host_that_is_far_behind_gets_everything() {
    let mut source = Mirror::default();
    source.replace(listing(5, &[]));
    for revision in 6..=400 {
        source.apply_changes(vec![put(&format!("k{revision}"), revision, "x")], revision);
    }
    let mut follower = Mirror::default();
    follower.replace(listing(6, &[("k6", 6, "x")]));
    follower.apply_update(source.update_after(6).expect("a newer state"));
    assert_eq!(follower.with_prefix("k").count(), 395);
}
