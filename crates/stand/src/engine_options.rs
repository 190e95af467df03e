//! Options of the engine stand-in.

use lw_plat::WeightStore;

/// How an engine behaves without faults.
#[derive(Clone)]
pub struct EngineOptions {
    /// The loaded model; empty when none is loaded at start.
    pub model: String,
    /// The version of the loaded model.
    pub version: String,
    /// How many requests are decoded at once.
    pub slots: usize,
    /// Prompt tokens that are processed per second.
    pub prefill_tokens_per_s: f64,
    /// Time between two tokens of one request when it runs alone, in milliseconds.
    pub decode_ms: f64,
    /// How much longer a token takes with all slots in use; 0.5 means half as long again.
    pub batch_slowdown: f64,
    /// Prompt tokens that the prefix cache holds.
    pub cache_tokens: usize,
    /// Whether commands with an old fencing number are refused.
    pub fencing: bool,
    /// Whether a stream can be resumed from a token.
    pub resume: bool,
    /// How old load reports are, in milliseconds.
    pub load_lag_ms: u64,
    /// How late cache events are, in milliseconds.
    pub event_lag_ms: u64,
    /// Each event whose number is a multiple of this is lost; 0 loses none.
    pub event_gap_every: u64,
    /// How long a command takes, in milliseconds.
    pub command_ms: u64,
    /// Where a command loads weights from.
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
