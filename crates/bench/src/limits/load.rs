//! The requests of callers.

use std::sync::Arc;

use lw_base::prelude::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// How callers choose hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// All hosts alike.
    Even,
    /// One host in ten gets nine of ten requests.
    Skewed,
    /// One host gets all requests.
    OneHost,
    /// One host gets all requests, another one every two seconds.
    Moving,
}

/// The time for which the traffic stays at one host in [`Load::Moving`], in milliseconds.
const STAY_MS: u64 = 2_000;

impl Load {
    /// All kinds of load.
    pub const ALL: [Self; 4] = [Self::Even, Self::Skewed, Self::OneHost, Self::Moving];

    /// Returns the name for tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Even => "even",
            Self::Skewed => "nine of ten requests at one host in ten",
            Self::OneHost => "all at one host",
            Self::Moving => "all at one host, another one every 2 s",
        }
    }

    /// Returns the host to which the request of a caller goes.
    pub(crate) fn host(self, at_ms: u64, hosts: &[usize], rng: &mut ChaCha8Rng) -> usize {
        let any = hosts[rng.random_range(0..hosts.len())];
        match self {
            Self::Even => any,
            Self::Skewed if rng.random_range(0.0..1.0) < 0.9 => {
                let few = hosts.len().div_ceil(10);
                hosts[rng.random_range(0..few)]
            }
            Self::Skewed => any,
            Self::OneHost => hosts[0],
            Self::Moving => hosts[(at_ms / STAY_MS) as usize * 7 % hosts.len()],
        }
    }
}

/// A request of a caller for one target.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at_ms: u64,
    /// The host that it goes to first.
    pub(crate) host: usize,
    pub(crate) target: usize,
}

/// Returns the requests of a run, in order of time, `per_s` for each target and second on average.
pub(crate) fn arrivals(
    load: Load,
    hosts: &[usize],
    targets: usize,
    per_s: f64,
    end_ms: u64,
    rng: &mut ChaCha8Rng,
) -> Arc<[Arrival]> {
    let mut arrivals = Vec::new();
    for target in 0..targets {
        let mut at_ms = 0.0;
        loop {
            // Exponentially distributed intervals make a Poisson process.
            at_ms += -(1.0 - rng.random_range(0.0..1.0_f64)).ln() * 1_000.0 / per_s;
            if at_ms as u64 >= end_ms {
                break;
            }
            arrivals.push(Arrival {
                at_ms: at_ms as u64,
                host: load.host(at_ms as u64, hosts, rng),
                target,
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals.into()
}

/// The requests of each step of a run.
pub(crate) type ArrivalsByStep = FastMap<u64, Vec<Arrival>>;
