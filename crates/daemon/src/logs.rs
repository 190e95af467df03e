//! Logs on the standard error stream.

use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;
use logforth::layout::TextLayout;

/// Starts logging for the process; a second call changes only the level.
pub fn start_logs(level: log::LevelFilter) {
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(Stderr::default().with_layout(TextLayout::default())))
        .build();
    // An error means that a logger is set already, for example by an embedding program.
    let _ = log::set_boxed_logger(Box::new(LogBridge::new(logger)));
    log::set_max_level(level);
}
