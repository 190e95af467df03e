//! Computes the next shard map, which the caller writes by compare-and-swap.
//!
//! A host proposes a new view of a shard in three cases. As the owner, it stays the owner or hands the shard over to
//! its complete backup. As the complete backup, it takes over the shard of a lost owner. In every other case it takes
//! over only if [`MapContext::may_take_over`] allows it, and the new view has a cutoff, because the new owner's table
//! can lack keys.

use lw_base::WallMs;

use crate::instance::Instance;
use crate::shard_map::{Cutoff, MapHost, ShardMap, ShardView, ranked_hosts};

/// How far after the wall time of a takeover without consent its cutoff lies.
pub const CUTOFF_AHEAD_MS: u64 = 30_000;

/// The most shards that one map write moves for balance; more would leave many backups incomplete at a time.
const MAX_MOVES_PER_WRITE: usize = 8;

/// The inputs from which a host computes the next map, besides the current map.
pub struct MapContext<'a> {
    /// The process that computes the map.
    pub me: &'a MapHost,
    /// True when the process leaves.
    pub leaving: bool,
    /// Returns true for a process that is lost.
    pub is_lost: &'a dyn Fn(&Instance) -> bool,
    /// Returns true for a process that leaves.
    pub is_leaving: &'a dyn Fn(&Instance) -> bool,
    /// Returns true for a shard whose transfer to the backup is complete.
    pub is_transferred: &'a dyn Fn(usize) -> bool,
    /// Returns true for a shard whose cutoff was written too late.
    pub cutoff_is_late: &'a dyn Fn(usize) -> bool,
    /// Returns true for a shard that may be taken over without consent.
    pub may_take_over: &'a dyn Fn(usize) -> bool,
    /// The wall clock.
    pub wall: WallMs,
}

/// Returns the next map, or `None` when nothing changes.
#[must_use]
pub fn next_map(current: &ShardMap, context: &MapContext<'_>) -> Option<ShardMap> {
    let mut map = current.clone();
    change_hosts(&mut map, context);
    let names = map.host_names();
    let electorate = map.electorate_id(names);
    let mut moves = 0;
    for shard in 0..map.shards.len() {
        let view = with_backup_completed(shard, &map.shards[shard], context);
        let next = next_view(&map, shard, &view, context, &mut moves)
            .map(|next| ShardView { electorate, ..next })
            .or_else(|| with_electorate(&view, electorate, context))
            .map(|next| ShardView {
                epoch: view.epoch + 1,
                ..next
            });
        map.shards[shard] = next.unwrap_or(view);
    }
    map.drop_unused_electorates();
    if map == *current {
        return None;
    }
    map.revision = current.revision + 1;
    Some(map)
}

fn change_hosts(map: &mut ShardMap, context: &MapContext<'_>) {
    let me = context.me;
    map.hosts
        .retain(|host| host.instance == me.instance || !(context.is_lost)(&host.instance));
    map.hosts
        .retain(|host| host.instance.host != me.instance.host || host.instance == me.instance);
    if context.leaving {
        map.hosts.retain(|host| host.instance != me.instance);
    } else if !map.lists(&me.instance) {
        map.hosts.push(me.clone());
    }
    map.hosts.sort_by(|a, b| a.instance.cmp(&b.instance));
}

/// Returns the view with its backup marked as complete when this host is the owner and its transfer is complete.
fn with_backup_completed(shard: usize, view: &ShardView, context: &MapContext<'_>) -> ShardView {
    let is_owner = view.owner == context.me.instance;
    ShardView {
        backup_complete: view.backup_complete || (is_owner && (context.is_transferred)(shard)),
        ..view.clone()
    }
}

/// Returns the view with the id `electorate` when this host is the owner and the electorate changed.
fn with_electorate(
    view: &ShardView,
    electorate: u32,
    context: &MapContext<'_>,
) -> Option<ShardView> {
    let is_owner = view.owner == context.me.instance;
    (is_owner && view.electorate != electorate).then(|| ShardView {
        electorate,
        ..view.clone()
    })
}

fn next_view(
    map: &ShardMap,
    shard: usize,
    view: &ShardView,
    context: &MapContext<'_>,
    moves: &mut usize,
) -> Option<ShardView> {
    let me = &context.me.instance;
    if view.owner == *me {
        return next_view_as_owner(map, shard, view, context, moves);
    }
    let is_complete_backup = view.backup.as_ref() == Some(me) && view.backup_complete;
    if is_complete_backup && (context.is_lost)(&view.owner) && !context.leaving {
        return Some(takeover_view(map, shard, view, context, view.cutoff));
    }
    if (context.may_take_over)(shard) && !context.leaving {
        let cutoff = Cutoff {
            issued_before: context.wall.plus_ms(CUTOFF_AHEAD_MS),
            epoch: view.epoch + 1,
        };
        return Some(takeover_view(map, shard, view, context, Some(cutoff)));
    }
    None
}

/// Returns a view in which this host becomes the owner.
fn takeover_view(
    map: &ShardMap,
    shard: usize,
    view: &ShardView,
    context: &MapContext<'_>,
    cutoff: Option<Cutoff>,
) -> ShardView {
    let me = &context.me.instance;
    ShardView {
        owner: me.clone(),
        backup: best_backup(map, shard, me, context),
        backup_complete: false,
        cutoff,
        ..view.clone()
    }
}

fn next_view_as_owner(
    map: &ShardMap,
    shard: usize,
    view: &ShardView,
    context: &MapContext<'_>,
    moves: &mut usize,
) -> Option<ShardView> {
    let me = &context.me.instance;
    let usable_backup = view
        .backup
        .as_ref()
        .filter(|backup| map.lists(backup) && !(context.is_lost)(backup));
    if (context.cutoff_is_late)(shard) {
        return Some(ShardView {
            cutoff: Some(Cutoff {
                issued_before: context.wall.plus_ms(CUTOFF_AHEAD_MS),
                epoch: view.epoch + 1,
            }),
            ..view.clone()
        });
    }
    let Some(backup) = usable_backup else {
        let next = best_backup(map, shard, me, context);
        return (next != view.backup).then(|| with_backup(view, next));
    };
    if context.leaving {
        return view
            .backup_complete
            .then(|| handover_view(map, shard, view, backup, context));
    }
    if (context.is_leaving)(backup) {
        let next = best_backup(map, shard, me, context)?;
        return Some(with_backup(view, Some(next)));
    }
    if !view.backup_complete || *moves >= MAX_MOVES_PER_WRITE {
        return None;
    }
    let next = rebalanced_view(map, shard, view, backup, context)?;
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

/// Returns a view in which the complete backup becomes the owner, and another host its backup.
fn handover_view(
    map: &ShardMap,
    shard: usize,
    view: &ShardView,
    backup: &Instance,
    context: &MapContext<'_>,
) -> ShardView {
    ShardView {
        owner: backup.clone(),
        backup: best_backup(map, shard, backup, context)
            .filter(|next| *next != context.me.instance),
        backup_complete: false,
        ..view.clone()
    }
}

/// Returns a view one step closer to the rendezvous order. A replaced owner stays as a complete backup.
fn rebalanced_view(
    map: &ShardMap,
    shard: usize,
    view: &ShardView,
    backup: &Instance,
    context: &MapContext<'_>,
) -> Option<ShardView> {
    let hosts = placement_candidates(map, context);
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

fn placement_candidates<'a>(map: &'a ShardMap, context: &MapContext<'_>) -> Vec<&'a MapHost> {
    map.hosts
        .iter()
        .filter(|host| !(context.is_lost)(&host.instance) && !(context.is_leaving)(&host.instance))
        .collect()
}

/// Returns the first host in rendezvous order that can be the backup of `owner`, in another availability zone if
/// possible.
fn best_backup(
    map: &ShardMap,
    shard: usize,
    owner: &Instance,
    context: &MapContext<'_>,
) -> Option<Instance> {
    let zone = map
        .hosts
        .iter()
        .find(|host| host.instance == *owner)
        .map(|host| host.zone.clone());
    let hosts = placement_candidates(map, context);
    let order = ranked_hosts(shard, &hosts);
    let others = || order.iter().filter(|host| host.instance != *owner);
    others()
        .find(|host| Some(&host.zone) != zone.as_ref())
        .or_else(|| others().next())
        .map(|host| host.instance.clone())
}
