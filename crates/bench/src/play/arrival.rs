//! Simulated requests and the traffic sources that generate them.

use lw_base::prelude::*;

/// One request of a simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Arrival time in microseconds from the start.
    pub at_us: u64,
    /// The region of the caller.
    pub region: RegionKey,
    /// A random number that selects the entry host.
    pub host_draw: u32,
    /// The service.
    pub service: ServiceKey,
    /// The priority class.
    pub class: PriorityClass,
    /// Whether the request must stay in its region.
    pub region_bound: bool,
    /// The shared prefix; there is none if `prefix_tokens` is zero.
    pub prefix: u64,
    /// Tokens of the prefix.
    pub prefix_tokens: u32,
    /// Prompt tokens after the prefix.
    pub prompt_tokens: u32,
    /// Output tokens; for a plain service, the service time in units of 0.1 ms.
    pub output_tokens: u32,
}

impl Arrival {
    /// Returns the bytes of the request and its response on a link between regions, at four bytes per token.
    #[must_use]
    pub fn wide_area_bytes(&self) -> u64 {
        4 * u64::from(self.prefix_tokens + self.prompt_tokens + self.output_tokens)
    }
}

/// A source of requests of one kind; the token counts of a request are uniform within 50% of the mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficSource {
    /// The service.
    pub service: ServiceKey,
    /// The priority class.
    pub class: PriorityClass,
    /// Mean share of the service's slots in a region that this source keeps busy at a rate factor of 1.
    pub use_ratio: f64,
    /// Number of distinct prefixes; zero for none. Their popularity follows Zipf's law.
    pub prefixes: u32,
    /// Tokens of a prefix.
    pub prefix_tokens: u32,
    /// Mean prompt tokens after the prefix.
    pub prompt_tokens: u32,
    /// Mean output tokens.
    pub output_tokens: u32,
}
