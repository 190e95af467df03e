//! Logs to standard error, as text.

use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;
use logforth::layout::TextLayout;

/// Installs the text logger of the process; a second call only changes the level.
pub fn start_logs(level: log::LevelFilter) {
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(Stderr::default().with_layout(TextLayout::default())))
        .build();
    // Fails only if a logger is already set, for example by an embedding program.
    let _ = log::set_boxed_logger(Box::new(LogBridge::new(logger)));
    log::set_max_level(level);
}
