//! Exit codes of the daemon.

/// How the daemon ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// A planned stop ended all requests.
    Ok,
    /// A runtime failure.
    Failed,
    /// Wrong arguments or settings.
    Usage,
    /// A planned stop reached its limit with requests in flight.
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
