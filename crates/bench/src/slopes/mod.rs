//! The subcommand `slopes`: measures resources that grow with the size of the fleet and extrapolates them to the target
//! size.

mod conf_difference;
mod conf_fleet;
mod distribution;
mod documents;
mod fit;
mod frame_sizer;
mod kv_service;
mod leases;
mod load_message;
mod member_fleet;
mod membership;
mod requests;
mod resource_estimate;
mod shard_region;
mod shards;
mod slope;
mod start_up;
mod table;
mod target;
mod totals;

use std::io;

use serde::Serialize;

use crate::options::SlopesOptions;

pub use fit::{Fit, Point};
pub use kv_service::KvCalls;
pub use resource_estimate::{ControlTraffic, KvCallerLoad, MemoryItem, ResourceEstimate};
pub use slope::Slope;

/// All slopes and the resource estimate that follows from them.
#[derive(Clone, Debug, Serialize)]
pub struct Slopes {
    /// The seed of the measurements.
    pub seed: u64,
    /// The slopes.
    pub slopes: Vec<Slope>,
    /// The resource estimate at the target size.
    pub account: ResourceEstimate,
}

impl Slopes {
    /// Returns the slope with this id.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    #[must_use]
    pub fn get(&self, id: &str) -> &Slope {
        let found = self.slopes.iter().find(|slope| slope.id == id);
        found.unwrap_or_else(|| panic!("there is no slope {id}"))
    }
}

/// Measures all slopes: counts and bytes in parallel, then timings alone.
#[must_use]
pub fn slopes(seed: u64) -> Slopes {
    let (distribution, start_up, membership, shards) = std::thread::scope(|scope| {
        let distribution = scope.spawn(|| distribution::measure(seed));
        let start_up = scope.spawn(|| start_up::measure(seed));
        let membership = scope.spawn(|| membership::measure(seed));
        let shards = shards::measure(seed);
        let failed = "a measurement panicked";
        let (distribution, start_up) = (distribution.join(), start_up.join());
        let membership = membership.join().expect(failed);
        let (distribution, start_up) = (distribution.expect(failed), start_up.expect(failed));
        (distribution, start_up, membership, shards)
    });
    let mut all = conf_difference::measure();
    all.extend(distribution.slopes.iter().cloned());
    all.extend(start_up.slopes.iter().cloned());
    all.extend(membership);
    all.extend(load_message::measure());
    all.extend(shards);
    all.extend(leases::measure(seed));
    all.extend(requests::measure());
    let account = totals::estimate(&all, &distribution, &start_up);
    Slopes {
        seed,
        slopes: all,
        account,
    }
}

/// Measures all slopes, prints the tables and writes the JSON file.
///
/// # Errors
///
/// Returns an error if the JSON file cannot be written.
pub(crate) fn run(options: &SlopesOptions) -> io::Result<()> {
    println!("seed {}", options.seed);
    let slopes = slopes(options.seed);
    println!("{}", table::slopes(&slopes.slopes));
    println!("{}", table::callers(&slopes.account));
    println!("{}", table::shares(&slopes.account));
    println!("{}", table::memory(&slopes.account));
    println!(
        "longest time until a change is in force: {:.0} ms at the mean rate, {:.0} ms at ten times the mean",
        slopes.account.in_force_ms[0], slopes.account.in_force_ms[1]
    );
    println!(
        "start of the whole fleet: {:.0} reads of configuration; ready after {:.0} s without and {:.0} s with the rate \
         limits of the service (documents with a snapshot of one part)",
        slopes.account.fleet_start_reads,
        slopes.account.fleet_ready_s,
        slopes.account.limited_fleet_ready_s
    );
    println!(
        "frames of non-idempotent requests: {:.0} bytes/s per node, besides the control bytes",
        slopes.account.request_bytes_per_s
    );
    let Some(path) = &options.json else {
        return Ok(());
    };
    std::fs::write(path, serde_json::to_vec_pretty(&slopes)?)
}
