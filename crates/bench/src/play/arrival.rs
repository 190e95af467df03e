//! Recorded requests and the streams they come from.

use lw_base::prelude::*;

/// One recorded request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When it arrives, in microseconds from the start.
    pub at_us: u64,
    /// The region of its caller.
    pub region: RegionKey,
    /// A random number that picks the entry host.
    pub host_draw: u32,
    /// The service.
    pub service: ServiceKey,
    /// The priority class.
    pub class: PriorityClass,
    /// The request must stay in its region.
    pub region_bound: bool,
    /// The reusable prefix and its tokens; no prefix when the tokens are zero.
    pub prefix: u64,
    /// The tokens of the prefix.
    pub prefix_tokens: u32,
    /// Further prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens; for a plain service the service time in tenths of a millisecond.
    pub output_tokens: u32,
}

impl Arrival {
    /// Returns the bytes that the request and its response take on a link, at four bytes per token.
    #[must_use]
    pub fn wide_area_bytes(&self) -> u64 {
        4 * u64::from(self.prefix_tokens + self.prompt_tokens + self.output_tokens)
    }
}

/// The requests of one kind; the tokens of a request vary by half around the mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficSource {
    /// The service.
    pub service: ServiceKey,
    /// The priority class.
    pub class: PriorityClass,
    /// The part of the service's slots in a region that this stream keeps busy on average at a rate factor of 1.
    pub use_ratio: f64,
    /// How many different prefixes occur; zero for none. Their popularity follows Zipf's law.
    pub prefixes: u32,
    /// Tokens of a prefix.
    pub prefix_tokens: u32,
    /// Mean further prompt tokens.
    pub prompt_tokens: u32,
    /// Mean output tokens.
    pub output_tokens: u32,
}
