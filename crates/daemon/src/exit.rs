//! Exit codes of the daemon.

/// Result of a daemon run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Success; after a planned stop, all requests in flight have ended.
    Ok,
    /// A runtime failure.
    Failed,
    /// Wrong arguments or settings.
    Usage,
    /// A planned stop reached its drain limit with requests in flight.
    DrainTimedOut,
}

impl Exit {
    /// Returns the exit code of the process.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::DrainTimedOut => 3,
        }
    }
}
