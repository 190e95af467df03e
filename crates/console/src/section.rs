//! Sections of the configuration document.

use lw_doc::Document;
use serde_json::Value;

const AUDIT_PATH: &str = "audit_keep_days";

/// A section of the document with its own list and form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Section {
    /// Services.
    Services,
    /// Regions and their availability zones.
    Regions,
    /// Targets.
    Targets,
    /// Customers.
    Customers,
    /// The weights of the routing policy, a single entity.
    Weights,
    /// Planned stops.
    PlannedStops,
    /// The model versions that engines should load.
    Models,
    /// The retention of the audit trail, a single entity.
    Audit,
}

impl Section {
    /// Every section, in the order of the navigation.
    pub const ALL: [Self; 8] = [
        Self::Services,
        Self::Regions,
        Self::Targets,
        Self::Customers,
        Self::Weights,
        Self::PlannedStops,
        Self::Models,
        Self::Audit,
    ];

    /// Returns the URL segment of the section.
    #[must_use]
    pub fn slug(self) -> &'static str {
        match self {
            Self::Services => "services",
            Self::Regions => "regions",
            Self::Targets => "targets",
            Self::Customers => "customers",
            Self::Weights => "weights",
            Self::PlannedStops => "planned-stops",
            Self::Models => "models",
            Self::Audit => "audit-retention",
        }
    }

    /// Parses the URL segment of a section.
    #[must_use]
    pub fn from_slug(slug: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.slug() == slug)
    }

    /// Returns the heading of the section.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            Self::Services => "Services",
            Self::Regions => "Regions",
            Self::Targets => "Targets",
            Self::Customers => "Customers",
            Self::Weights => "Weights",
            Self::PlannedStops => "Planned stops",
            Self::Models => "Models",
            Self::Audit => "Audit retention",
        }
    }

    /// Returns the display name of one entity of the section.
    #[must_use]
    pub fn entity(self) -> &'static str {
        match self {
            Self::Services => "service",
            Self::Regions => "region",
            Self::Targets => "target",
            Self::Customers => "customer",
            Self::Weights => "weights",
            Self::PlannedStops => "planned stop",
            Self::Models => "model",
            Self::Audit => "audit retention",
        }
    }

    /// Returns true when the entities have names and can be added and removed.
    #[must_use]
    pub fn has_names(self) -> bool {
        !matches!(self, Self::Weights | Self::Audit)
    }

    /// Returns the path that identifies an entity in changes, faults and warnings.
    #[must_use]
    pub fn entity_path(self, name: &str) -> String {
        match self {
            Self::Weights => "weights".to_owned(),
            Self::Audit => AUDIT_PATH.to_owned(),
            Self::Models => format!("engine/models/{name}"),
            Self::PlannedStops => format!("planned_stops/{name}"),
            _ => format!("{}/{name}", self.slug()),
        }
    }

    /// Returns the names of the entities, sorted.
    #[must_use]
    pub fn names(self, document: &Document) -> Vec<&str> {
        fn keys<T>(map: &std::collections::BTreeMap<String, T>) -> Vec<&str> {
            map.keys().map(String::as_str).collect()
        }
        match self {
            Self::Services => keys(&document.services),
            Self::Regions => keys(&document.regions),
            Self::Targets => keys(&document.targets),
            Self::Customers => keys(&document.customers),
            Self::Weights => vec!["weights"],
            Self::PlannedStops => keys(&document.planned_stops),
            Self::Models => keys(&document.engine.models),
            Self::Audit => vec!["audit"],
        }
    }

    /// Returns an entity as JSON; `None` when it does not exist.
    #[must_use]
    pub fn value(self, document: &Document, name: &str) -> Option<Value> {
        let value = match self {
            Self::Services => serde_json::to_value(document.services.get(name)?),
            Self::Regions => serde_json::to_value(document.regions.get(name)?),
            Self::Targets => serde_json::to_value(document.targets.get(name)?),
            Self::Customers => serde_json::to_value(document.customers.get(name)?),
            Self::Weights => serde_json::to_value(document.weights),
            Self::PlannedStops => serde_json::to_value(document.planned_stops.get(name)?),
            Self::Models => serde_json::to_value(document.engine.models.get(name)?),
            Self::Audit => serde_json::to_value(document.audit_keep_days),
        };
        value.ok()
    }
}

/// Returns the entity at the path of a change; `None` when it does not exist.
#[must_use]
pub fn value_at(document: &Document, path: &str) -> Option<Value> {
    match path {
        "format" => return Some(document.format.into()),
        "weights" => return Section::Weights.value(document, ""),
        AUDIT_PATH => return Section::Audit.value(document, ""),
        _ => {}
    }
    if let Some(name) = path.strip_prefix("engine/models/") {
        return Section::Models.value(document, name);
    }
    let (section, name) = path.split_once('/')?;
    Section::from_slug(&section.replace('_', "-"))?.value(document, name)
}
