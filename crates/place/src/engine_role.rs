//! Roles of engines.

/// What an engine does with its model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EngineRole {
    /// Takes requests.
    Serve,
    /// Ends its requests and should get no new ones.
    Drain,
    /// Holds no model.
    Standby,
}

impl EngineRole {
    /// Returns the name that commands carry.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serve => "serve",
            Self::Drain => "drain",
            Self::Standby => "standby",
        }
    }

    /// Finds the role with the given name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Serve, Self::Drain, Self::Standby]
            .into_iter()
            .find(|role| role.as_str() == name)
    }
}
