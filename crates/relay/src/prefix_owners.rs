//! Where the shared beginnings of long prompts are kept.

use lw_base::prelude::*;
use lw_base::stable_hash_pair;

use crate::choose::{ChoiceQuery, NEW_COPY_WEIGHT};
use crate::plan::Plan;
use crate::prompt::Prompt;
use crate::target::Target;

/// The targets that keep the shared beginning of a long prompt.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixOwners<'a> {
    /// The one over all regions that may serve the request.
    pub global: Option<&'a Target>,
    /// The one of the host's region: a region that takes requests from the region of the home keeps one copy too, not
    /// one on each target.
    pub in_region: Option<&'a Target>,
}

impl PrefixOwners<'_> {
    /// Returns whether the home over all regions lies outside `region`.
    #[must_use]
    pub fn is_outside(&self, region: &str) -> bool {
        self.global.is_some_and(|owner| *owner.region != *region)
    }

    /// Returns what a further copy of the beginning costs at a target of the host's region, in milliseconds: zero when
    /// that region has the home, or the target keeps the beginning already.
    #[must_use]
    pub fn copy_cost_ms(&self, target: &Target, query: &ChoiceQuery<'_>) -> f64 {
        let is_kept = target
            .load
            .borrow()
            .cache
            .cached_tokens(&query.prompt.parts)
            > 0;
        if is_kept || !self.is_outside(query.region) {
            return 0.0;
        }
        let shared_tokens = query.prompt.input_tokens - query.prompt.unshared_tokens();
        NEW_COPY_WEIGHT * shared_tokens as f64 * query.timings.prefill_ms_per_token
    }
}

/// Returns the homes of the beginning of a prompt, the same on every host; `region` is the region of the host.
///
/// There is one home over all regions that may serve the request: a beginning that each region reads for itself costs
/// several times the way to another region.
#[must_use]
pub fn prefix_owners_of<'a>(
    plan: &'a Plan,
    service: ServiceKey,
    prompt: &Prompt,
    region: &str,
    allows: impl Fn(&str) -> bool,
) -> PrefixOwners<'a> {
    let Some(beginning) = prompt.shared_prefix() else {
        return PrefixOwners::default();
    };
    let (mut global, mut in_region) = (None, None);
    for target in plan.targets_of(service) {
        if !plan.accepts_requests(target) {
            continue;
        }
        let weight = stable_hash_pair(beginning, target.incarnation.as_bytes());
        let is_more = |best: Option<(u64, &Target)>| best.is_none_or(|(most, _)| weight >= most);
        if *target.region == *region && is_more(in_region) {
            in_region = Some((weight, target));
        }
        if is_more(global) && allows(&target.region) {
            global = Some((weight, target));
        }
    }
    PrefixOwners {
        global: global.map(|(_, target)| target),
        in_region: in_region.map(|(_, target)| target),
    }
}
