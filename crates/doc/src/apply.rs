//! Applying differences.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::apply_error::ApplyError;
use crate::change::Change;
use crate::difference::Difference;
use crate::digest::Digest;
use crate::document::Document;

/// Applies a difference to the document whose digest is `digest`.
///
/// # Errors
///
/// Refuses a difference of another base, an unusable change, and a result of another digest than the difference names.
pub fn apply(
    document: &Document,
    digest: Digest,
    difference: &Difference,
) -> Result<Document, ApplyError> {
    let wanted = difference.base;
    if wanted != digest {
        let found = digest;
        return Err(ApplyError::WrongBase { wanted, found });
    }
    let next = apply_changes(document, &difference.changes)?;
    let (wanted, found) = (difference.result, next.digest());
    if wanted != found {
        return Err(ApplyError::WrongResult { wanted, found });
    }
    Ok(next)
}

/// Applies changes without a check of digests, for changes that an operator edits.
///
/// # Errors
///
/// Refuses paths that name no part of a document and values of the wrong form.
pub fn apply_changes(document: &Document, changes: &[Change]) -> Result<Document, ApplyError> {
    let mut next = document.clone();
    for change in changes {
        apply_change(&mut next, change)?;
    }
    Ok(next)
}

fn apply_change(document: &mut Document, change: &Change) -> Result<(), ApplyError> {
    let path = change.path.as_str();
    let unknown = || ApplyError::UnknownPath { path: path.into() };
    match (path, &change.value) {
        ("format", Some(value)) => {
            document.format = read(path, value)?;
            return Ok(());
        }
        ("weights", Some(value)) => {
            document.weights = read(path, value)?;
            return Ok(());
        }
        _ => {}
    }
    let (section, name) = path.split_once('/').ok_or_else(unknown)?;
    match section {
        "regions" => set(&mut document.regions, name, change),
        "services" => set(&mut document.services, name, change),
        "targets" => set(&mut document.targets, name, change),
        "customers" => set(&mut document.customers, name, change),
        "planned_stops" => set(&mut document.planned_stops, name, change),
        "engine" => {
            let name = name.strip_prefix("models/").ok_or_else(unknown)?;
            set(&mut document.engine.models, name, change)
        }
        _ => Err(unknown()),
    }
}

fn set<T: DeserializeOwned>(
    section: &mut BTreeMap<String, T>,
    name: &str,
    change: &Change,
) -> Result<(), ApplyError> {
    let Some(value) = &change.value else {
        section.remove(name);
        return Ok(());
    };
    section.insert(name.to_owned(), read(&change.path, value)?);
    Ok(())
}

fn read<T: DeserializeOwned>(path: &str, value: &Value) -> Result<T, ApplyError> {
    T::deserialize(value).map_err(|error| ApplyError::UnusableValue {
        path: path.to_owned(),
        message: error.to_string(),
    })
}
