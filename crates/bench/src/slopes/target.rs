//! The target size (design.md 1.3) and values derived from it.

pub(crate) const NODES: usize = 380;
pub(crate) const REGIONS: usize = 45;
pub(crate) const ZONES: usize = 113;
pub(crate) const TARGETS: usize = 11_000;
pub(crate) const CUSTOMERS: usize = 38_000;
pub(crate) const REQUESTS_PER_S: f64 = 41_000.0;
pub(crate) const CHANGES_PER_DAY: f64 = 36_000.0;
/// Host failures, restarts and replacements per day.
pub(crate) const HOST_EVENTS_PER_DAY: f64 = 950.0;
/// Share of non-idempotent requests that design.md 5.3 assumes.
pub(crate) const NON_IDEMPOTENT_SHARE: f64 = 0.1;
pub(crate) const SECONDS_PER_DAY: f64 = 86_400.0;

/// Size of the largest region relative to the smallest.
const REGION_SIZE_RATIO: f64 = 10.0;

/// Returns the number of nodes of each region, smallest first.
///
/// Sizes grow by a constant factor from the smallest region to the largest, which is ten times as large. Each region
/// has at least one node, and the sizes add up to `nodes`.
pub(crate) fn region_sizes(nodes: usize, regions: usize) -> Vec<usize> {
    let steps = regions.saturating_sub(1).max(1) as f64;
    let weights: Vec<f64> = (0..regions)
        .map(|index| REGION_SIZE_RATIO.powf(index as f64 / steps))
        .collect();
    let total: f64 = weights.iter().sum();
    let exact: Vec<f64> = weights.iter().map(|w| w / total * nodes as f64).collect();
    let mut sizes: Vec<usize> = exact.iter().map(|x| (*x as usize).max(1)).collect();
    let mut order: Vec<usize> = (0..regions).collect();
    order.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()));
    let mut unassigned = nodes.saturating_sub(sizes.iter().sum());
    for index in order.into_iter().cycle().take(nodes) {
        if unassigned == 0 {
            break;
        }
        sizes[index] += 1;
        unassigned -= 1;
    }
    sizes
}

/// Returns the number of regions of a fleet of `nodes` nodes whose regions have the mean size of the target.
pub(crate) fn regions_for(nodes: usize) -> usize {
    (nodes * REGIONS).div_ceil(NODES).max(1)
}

/// Returns the number of nodes of the largest region at the target size.
pub(crate) fn largest_region() -> usize {
    region_sizes(NODES, REGIONS).into_iter().max().unwrap_or(1)
}

/// Returns the number of targets of the largest region at the target size, if targets are distributed like nodes.
pub(crate) fn largest_region_targets() -> usize {
    (TARGETS * largest_region()).div_ceil(NODES)
}

/// Returns the name of a host, with a length that is typical of a deployment.
pub(crate) fn host_name(region: usize, number: usize) -> String {
    format!("entry-{region:02}-{number:03}")
}

/// Returns the name of a region.
pub(crate) fn region_name(region: usize) -> String {
    format!("region-{region:02}")
}
