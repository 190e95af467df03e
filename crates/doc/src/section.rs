//! The sections of a document.

/// A section of a document, which maps names to entities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Section {
    Regions,
    Services,
    Targets,
    Customers,
    PlannedStops,
    Models,
}

impl Section {
    pub(crate) const ALL: [Self; 6] = [
        Self::Regions,
        Self::Services,
        Self::Targets,
        Self::Customers,
        Self::PlannedStops,
        Self::Models,
    ];

    /// Returns the path prefix of the section's entities.
    pub(crate) fn prefix(self) -> &'static str {
        match self {
            Self::Regions => "regions/",
            Self::Services => "services/",
            Self::Targets => "targets/",
            Self::Customers => "customers/",
            Self::PlannedStops => "planned_stops/",
            Self::Models => "engine/models/",
        }
    }

    /// Splits the path of an entity into section and name; returns `None` when no section has its prefix.
    pub(crate) fn split(path: &str) -> Option<(Self, &str)> {
        let found = |section: Self| Some((section, path.strip_prefix(section.prefix())?));
        Self::ALL.into_iter().find_map(found)
    }
}
