//! Options of the fake engine.

use lw_plat::WeightStore;

/// The behaviour of an engine when no faults are injected.
#[derive(Clone)]
pub struct EngineOptions {
    /// The model that is loaded at start; empty if none is.
    pub model: String,
    /// The version of the loaded model.
    pub version: String,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Prefill rate of one request in prompt tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Decode time per token of a request that runs alone, in milliseconds.
    pub decode_ms: f64,
    /// Relative increase of the decode time with all slots in use; 0.5 means 1.5 times the decode time.
    pub batch_slowdown: f64,
    /// Capacity of the prefix cache in prompt tokens.
    pub cache_tokens: usize,
    /// Whether commands with an outdated fencing number are rejected.
    pub fencing: bool,
    /// Whether a request may resume a stream from a given token.
    pub resume: bool,
    /// Delay of load reports in milliseconds.
    pub load_lag_ms: u64,
    /// Delay of cache events in milliseconds.
    pub event_lag_ms: u64,
    /// Cache events whose sequence number is a multiple of this are lost; 0 loses none.
    pub event_gap_every: u64,
    /// Duration of a command without the load of weights, in milliseconds.
    pub command_ms: u64,
    /// The store that commands load weights from; `None` loads nothing.
    pub weights: Option<WeightStore>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            model: "grade".into(),
            version: "1".into(),
            slots: 16,
            prefill_tokens_per_s: 8_000.0,
            decode_ms: 20.0,
            batch_slowdown: 0.5,
            cache_tokens: 64 * 1024,
            fencing: true,
            resume: true,
            load_lag_ms: 1_000,
            event_lag_ms: 500,
            event_gap_every: 17,
            command_ms: 0,
            weights: None,
        }
    }
}
