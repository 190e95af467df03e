//! Rendezvous hashing (highest random weight).

use crate::stable_hash::stable_hash_pair;

/// Returns the indices of `names`, best candidate first, for the hashed `key`.
///
/// Equal scores are ordered by name, so every host computes the same order from the same set.
pub fn ranked<N: AsRef<[u8]>>(key: u64, names: &[N]) -> Vec<usize> {
    let mut scored: Vec<(u64, usize)> = names
        .iter()
        .enumerate()
        .map(|(index, name)| (stable_hash_pair(key, name.as_ref()), index))
        .collect();
    scored.sort_by(|a, b| {
        b.0.cmp(&a.0)
            .then_with(|| names[a.1].as_ref().cmp(names[b.1].as_ref()))
    });
    scored.into_iter().map(|(_, index)| index).collect()
}

/// Returns the index of the best candidate in `names`, or `None` for an empty set.
pub fn top_ranked<N: AsRef<[u8]>>(key: u64, names: &[N]) -> Option<usize> {
    let mut best: Option<(u64, usize)> = None;
    for (index, name) in names.iter().enumerate() {
        let score = stable_hash_pair(key, name.as_ref());
        let wins = match best {
            None => true,
            Some((best_score, best_index)) => {
                score > best_score
                    || (score == best_score && name.as_ref() < names[best_index].as_ref())
            }
        };
        if wins {
            best = Some((score, index));
        }
    }
    best.map(|(_, index)| index)
}
