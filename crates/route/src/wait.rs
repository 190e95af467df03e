//! Queueing delay estimates.

/// Returns the expected wait for one of `slots` parallel slots at the given use ratio between 0 and 1, in units of the
/// service time (Sakasegawa's approximation for the M/M/c queue).
pub(crate) fn queue_wait(slots: f64, use_ratio: f64) -> f64 {
    /// The maximum use ratio for the formula, which diverges at 1. Above it, the caller adds the backlog.
    const MAX_USE: f64 = 0.98;
    let use_ratio = use_ratio.clamp(0.0, MAX_USE);
    let slots = slots.max(1.0);
    use_ratio.powf((2.0 * (slots + 1.0)).sqrt() - 1.0) / (slots * (1.0 - use_ratio))
}
