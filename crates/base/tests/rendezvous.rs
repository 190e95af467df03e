//! Rendezvous hashing: order, balance, and which keys move when the names change.

use lw_base::{ranked, ranked_by_weight, stable_hash, top_ranked};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("host-{index}")).collect()
}

/// Guards against `top_ranked` and `ranked` choosing different names.
#[test]
fn top_ranked_is_first_of_ranked() {
    let names = names(13);
    for key in 0..500u64 {
        let key = stable_hash(&key.to_le_bytes());
        assert_eq!(
            top_ranked(key, &names),
            ranked(key, &names).first().copied()
        );
    }
}

/// Guards against hosts that choose different members because they received them in different orders.
#[test]
fn the_order_of_members_does_not_matter() {
    let forward = names(8);
    let mut backward = forward.clone();
    backward.reverse();
    for key in 0..500u64 {
        let key = stable_hash(&key.to_le_bytes());
        let first = top_ranked(key, &forward).map(|index| &forward[index]);
        let second = top_ranked(key, &backward).map(|index| &backward[index]);
        assert_eq!(first, second);
    }
}

/// Guards against keys that move between two remaining members when another member is removed.
#[test]
fn only_the_keys_of_a_removed_member_move() {
    let before = names(8);
    let mut after = before.clone();
    let removed = after.remove(3);
    for key in 0..2_000u64 {
        let key = stable_hash(&key.to_le_bytes());
        let old = &before[top_ranked(key, &before).expect("members")];
        let new = &after[top_ranked(key, &after).expect("members")];
        assert!(old == new || *old == removed);
    }
}

/// Guards against small hosts that receive as many requests as large ones.
#[test]
fn a_name_ranks_first_in_proportion_to_its_weight() {
    const KEYS: u64 = 10_000;
    let names = [("large", 400.0), ("small", 100.0)];
    let first =
        (0..KEYS).filter(|key| ranked_by_weight(stable_hash(&key.to_be_bytes()), &names)[0] == 0);
    let share = first.count() as f64 / KEYS as f64;
    assert!((share - 0.8).abs() < 0.02, "{share}");
}

/// Guards against a changed weight that reorders the other names: targets would move between hosts whose weights did
/// not change.
#[test]
fn a_changed_weight_moves_only_its_own_name() {
    let before = [("a", 100.0), ("b", 100.0), ("c", 100.0), ("d", 100.0)];
    let mut after = before;
    after[2].1 = 500.0;
    for key in 0..500_u64 {
        let key = stable_hash(&key.to_be_bytes());
        let others = |names: &[(&str, f64)]| -> Vec<usize> {
            let order = ranked_by_weight(key, names);
            order.into_iter().filter(|index| *index != 2).collect()
        };
        assert_eq!(others(&before), others(&after));
    }
}
