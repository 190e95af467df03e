//! The check that no two holders act under the same authority.

use lw_base::{FastMap, Invariant, violate};

/// Remembers who acted under which fencing number.
#[derive(Clone, Debug, Default)]
pub struct SingleHolderCheck {
    newest: FastMap<String, (u64, String)>,
}

impl SingleHolderCheck {
    /// Records an action and counts a violation when another holder acted under the same number.
    ///
    /// Returns false for an action under a number that is lower than one seen before.
    pub fn record_action(&mut self, scope: &str, epoch: u64, holder: &str) -> bool {
        let Some((newest, last_holder)) = self.newest.get_mut(scope) else {
            let entry = (epoch, holder.to_owned());
            self.newest.insert(scope.to_owned(), entry);
            return true;
        };
        if epoch < *newest {
            return false;
        }
        if epoch == *newest && last_holder != holder {
            let detail = format!("{last_holder} and {holder} acted for {scope} under {epoch}");
            violate(Invariant::OneHolder, detail);
        }
        *newest = epoch;
        holder.clone_into(last_holder);
        true
    }
}
