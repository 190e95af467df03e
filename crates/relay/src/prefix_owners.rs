//! Assigns the shared prefixes of long prompts to the targets that cache them.

use lw_base::prelude::*;
use lw_base::stable_hash_pair;

use crate::choose::{ChoiceQuery, NEW_COPY_WEIGHT};
use crate::plan::Plan;
use crate::prompt::Prompt;
use crate::target::Target;

/// The targets that own the shared prefix of a long prompt.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixOwners<'a> {
    /// The owner over all regions that may serve the request.
    pub global: Option<&'a Target>,
    /// The owner within the host's region: a region that receives requests from the region of the global owner also
    /// caches one copy, instead of one on each target.
    pub in_region: Option<&'a Target>,
}

impl PrefixOwners<'_> {
    /// Returns whether the global owner lies outside `region`.
    #[must_use]
    pub fn is_outside(&self, region: &str) -> bool {
        self.global.is_some_and(|owner| *owner.region != *region)
    }

    /// Returns the cost of an additional copy of the prefix on a target of the host's region, in milliseconds. It is
    /// zero when the global owner is in that region or the target has cached the prefix already.
    #[must_use]
    pub fn copy_cost_ms(&self, target: &Target, query: &ChoiceQuery<'_>) -> f64 {
        let is_cached = target
            .load
            .borrow()
            .cache
            .cached_tokens(&query.prompt.parts)
            > 0;
        if is_cached || !self.is_outside(query.region) {
            return 0.0;
        }
        let shared_tokens = query.prompt.input_tokens - query.prompt.unshared_tokens();
        NEW_COPY_WEIGHT * shared_tokens as f64 * query.timings.prefill_ms_per_token
    }
}

/// Returns the owners of the shared prefix of a prompt, the same on every host; `region` is the region of the host.
///
/// There is one owner over all regions that may serve the request: a prefill in each region costs several times the
/// network time to another region.
#[must_use]
pub fn prefix_owners_of<'a>(
    plan: &'a Plan,
    service: ServiceKey,
    prompt: &Prompt,
    region: &str,
    allows: impl Fn(&str) -> bool,
) -> PrefixOwners<'a> {
    let Some(prefix) = prompt.shared_prefix() else {
        return PrefixOwners::default();
    };
    let (mut global, mut in_region) = (None, None);
    for target in plan.targets_of(service) {
        if !plan.accepts_requests(target) {
            continue;
        }
        let weight = stable_hash_pair(prefix, target.incarnation.as_bytes());
        let has_more_weight =
            |best: Option<(u64, &Target)>| best.is_none_or(|(highest, _)| weight >= highest);
        if *target.region == *region && has_more_weight(in_region) {
            in_region = Some((weight, target));
        }
        if has_more_weight(global) && allows(&target.region) {
            global = Some((weight, target));
        }
    }
    PrefixOwners {
        global: global.map(|(_, target)| target),
        in_region: in_region.map(|(_, target)| target),
    }
}
