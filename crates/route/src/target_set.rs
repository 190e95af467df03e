//! The targets of a service in the local region.

use std::sync::Arc;

use lw_base::prelude::*;

use crate::prefix_owner_table::PrefixOwnerTable;
use crate::target_cell::TargetCell;

/// The targets in the order of the configuration document, and the prefix owners among them.
#[derive(Debug, Default)]
pub(crate) struct TargetSet {
    pub(crate) names: Vec<Arc<str>>,
    pub(crate) keys: Vec<TargetKey>,
    pub(crate) cells: Vec<Arc<TargetCell>>,
    pub(crate) slots: f64,
    pub(crate) prefix_owners: Arc<PrefixOwnerTable>,
}

impl TargetSet {
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }
}
