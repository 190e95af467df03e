//! Dispatch to the form of each section.

use lw_base::WallMs;
use lw_doc::{
    AuditKeepDays, CustomerEntry, Document, ModelEntry, RegionEntry, ServiceKind, Weights,
};
use serde_json::Value;

use crate::forms::field::{Field, FieldKind, choices, field};
use crate::forms::form_fault::FormFault;
use crate::forms::{
    audit_form, customer_form, model_form, region_form, service_form, stop_form, target_form,
    weights_form,
};
use crate::inputs::Inputs;
use crate::section::Section;

/// Returns the form fields of a section; a new entity gets a name field first.
#[must_use]
pub fn entity_fields(section: Section, document: &Document, new: bool) -> Vec<Field> {
    let mut fields = match section {
        Section::Services => service_form::fields(document),
        Section::Regions => region_form::fields(),
        Section::Targets => target_form::fields(document),
        Section::Customers => customer_form::fields(document),
        Section::Weights => weights_form::fields(),
        Section::PlannedStops => stop_form::fields(),
        Section::Models => model_form::fields(),
        Section::Audit => audit_form::fields(),
    };
    if new && section.has_names() {
        fields.insert(0, name_field(section, document));
    }
    fields
}

pub(crate) fn name_field(section: Section, document: &Document) -> Field {
    match section {
        Section::Models => {
            let services = document.services.iter();
            let models = services.filter(|(_, entry)| entry.kind == ServiceKind::Model);
            let names = choices(models.map(|(name, _)| name.as_str()));
            field("name", "Model service", "", FieldKind::Select(names))
        }
        Section::Targets | Section::Customers | Section::PlannedStops => field(
            "name",
            "Name",
            "1 to 64 letters, digits, `-`, `_` and `.`; the name cannot be changed later.",
            FieldKind::Text,
        ),
        Section::Services | Section::Regions | Section::Weights | Section::Audit => field(
            "name",
            "Name",
            "1 to 64 letters, digits, `-` and `_`; the name cannot be changed later.",
            FieldKind::Text,
        ),
    }
}

/// Returns the form values of an existing entity; `None` when it does not exist.
#[must_use]
pub fn fill(section: Section, document: &Document, name: &str) -> Option<Inputs> {
    Some(match section {
        Section::Services => service_form::fill(document.services.get(name)?),
        Section::Regions => region_form::fill(document.regions.get(name)?),
        Section::Targets => target_form::fill(document.targets.get(name)?),
        Section::Customers => customer_form::fill(document.customers.get(name)?),
        Section::Weights => weights_form::fill(document.weights),
        Section::PlannedStops => stop_form::fill(document.planned_stops.get(name)?),
        Section::Models => model_form::fill(document.engine.models.get(name)?),
        Section::Audit => audit_form::fill(document.audit_keep_days),
    })
}

/// Returns the initial form values for a new entity.
#[must_use]
pub fn blank(section: Section, now: WallMs) -> Inputs {
    match section {
        Section::Services => service_form::fill(&service_form::blank()),
        Section::Regions => region_form::fill(&RegionEntry::default()),
        Section::Targets => target_form::fill(&target_form::blank()),
        Section::Customers => customer_form::fill(&CustomerEntry::default()),
        Section::Weights => weights_form::fill(Weights::default()),
        Section::PlannedStops => stop_form::fill(&stop_form::blank(now)),
        Section::Models => model_form::fill(&ModelEntry::default()),
        Section::Audit => audit_form::fill(AuditKeepDays::default()),
    }
}

/// Parses form values into the JSON of an entity, and returns a fault for each field that cannot be parsed.
#[must_use]
pub fn read_entity(section: Section, inputs: &Inputs) -> (Value, Vec<FormFault>) {
    match section {
        Section::Services => service_form::read(inputs),
        Section::Regions => region_form::read(inputs),
        Section::Targets => target_form::read(inputs),
        Section::Customers => customer_form::read(inputs),
        Section::Weights => weights_form::read(inputs),
        Section::PlannedStops => stop_form::read(inputs),
        Section::Models => model_form::read(inputs),
        Section::Audit => audit_form::read(inputs),
    }
}
