//! Expected waits.

/// Returns the expected wait of a request at a server with `slots` parallel slots and the given use between 0 and 1,
/// in units of the service time (approximation of Sakasegawa for the M/M/c queue).
pub(crate) fn queue_wait(slots: f64, use_ratio: f64) -> f64 {
    /// Above this use the stationary formula has no meaning; the backlog is counted instead.
    const HIGHEST_USE: f64 = 0.98;
    let use_ratio = use_ratio.clamp(0.0, HIGHEST_USE);
    let slots = slots.max(1.0);
    use_ratio.powf((2.0 * (slots + 1.0)).sqrt() - 1.0) / (slots * (1.0 - use_ratio))
}
