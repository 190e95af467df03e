//! The targets of a service in the own region.

use std::sync::Arc;

use lw_base::prelude::*;

use crate::home_table::PrefixOwnerTable;
use crate::target_cell::TargetCell;

/// Targets in the order of the document, and the homes of prefixes among them.
#[derive(Debug, Default)]
pub(crate) struct TargetSet {
    pub(crate) names: Vec<Arc<str>>,
    pub(crate) keys: Vec<TargetKey>,
    pub(crate) cells: Vec<Arc<TargetCell>>,
    pub(crate) slots: f64,
    pub(crate) homes: Arc<PrefixOwnerTable>,
}

impl TargetSet {
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }
}
