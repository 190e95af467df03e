//! Command-line options of the binary.

use gumdrop::Options;

#[derive(Debug, Options)]
pub(crate) struct BenchOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "compare routing policies on simulated arrivals")]
    Policies(PoliciesOptions),
    #[options(help = "measure the cost of one routing decision")]
    Decide(DecideOptions),
    #[options(help = "measure the cost of the proxied path")]
    Proxy(ProxyOptions),
    #[options(help = "inject seeded faults into two regions and check the invariants")]
    Faults(FaultsOptions),
    #[options(help = "measure resources that grow with the size of the fleet")]
    Slopes(SlopesOptions),
    #[options(help = "compare ways to share the limits of targets between hosts")]
    Limits(LimitsOptions),
    #[options(help = "run every benchmark with its defaults")]
    All(AllOptions),
}

#[derive(Debug, Options)]
pub(crate) struct PoliciesOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "seed of the arrivals", default = "20261203")]
    pub(crate) seed: u64,
    #[options(help = "length of a scenario in seconds", default = "600")]
    pub(crate) seconds: u64,
    #[options(help = "write the figures as JSON to this file", meta = "FILE")]
    pub(crate) json: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct DecideOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "decisions per measurement", default = "100000")]
    pub(crate) decisions: u32,
}

#[derive(Debug, Options)]
pub(crate) struct ProxyOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "plain requests per round", default = "20000")]
    pub(crate) requests: u64,
    #[options(help = "streams per round", default = "1500")]
    pub(crate) streams: u64,
    #[options(help = "tokens per stream", default = "256")]
    pub(crate) tokens: u64,
    #[options(help = "concurrent requests", default = "128")]
    pub(crate) concurrency: u64,
    #[options(help = "rounds of each kind", default = "5")]
    pub(crate) rounds: u32,
}

#[derive(Debug, Options)]
pub(crate) struct SlopesOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "seed of the random choices", default = "20261203")]
    pub(crate) seed: u64,
    #[options(help = "write the figures as JSON to this file", meta = "FILE")]
    pub(crate) json: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct LimitsOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "first seed of the requests", default = "20261204")]
    pub(crate) seed: u64,
    #[options(help = "number of seeds", default = "5")]
    pub(crate) seeds: u64,
    #[options(help = "number of hosts; 8 and 300 without it")]
    pub(crate) hosts: Option<usize>,
}

#[derive(Debug, Options)]
pub(crate) struct AllOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
}

#[derive(Debug, Options)]
pub(crate) struct FaultsOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "seed of the schedule and the callers", default = "1")]
    pub(crate) seed: u64,
    #[options(help = "length of the fault schedule in seconds", default = "40")]
    pub(crate) seconds: u64,
}
