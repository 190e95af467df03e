//! Holds the current routing view.

use std::sync::Arc;

use arc_swap::ArcSwap;
use lw_base::prelude::*;
use lw_doc::Fleet;

use crate::view::RouteView;

/// Holds the view of the latest revision, which decisions read without a lock.
#[derive(Debug)]
pub struct Router {
    view: ArcSwap<RouteView>,
    local_region: Arc<str>,
    seed: u64,
}

impl Router {
    /// Creates a router for the region named `local_region`. `seed` initializes the random number generators.
    #[must_use]
    pub fn new(now: MonoMs, fleet: &Arc<Fleet>, local_region: &str, seed: u64) -> Self {
        let view = RouteView::build(now, fleet, local_region, seed, None);
        Self {
            view: ArcSwap::from_pointee(view),
            local_region: local_region.into(),
            seed,
        }
    }

    /// Applies a new revision. Targets that remain keep their load, ejection and leaving state.
    pub fn apply(&self, now: MonoMs, fleet: &Arc<Fleet>) {
        let old = self.view.load_full();
        let view = RouteView::build(now, fleet, &self.local_region, self.seed, Some(&old));
        self.view.store(Arc::new(view));
    }

    /// Returns the current view. Keys of its fleet are valid only with this view.
    #[must_use]
    pub fn view(&self) -> Arc<RouteView> {
        self.view.load_full()
    }
}
