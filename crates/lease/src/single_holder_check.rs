//! The check that no two holders act under the same fencing number.

use lw_base::{FastMap, Invariant, report_violation};

/// Records the newest fencing number of each scope and the holder that acted under it.
#[derive(Clone, Debug, Default)]
pub struct SingleHolderCheck {
    newest: FastMap<String, (u64, String)>,
}

impl SingleHolderCheck {
    /// Records an action, and counts an invariant violation if another holder acted under the same fencing number.
    ///
    /// Returns false if a higher fencing number has been recorded for the scope.
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
            let detail =
                format!("{last_holder} and {holder} both acted for {scope} under epoch {epoch}");
            report_violation(Invariant::OneHolder, detail);
        }
        *newest = epoch;
        holder.clone_into(last_holder);
        true
    }
}
