//! Roles of engines.

/// The role of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EngineRole {
    /// Serves requests.
    Serve,
    /// Completes its in-flight requests and should receive no new ones.
    Drain,
    /// Holds no model.
    Standby,
}

impl EngineRole {
    /// Returns the name of the role in commands.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serve => "serve",
            Self::Drain => "drain",
            Self::Standby => "standby",
        }
    }

    /// Returns the role with the given name, or `None` for an unknown name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Serve, Self::Drain, Self::Standby]
            .into_iter()
            .find(|role| role.as_str() == name)
    }
}
