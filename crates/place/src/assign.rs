//! Which engines of a model serve it.

use std::sync::Arc;

use crate::desired_state::DesiredState;
use crate::engine_role::EngineRole;
use crate::model_spec::ModelSpec;
use crate::observed_state::ObservedState;

/// An engine that may hold the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCandidate {
    /// The name of the target.
    pub target: Arc<str>,
    /// What it was last seen to hold.
    pub view: ObservedState,
    /// True when it was in the drain role without requests for long enough.
    pub is_drained: bool,
}

/// How well an engine fits, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fit {
    Serving,
    Loaded,
    Outdated,
    Other,
}

/// Returns what each engine should hold; an engine that is not named stays as it is.
///
/// Engines that hold the version already are kept first, so few weights are loaded. No engine is drained and no sole
/// server changes its version before a replacement serves, unless there is no other engine.
#[must_use]
pub fn assign(want: &ModelSpec, engines: &[EngineCandidate]) -> Vec<(Arc<str>, DesiredState)> {
    let mut ranked: Vec<(Fit, &EngineCandidate)> = engines
        .iter()
        .map(|engine| (fit(want, engine), engine))
        .collect();
    ranked.sort_by(|a, b| (a.0, &a.1.target).cmp(&(b.0, &b.1.target)));
    let kept = ranked.len().min(want.replicas as usize);
    let (kept, rest) = ranked.split_at(kept);
    let mut wanted = keep(want, kept, rest);
    if kept.iter().all(|(fit, _)| *fit == Fit::Serving) {
        let removals = rest.iter().filter_map(|(_, engine)| remove(want, engine));
        wanted.extend(removals);
    }
    wanted
}

fn fit(want: &ModelSpec, engine: &EngineCandidate) -> Fit {
    let view = &engine.view;
    let is_model = view.model == want.model;
    let is_version = is_model && view.version == want.version;
    match (is_model, is_version, view.role) {
        (true, true, Some(EngineRole::Serve)) => Fit::Serving,
        (true, true, _) => Fit::Loaded,
        (true, false, _) => Fit::Outdated,
        (false, _, _) => Fit::Other,
    }
}

fn keep(
    want: &ModelSpec,
    kept: &[(Fit, &EngineCandidate)],
    rest: &[(Fit, &EngineCandidate)],
) -> Vec<(Arc<str>, DesiredState)> {
    let serve = DesiredState {
        model: want.model.clone(),
        version: want.version.clone(),
        role: EngineRole::Serve,
    };
    let servers = kept.iter().filter(|(_, engine)| serves(want, engine));
    let servers = servers.count();
    // At most a quarter of the servers, at least one, change their version at a time.
    let mut upgrades = (servers / 4).max(1);
    let spare = rest.iter().find(|(fit, _)| *fit == Fit::Other);
    let mut wanted = Vec::new();
    for (fit, engine) in kept {
        let changes_server = *fit == Fit::Outdated && serves(want, engine);
        if changes_server && upgrades == 0 {
            continue;
        }
        upgrades -= usize::from(changes_server);
        if changes_server && servers == 1 && kept.len() > 1 {
            // Another kept engine is about to serve and replaces it first.
            continue;
        }
        let replacement = spare.filter(|_| changes_server && servers == 1);
        let changed = replacement.map_or(engine, |(_, spare)| spare);
        wanted.push((changed.target.clone(), serve.clone()));
    }
    wanted
}

fn serves(want: &ModelSpec, engine: &EngineCandidate) -> bool {
    engine.view.model == want.model && engine.view.role == Some(EngineRole::Serve)
}

/// Takes a surplus engine out in two steps: it ends its requests first.
fn remove(want: &ModelSpec, engine: &EngineCandidate) -> Option<(Arc<str>, DesiredState)> {
    if engine.view.model != want.model {
        return None;
    }
    let wanted = match engine.is_drained {
        true => DesiredState::empty(),
        false => DesiredState {
            model: engine.view.model.clone(),
            version: engine.view.version.clone(),
            role: EngineRole::Drain,
        },
    };
    Some((engine.target.clone(), wanted))
}
