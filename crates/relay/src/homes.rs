//! Where the shared beginnings of long prompts are kept.

use lw_base::prelude::*;
use lw_base::stable_hash_pair;

use crate::choose::{ChoiceQuery, NEW_COPY_WEIGHT};
use crate::plan::Plan;
use crate::prompt::Prompt;
use crate::target::Target;

/// The targets that keep the shared beginning of a long prompt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Homes<'a> {
    /// The one over all regions that may serve the request.
    pub overall: Option<&'a Target>,
    /// The one of the host's region: a region that takes requests from the region of the home keeps one copy too, not
    /// one on each target.
    pub near: Option<&'a Target>,
}

impl Homes<'_> {
    /// Returns whether the home over all regions lies outside `region`.
    #[must_use]
    pub fn is_elsewhere(&self, region: &str) -> bool {
        self.overall.is_some_and(|home| *home.region != *region)
    }

    /// Returns what a further copy of the beginning costs at a target of the host's region, in milliseconds: zero when
    /// that region has the home, or the target keeps the beginning already.
    #[must_use]
    pub fn copy_ms(&self, target: &Target, query: &ChoiceQuery<'_>) -> f64 {
        let is_kept = target
            .load
            .borrow()
            .cache
            .cached_tokens(&query.prompt.parts)
            > 0;
        if is_kept || !self.is_elsewhere(query.region) {
            return 0.0;
        }
        let shared_tokens = query.prompt.input_tokens - query.prompt.own_tokens();
        NEW_COPY_WEIGHT * shared_tokens as f64 * query.pace.token_ms
    }
}

/// Returns the homes of the beginning of a prompt, the same on every host; `region` is the region of the host.
///
/// There is one home over all regions that may serve the request: a beginning that each region reads for itself costs
/// several times the way to another region.
#[must_use]
pub fn homes_of<'a>(
    plan: &'a Plan,
    service: ServiceKey,
    prompt: &Prompt,
    region: &str,
    allows: impl Fn(&str) -> bool,
) -> Homes<'a> {
    let Some(beginning) = prompt.shared_beginning() else {
        return Homes::default();
    };
    let (mut overall, mut near) = (None, None);
    for target in plan.targets_of(service) {
        if !plan.is_open(target) {
            continue;
        }
        let weight = stable_hash_pair(beginning, target.incarnation.as_bytes());
        let is_more = |best: Option<(u64, &Target)>| best.is_none_or(|(most, _)| weight >= most);
        if *target.region == *region && is_more(near) {
            near = Some((weight, target));
        }
        if is_more(overall) && allows(&target.region) {
            overall = Some((weight, target));
        }
    }
    Homes {
        overall: overall.map(|(_, target)| target),
        near: near.map(|(_, target)| target),
    }
}
