//! The assignment of a model to engines.

use std::sync::Arc;

use crate::desired_state::DesiredState;
use crate::engine_role::EngineRole;
use crate::model_spec::ModelSpec;
use crate::observed_state::ObservedState;

/// An engine that the model may be assigned to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCandidate {
    /// The name of the target.
    pub target: Arc<str>,
    /// The last observed state of the engine.
    pub observed: ObservedState,
    /// True if the engine was in the drain role without requests for [`PlacementTimes::drain_idle_ms`].
    ///
    /// [`PlacementTimes::drain_idle_ms`]: crate::PlacementTimes::drain_idle_ms
    pub is_drained: bool,
}

/// How well the observed state of an engine matches the model, best match first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum MatchQuality {
    /// Serves the version.
    Serving,
    /// Holds the version in another role.
    Loaded,
    /// Holds another version of the model.
    Outdated,
    /// Holds another model or none.
    Unrelated,
}

/// Returns the desired state of engines; an engine that is not in the result keeps its state.
///
/// Engines that already hold the version are selected first, so that few weights are loaded. Until a replacement
/// serves, no engine is drained, and the only serving engine keeps its version unless there is no other engine.
#[must_use]
pub fn assign(spec: &ModelSpec, engines: &[EngineCandidate]) -> Vec<(Arc<str>, DesiredState)> {
    let mut ranked: Vec<(MatchQuality, &EngineCandidate)> = engines
        .iter()
        .map(|engine| (match_quality(spec, engine), engine))
        .collect();
    ranked.sort_by(|a, b| (a.0, &a.1.target).cmp(&(b.0, &b.1.target)));
    let selected = ranked.len().min(spec.replicas as usize);
    let (selected, unselected) = ranked.split_at(selected);
    let mut desired = assign_selected(spec, selected, unselected);
    if selected
        .iter()
        .all(|(match_quality, _)| *match_quality == MatchQuality::Serving)
    {
        let removals = unselected
            .iter()
            .filter_map(|(_, engine)| unassign(spec, engine));
        desired.extend(removals);
    }
    desired
}

fn match_quality(spec: &ModelSpec, engine: &EngineCandidate) -> MatchQuality {
    let observed = &engine.observed;
    let is_model = observed.model == spec.model;
    let is_version = is_model && observed.version == spec.version;
    match (is_model, is_version, observed.role) {
        (true, true, Some(EngineRole::Serve)) => MatchQuality::Serving,
        (true, true, _) => MatchQuality::Loaded,
        (true, false, _) => MatchQuality::Outdated,
        (false, _, _) => MatchQuality::Unrelated,
    }
}

fn assign_selected(
    spec: &ModelSpec,
    selected: &[(MatchQuality, &EngineCandidate)],
    unselected: &[(MatchQuality, &EngineCandidate)],
) -> Vec<(Arc<str>, DesiredState)> {
    let serve = DesiredState {
        model: spec.model.clone(),
        version: spec.version.clone(),
        role: EngineRole::Serve,
    };
    let serving_engines = selected.iter().filter(|(_, engine)| serves(spec, engine));
    let serving = serving_engines.count();
    // At most a quarter of the serving engines, but at least one, change their version at a time.
    let mut upgrades_left = (serving / 4).max(1);
    let unused = unselected
        .iter()
        .find(|(match_quality, _)| *match_quality == MatchQuality::Unrelated);
    let mut desired = Vec::new();
    for (match_quality, engine) in selected {
        let changes_serving = *match_quality == MatchQuality::Outdated && serves(spec, engine);
        if changes_serving && upgrades_left == 0 {
            continue;
        }
        upgrades_left -= usize::from(changes_serving);
        if changes_serving && serving == 1 && selected.len() > 1 {
            // Another selected engine starts to serve first and replaces this one.
            continue;
        }
        let replacement = unused.filter(|_| changes_serving && serving == 1);
        let assigned = replacement.map_or(engine, |(_, unused)| unused);
        desired.push((assigned.target.clone(), serve.clone()));
    }
    desired
}

fn serves(spec: &ModelSpec, engine: &EngineCandidate) -> bool {
    engine.observed.model == spec.model && engine.observed.role == Some(EngineRole::Serve)
}

/// Returns the desired state of a surplus engine, which is drained before its model is unloaded.
fn unassign(spec: &ModelSpec, engine: &EngineCandidate) -> Option<(Arc<str>, DesiredState)> {
    if engine.observed.model != spec.model {
        return None;
    }
    let desired = match engine.is_drained {
        true => DesiredState::empty(),
        false => DesiredState {
            model: engine.observed.model.clone(),
            version: engine.observed.version.clone(),
            role: EngineRole::Drain,
        },
    };
    Some((engine.target.clone(), desired))
}
