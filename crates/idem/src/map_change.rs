//! Functions that compute the next shard map. Each caller writes the result by compare-and-swap.
//!
//! Only an owner proposes a view in which it stays owner or hands over, only a complete backup takes over with
//! consent, and everything else needs votes. A host therefore knows of every change that could leave it behind.

use lw_base::WallMs;

use crate::instance::Instance;
use crate::shard_map::{Cutoff, MapHost, ShardMap, ShardView, ranked_hosts};

/// How far after a takeover without consent the cutoff lies.
pub const CUTOFF_AHEAD_MS: u64 = 30_000;

/// How many shards one map write moves for balance, so that few backups are incomplete at a time.
const MOVES_PER_WRITE: usize = 8;

/// What a host knows when it computes the next map.
pub struct MapContext<'a> {
    /// The computing process.
    pub me: &'a MapHost,
    /// True when the process leaves.
    pub leaving: bool,
    /// Returns true for a process that is lost.
    pub lost: &'a dyn Fn(&Instance) -> bool,
    /// Returns true for a process that leaves.
    pub is_leaving: &'a dyn Fn(&Instance) -> bool,
    /// Returns true for a shard whose transfer to the backup is complete.
    pub transferred: &'a dyn Fn(usize) -> bool,
    /// Returns true for a shard whose cutoff was written too late.
    pub late_cutoff: &'a dyn Fn(usize) -> bool,
    /// Returns true for a shard that may be taken over without consent.
    pub voted: &'a dyn Fn(usize) -> bool,
    /// The wall clock.
    pub wall: WallMs,
}

/// Returns the next map, or `None` when nothing is to change.
#[must_use]
pub fn next_map(held: &ShardMap, situation: &MapContext<'_>) -> Option<ShardMap> {
    let mut map = held.clone();
    change_hosts(&mut map, situation);
    let names = map.host_names();
    let electorate = map.electorate_id(names);
    let mut moves = 0;
    for shard in 0..map.shards.len() {
        let view = completed(shard, &map.shards[shard], situation);
        let next = next_view(&map, shard, &view, situation, &mut moves)
            .map(|next| ShardView { electorate, ..next })
            .or_else(|| refreshed(&view, electorate, situation))
            .map(|next| ShardView {
                epoch: view.epoch + 1,
                ..next
            });
        map.shards[shard] = next.unwrap_or(view);
    }
    map.drop_unused_electorates();
    if map == *held {
        return None;
    }
    map.revision = held.revision + 1;
    Some(map)
}

fn change_hosts(map: &mut ShardMap, situation: &MapContext<'_>) {
    let me = situation.me;
    map.hosts
        .retain(|host| host.instance == me.instance || !(situation.lost)(&host.instance));
    map.hosts
        .retain(|host| host.instance.host != me.instance.host || host.instance == me.instance);
    if situation.leaving {
        map.hosts.retain(|host| host.instance != me.instance);
    } else if !map.lists(&me.instance) {
        map.hosts.push(me.clone());
    }
    map.hosts.sort_by(|a, b| a.instance.cmp(&b.instance));
}

/// Marks the backup as complete when its transfer is.
fn completed(shard: usize, view: &ShardView, situation: &MapContext<'_>) -> ShardView {
    let mine = view.owner == situation.me.instance;
    ShardView {
        backup_complete: view.backup_complete || (mine && (situation.transferred)(shard)),
        ..view.clone()
    }
}

fn refreshed(view: &ShardView, electorate: u32, situation: &MapContext<'_>) -> Option<ShardView> {
    let mine = view.owner == situation.me.instance;
    (mine && view.electorate != electorate).then(|| ShardView {
        electorate,
        ..view.clone()
    })
}

fn next_view(
    map: &ShardMap,
    shard: usize,
    view: &ShardView,
    situation: &MapContext<'_>,
    moves: &mut usize,
) -> Option<ShardView> {
    let me = &situation.me.instance;
    if view.owner == *me {
        return owner_change(map, shard, view, situation, moves);
    }
    let consents = view.backup.as_ref() == Some(me) && view.backup_complete;
    if consents && (situation.lost)(&view.owner) && !situation.leaving {
        return Some(taken(map, shard, view, situation, view.cutoff));
    }
    if (situation.voted)(shard) && !situation.leaving {
        let cutoff = Cutoff {
            issued_before: situation.wall.plus_ms(CUTOFF_AHEAD_MS),
            epoch: view.epoch + 1,
        };
        return Some(taken(map, shard, view, situation, Some(cutoff)));
    }
    None
}

fn taken(
    map: &ShardMap,
    shard: usize,
    view: &ShardView,
    situation: &MapContext<'_>,
    cutoff: Option<Cutoff>,
) -> ShardView {
    let me = &situation.me.instance;
    ShardView {
        owner: me.clone(),
        backup: best_backup(map, shard, me, situation),
        backup_complete: false,
        cutoff,
        ..view.clone()
    }
}

fn owner_change(
    map: &ShardMap,
    shard: usize,
    view: &ShardView,
    situation: &MapContext<'_>,
    moves: &mut usize,
) -> Option<ShardView> {
    let me = &situation.me.instance;
    let usable = view
        .backup
        .as_ref()
        .filter(|backup| map.lists(backup) && !(situation.lost)(backup));
    if (situation.late_cutoff)(shard) {
        return Some(ShardView {
            cutoff: Some(Cutoff {
                issued_before: situation.wall.plus_ms(CUTOFF_AHEAD_MS),
                epoch: view.epoch + 1,
            }),
            ..view.clone()
        });
    }
    let Some(backup) = usable else {
        let next = best_backup(map, shard, me, situation);
        return (next != view.backup).then(|| with_backup(view, next));
    };
    if situation.leaving {
        return view
            .backup_complete
            .then(|| handed_over(map, shard, view, backup, situation));
    }
    if (situation.is_leaving)(backup) {
        let next = best_backup(map, shard, me, situation)?;
        return Some(with_backup(view, Some(next)));
    }
    if !view.backup_complete || *moves >= MOVES_PER_WRITE {
        return None;
    }
    let next = balanced(map, shard, view, backup, situation)?;
    *moves += 1;
    Some(next)
}

fn with_backup(view: &ShardView, backup: Option<Instance>) -> ShardView {
    ShardView {
        backup,
        backup_complete: false,
        ..view.clone()
    }
}

/// The complete backup becomes the owner, and another host its backup.
fn handed_over(
    map: &ShardMap,
    shard: usize,
    view: &ShardView,
    backup: &Instance,
    situation: &MapContext<'_>,
) -> ShardView {
    ShardView {
        owner: backup.clone(),
        backup: best_backup(map, shard, backup, situation)
            .filter(|next| *next != situation.me.instance),
        backup_complete: false,
        ..view.clone()
    }
}

/// Moves one step towards the rendezvous order; a former owner stays as a complete backup.
fn balanced(
    map: &ShardMap,
    shard: usize,
    view: &ShardView,
    backup: &Instance,
    situation: &MapContext<'_>,
) -> Option<ShardView> {
    let hosts = candidates(map, situation);
    let order = ranked_hosts(shard, &hosts);
    let first = &order.first()?.instance;
    let second = &order.get(1)?.instance;
    if view.owner == *first {
        return (backup != second).then(|| with_backup(view, Some(second.clone())));
    }
    if backup != first {
        return Some(with_backup(view, Some(first.clone())));
    }
    Some(ShardView {
        owner: backup.clone(),
        backup: Some(view.owner.clone()),
        ..view.clone()
    })
}

fn candidates<'a>(map: &'a ShardMap, situation: &MapContext<'_>) -> Vec<&'a MapHost> {
    map.hosts
        .iter()
        .filter(|host| !(situation.lost)(&host.instance) && !(situation.is_leaving)(&host.instance))
        .collect()
}

/// Returns the best backup for `owner`: in another availability zone if possible.
fn best_backup(
    map: &ShardMap,
    shard: usize,
    owner: &Instance,
    situation: &MapContext<'_>,
) -> Option<Instance> {
    let zone = map
        .hosts
        .iter()
        .find(|host| host.instance == *owner)
        .map(|host| host.zone.clone());
    let hosts = candidates(map, situation);
    let order = ranked_hosts(shard, &hosts);
    let others = || order.iter().filter(|host| host.instance != *owner);
    others()
        .find(|host| Some(&host.zone) != zone.as_ref())
        .or_else(|| others().next())
        .map(|host| host.instance.clone())
}
