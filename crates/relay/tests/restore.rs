//! How long the state from before a restore of the platform's store holds.

use lw_relay::{EarlierKind, EntryOrder, RestoreLimits, is_earlier_state_valid};
use test_case::test_case;

/// Targets write a heartbeat every 1.2 s; operators repeat a lost write within 10 s.
fn limits() -> RestoreLimits {
    RestoreLimits::new(1_200, 10_000)
}

fn configuration(earlier: u64, listed: Option<u64>) -> EarlierKind {
    EarlierKind::Configuration {
        earlier: Some(earlier),
        listed,
    }
}

fn order(started_at_ms: u64, sequence: u64) -> EntryOrder {
    EntryOrder {
        started_at_ms,
        sequence,
    }
}

fn present(earlier: EntryOrder, listed: Option<EntryOrder>) -> EarlierKind {
    EarlierKind::Target {
        earlier,
        is_removed: false,
        listed,
    }
}

fn removed(earlier: EntryOrder, listed: EntryOrder) -> EarlierKind {
    EarlierKind::Target {
        earlier,
        is_removed: true,
        listed: Some(listed),
    }
}

struct Case {
    kind: EarlierKind,
    age_ms: u64,
    is_valid: bool,
}

// Guards against an older configuration that takes effect because the operator is slow to repeat the newer one.
#[test_case(&Case { kind: configuration(7, Some(6)), age_ms: 3_600_000, is_valid: true }; "an older configuration in the copy")]
#[test_case(&Case { kind: configuration(7, None), age_ms: 3_600_000, is_valid: true }; "no configuration in the copy")]
#[test_case(&Case { kind: configuration(7, Some(7)), age_ms: 0, is_valid: false }; "the configuration was repeated")]
#[test_case(&Case { kind: configuration(7, Some(8)), age_ms: 0, is_valid: false }; "a newer configuration was written")]
// Guards against live targets that are dropped, and against targets that have left and are kept for good.
#[test_case(&Case { kind: present(order(1, 5), None), age_ms: 1_900, is_valid: true }; "a target without an entry in the copy")]
#[test_case(&Case { kind: present(order(1, 5), None), age_ms: 2_100, is_valid: false }; "a target that has not written its entry again")]
#[test_case(&Case { kind: present(order(1, 5), Some(order(1, 4))), age_ms: 1_000, is_valid: true }; "an older entry in the copy")]
#[test_case(&Case { kind: present(order(1, 5), Some(order(1, 6))), age_ms: 0, is_valid: false }; "an entry that was written again")]
#[test_case(&Case { kind: present(order(1, 5), Some(order(2, 0))), age_ms: 0, is_valid: false }; "a restarted target")]
// Guards against requests to a target that has left, and against a living target that is never used again.
#[test_case(&Case { kind: removed(order(1, 5), order(1, 5)), age_ms: 5_500, is_valid: true }; "a target that has left is in the copy")]
#[test_case(&Case { kind: removed(order(1, 5), order(1, 5)), age_ms: 5_700, is_valid: false }; "its entry has not expired, so it lives")]
#[test_case(&Case { kind: removed(order(1, 5), order(2, 0)), age_ms: 0, is_valid: false }; "it has come back as another process")]
// Guards against an evacuation that is forgotten or begun again, and against one that lasts for good.
#[test_case(&Case { kind: EarlierKind::Evacuation { is_changed: true }, age_ms: 9_900, is_valid: true }; "an evacuation that the operator has not repeated yet")]
#[test_case(&Case { kind: EarlierKind::Evacuation { is_changed: true }, age_ms: 10_000, is_valid: false }; "an evacuation that the operator does not repeat")]
#[test_case(&Case { kind: EarlierKind::Evacuation { is_changed: false }, age_ms: 0, is_valid: false }; "an evacuation that the copy has too")]
#[test_case(&Case { kind: EarlierKind::Other, age_ms: 0, is_valid: false }; "another key")]
fn earlier_states_hold_until_they_are_repeated(case: &Case) {
    let is_valid = is_earlier_state_valid(case.kind, case.age_ms, limits());
    assert_eq!(is_valid, case.is_valid);
}
