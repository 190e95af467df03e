//! Rendezvous hashing (highest random weight).

use crate::stable_hash::stable_hash_pair;

/// Returns the indices of `names`, highest score first, for a key that is already hashed.
///
/// Equal scores are ordered by name, so every host computes the same order from the same set of names.
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

/// Returns the indices of `names`, highest score first; the share of keys for which a name ranks first is proportional
/// to its weight.
///
/// A changed weight moves only its own name: the order of all other names stays the same.
pub fn ranked_by_weight<N: AsRef<[u8]>>(key: u64, names: &[(N, f64)]) -> Vec<usize> {
    let mut scored: Vec<(f64, usize)> = names
        .iter()
        .enumerate()
        .map(|(index, (name, weight))| {
            let hash = stable_hash_pair(key, name.as_ref());
            // Uniform in (0, 1). The negative logarithm divided by the weight is exponentially distributed, so each
            // name has the minimum with a probability in proportion to its weight.
            let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
            (-uniform.ln() / weight.max(f64::MIN_POSITIVE), index)
        })
        .collect();
    scored.sort_by(|a, b| {
        let by_name = || names[a.1].0.as_ref().cmp(names[b.1].0.as_ref());
        a.0.total_cmp(&b.0).then_with(by_name)
    });
    scored.into_iter().map(|(_, index)| index).collect()
}

/// Returns the index that [`ranked`] returns first, or `None` when `names` is empty.
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
