//! Heartbeats between hosts, as UDP datagrams.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use lw_admit::LENDING_INTERVAL_MS;
use lw_base::prelude::*;
use lw_base::stable_hash;
use lw_mesh::{
    DividedHeartbeat, HashRange, Heartbeat, HostAddress, HostStatus, ServiceUsage, StateVersion,
    TargetUsage,
};
use tokio::net::UdpSocket;

use crate::choose::{ChoiceQuery, Closure, NoTarget, TargetEligibility, choose};
use crate::host::Host;
use crate::prompt::{Prompt, PromptPart};
use crate::target_load::HostTargetUsage;

/// How often a host sends a heartbeat. Load that is half a second old still distinguishes a busy engine from a free
/// one, and a lost host is noticed within the time that callers cache an answer of the directory.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(LENDING_INTERVAL_MS);
/// The answer length that the wait in heartbeats is computed for, in tokens: a short answer.
const REPORTED_WAIT_OUTPUT_TOKENS: u64 = 60;
/// The greatest age of the last contact with the platform that a heartbeat states, in milliseconds.
const MAX_CONTACT_AGE_MS: u16 = u16::MAX - 1;
/// The number of neighbours that a host asks for the platform state when it wakes: one of them may be gone.
const WAKE_FETCHES: usize = 3;
/// The minimum time between two heartbeats that are sent immediately because of a change, in milliseconds.
const MIN_CHANGE_INTERVAL_MS: u64 = 150;
/// More datagrams than the queue of the socket holds.
const MAX_QUEUED_DATAGRAMS: usize = 4_096;
/// How long a host that learns of a newer platform state waits for its own watch before it fetches the state from
/// another host, in milliseconds.
const OWN_WATCH_GRACE_MS: u64 = 100;

/// A version of the platform state that another host has and this one lacks.
#[derive(Clone, Copy, Debug)]
struct MissingState {
    version: StateVersion,
    /// When this host learned of the version.
    known_at: MonoMs,
}

/// Sends and receives heartbeats until the process ends.
///
/// # Errors
///
/// Returns an error when the socket cannot be bound.
pub async fn run_heartbeats(host: Rc<Host>) -> std::io::Result<()> {
    let address = SocketAddr::from((host.settings.ip, host.settings.peer_port));
    let socket = UdpSocket::bind(address).await?;
    tokio::task::spawn_local(heartbeat_loop(host, socket));
    Ok(())
}

async fn heartbeat_loop(host: Rc<Host>, socket: UdpSocket) {
    let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stop = host.stop.subscribe();
    let mut bytes = [0; 2_048];
    let mut missing: Option<MissingState> = None;
    let mut last_change_sent_at = host.clock.now();
    let mut is_waking = false;
    host.ran_at.set(Some(host.clock.now()));
    loop {
        tokio::select! {
            received = socket.recv_from(&mut bytes) => match received {
                Ok(_) if is_waking || host.wakes(host.clock.now()) => {
                    if !std::mem::take(&mut is_waking) {
                        wake(&host);
                    }
                    let dropped = drop_queued(&socket) + 1;
                    log::info!(dropped = dropped; "dropped the heartbeats that waited while the process did not run");
                }
                Ok((length, from)) => {
                    receive(&host, &bytes[..length], from.ip());
                    missing = fetch_if_behind(&host, missing);
                }
                Err(error) => log::debug!(reason = error.to_string().as_str(); "receiving a heartbeat failed"),
            },
            _ = interval.tick() => {
                if host.wakes(host.clock.now()) {
                    // Heartbeats that waited are read next.
                    is_waking = true;
                    wake(&host);
                }
                host.update_coverage();
                host.log_state_doubt();
                send_heartbeats(&host, &socket).await;
                missing = fetch_if_behind(&host, missing);
            }
            () = host.heartbeat_due.notified() => {
                let now = host.clock.now();
                if now.since_ms(last_change_sent_at) >= MIN_CHANGE_INTERVAL_MS {
                    last_change_sent_at = now;
                    send_heartbeats(&host, &socket).await;
                }
            }
            () = host.announcement_due.notified() => announce_state(&host, &socket).await,
            changed = stop.changed() => {
                if changed.is_ok() {
                    send_heartbeats(&host, &socket).await;
                }
            }
        }
        host.ran_at.set(Some(host.clock.now()));
    }
}

/// Fetches the platform state from a neighbour, because the last one may be out of date and the next regular heartbeat is
/// some time away.
fn wake(host: &Rc<Host>) {
    let now = host.clock.now();
    let suspended_ms = host.ran_at.get().map_or(0, |at| now.since_ms(at));
    log::warn!(suspended_ms = suspended_ms; "the process did not run");
    host.woke_at.set(now);
    host.ran_at.set(Some(now));
    let known = host.mirror.borrow().as_of();
    let neighbours = host.hosts.borrow().neighbours(WAKE_FETCHES);
    for ip in neighbours {
        let address = SocketAddr::from((ip, host.settings.peer_port));
        tokio::task::spawn_local(crate::peer_mirror::fetch(host.clone(), address, known));
    }
}

/// Drops the datagrams that arrived while the process did not run, and returns their number. They would show the state of
/// a time that is past as the current one.
fn drop_queued(socket: &UdpSocket) -> usize {
    let mut bytes = [0; 2_048];
    let mut dropped = 0;
    while dropped < MAX_QUEUED_DATAGRAMS && socket.try_recv_from(&mut bytes).is_ok() {
        dropped += 1;
    }
    dropped
}

/// Fetches the platform state from a host that has a newer one, after this host's own watch had time to deliver it.
///
/// Returns the version that this host lacks, or `None` when it is up to date.
fn fetch_if_behind(host: &Rc<Host>, missing: Option<MissingState>) -> Option<MissingState> {
    let now = host.clock.now();
    let mirror = host.mirror.borrow();
    let as_of = mirror.as_of();
    let hosts = host.hosts.borrow();
    let Some(newer_host) = hosts.host_with_newer_state(now, as_of) else {
        if mirror.lacks_earlier_states()
            && let Some(holding_host) = hosts.host_with_earlier_states(now, as_of.era)
        {
            start_fetch(host, holding_host.address.ip, StateVersion::default());
        }
        return None;
    };
    let still_missing = missing.filter(|missing| as_of < missing.version);
    let missing = still_missing.unwrap_or(MissingState {
        version: newer_host.status.as_of,
        known_at: now,
    });
    let is_own_watch_due = hosts.is_watcher(now) && !hosts.is_watch_failing(now);
    let grace_ms = match is_own_watch_due {
        true => OWN_WATCH_GRACE_MS,
        false => 0,
    };
    if now.since_ms(missing.known_at) >= grace_ms {
        start_fetch(host, newer_host.address.ip, as_of);
    } else if still_missing.is_none() {
        tokio::task::spawn_local(fetch_after_grace(host.clone(), missing));
    }
    Some(missing)
}

/// Fetches a version of the platform state if this host's own watch has not delivered it in time.
async fn fetch_after_grace(host: Rc<Host>, missing: MissingState) {
    tokio::time::sleep(Duration::from_millis(OWN_WATCH_GRACE_MS)).await;
    let as_of = host.mirror.borrow().as_of();
    if as_of >= missing.version {
        return;
    }
    let hosts = host.hosts.borrow();
    if let Some(newer_host) = hosts.host_with_newer_state(host.clock.now(), as_of) {
        start_fetch(&host, newer_host.address.ip, as_of);
    }
}

/// Starts to fetch the changes after `known` from another host, unless a fetch is under way.
fn start_fetch(host: &Rc<Host>, from: Ipv4Addr, known: StateVersion) {
    if !host.is_fetching_mirror.replace(true) {
        let address = SocketAddr::from((from, host.settings.peer_port));
        tokio::task::spawn_local(crate::peer_mirror::fetch(host.clone(), address, known));
    }
}

fn receive(host: &Rc<Host>, bytes: &[u8], from: IpAddr) {
    let heartbeat = match Heartbeat::decode(bytes) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            log::debug!(from = from.to_string().as_str(), reason = error.to_string().as_str(); "an invalid datagram was dropped");
            return;
        }
    };
    if from != IpAddr::V4(heartbeat.address.ip) {
        return;
    }
    let now = host.clock.now();
    let is_newcomer = !host.hosts.borrow().has_heard(&heartbeat.address);
    if !host.hosts.borrow_mut().record_heartbeat(now, &heartbeat) {
        return;
    }
    let own = host.mirror.borrow().as_of();
    host.record_state_of(now, own, &heartbeat.status);
    host.merge_part_reports(now, &heartbeat.parts, &heartbeat.streams);
    if heartbeat.address.region != host.settings.region {
        return;
    }
    for hash in &heartbeat.leaving {
        host.record_leaving(*hash);
    }
    host.record_limits(now, &heartbeat);
    if is_newcomer {
        host.tell_newcomer(heartbeat.address.ip);
    }
    record_target_usages(host, now, &heartbeat);
}

/// Records the sender's usage of the targets of which the heartbeat states it, and the prompt parts that it has placed.
fn record_target_usages(host: &Host, now: MonoMs, heartbeat: &Heartbeat) {
    let sender = stable_hash(heartbeat.address.host.as_bytes());
    let reported: FastMap<u32, &TargetUsage> = heartbeat
        .targets
        .iter()
        .map(|usage| (usage.target, usage))
        .collect();
    let plan = host.plan();
    for target in plan.targets.iter().flatten() {
        if !heartbeat.targets_range.contains(target.hash) {
            continue;
        }
        // The sender has no requests left at a target of the range that the heartbeat does not list.
        let reported = reported.get(&target.hash);
        let usage = reported.map_or_else(HostTargetUsage::default, |reported| HostTargetUsage {
            running: u32::from(reported.running),
            backlog_ms: f64::from(reported.backlog_ms),
            prefill_share: f64::from(reported.prefill_permille) / 1_000.0,
            tokens: u64::from(reported.kilotokens) * 1_000,
        });
        let mut load = target.load.borrow_mut();
        load.record_remote_usage(now, sender, usage);
    }
    for placed in &heartbeat.placed {
        let Some(target) = plan.target_with_hash(placed.target) else {
            continue;
        };
        let Some(engine) = &plan.services[target.service].engine else {
            continue;
        };
        let part = PromptPart {
            prefix_hash: placed.part,
            tokens: placed.tokens,
        };
        let mut load = target.load.borrow_mut();
        load.cache.record(now, part, engine.memory_tokens);
    }
}

async fn send_heartbeats(host: &Rc<Host>, socket: &UdpSocket) {
    let now = host.clock.now();
    host.hosts.borrow_mut().prune(now);
    let recipients = host.hosts.borrow_mut().recipients();
    host.review_quarantine(now);
    let mut summary = build_heartbeat(host, now, service_usages(host, now));
    summary.parts = host.quarantine.borrow().reports(now);
    summary.streams = host.quarantine.borrow().stream_reports(now);
    let mut detailed = summary.clone();
    detailed.targets = target_usages(host, now);
    detailed.placed = host.placed.borrow_mut().take_batch();
    detailed.leaving = host.leaving_targets();
    detailed.sightings = host.hosts.borrow().sightings(now);
    let mut same_region = recipients.same_region;
    for ip in host.add_limits(now, &mut detailed) {
        if !same_region.contains(&ip) {
            same_region.push(ip);
        }
    }
    let in_region = send_to_all(host, socket, &detailed, &same_region).await;
    let elsewhere = send_to_all(host, socket, &summary, &recipients.other_regions).await;
    if in_region && elsewhere {
        let mut quarantine = host.quarantine.borrow_mut();
        quarantine.record_reported(&summary.parts);
    }
}

/// Sends the version of this host's state to the hosts that have an older one. Nothing is stated of targets and services, so
/// that what the hosts know of them remains.
async fn announce_state(host: &Host, socket: &UdpSocket) {
    let mut heartbeat = build_heartbeat(host, host.clock.now(), Vec::new());
    heartbeat.services_range = HashRange::NONE;
    heartbeat.targets_range = HashRange::NONE;
    let to = host.state_announcements.borrow_mut().take();
    log::debug!(hosts = to.len(); "announcing the state to hosts with an older configuration");
    send_to_all(host, socket, &heartbeat, &to).await;
}

/// Sends a heartbeat in as many datagrams as it needs. Returns false if it could not be encoded.
async fn send_to_all(
    host: &Host,
    socket: &UdpSocket,
    heartbeat: &Heartbeat,
    to: &[Ipv4Addr],
) -> bool {
    let divided = match DividedHeartbeat::new(heartbeat) {
        Ok(divided) => divided,
        Err(error) => {
            log::warn!(reason = error.to_string().as_str(); "a heartbeat could not be divided");
            return false;
        }
    };
    let encoded: Result<Vec<Vec<u8>>, _> = divided.all().iter().map(Heartbeat::encode).collect();
    let datagrams = match encoded {
        Ok(datagrams) => datagrams,
        Err(error) => {
            log::warn!(reason = error.to_string().as_str(); "a heartbeat could not be encoded");
            return false;
        }
    };
    for ip in to {
        let turn = host.take_heartbeat_turn(*ip, datagrams.len());
        for index in divided.due(turn) {
            let address = (*ip, host.settings.peer_port);
            if let Err(error) = socket.send_to(&datagrams[index], address).await {
                log::debug!(to = ip.to_string().as_str(), reason = error.to_string().as_str(); "sending a heartbeat failed");
            }
        }
    }
    true
}

fn build_heartbeat(host: &Host, now: MonoMs, services: Vec<ServiceUsage>) -> Heartbeat {
    Heartbeat::new(
        HostAddress {
            host: host.settings.host.clone(),
            ip: host.settings.ip,
            zone: host.settings.zone.clone(),
            region: host.settings.region.clone(),
            started_ms: host.started_ms,
        },
        HostStatus {
            stage: host.stage(),
            as_of: host.mirror.borrow().as_of(),
            platform_age_ms: host.platform_answered_at.get().map_or(u16::MAX, |at| {
                u16::try_from(now.since_ms(at)).unwrap_or(u16::MAX)
            }),
            platform_contact_age_ms: platform_contact_age_ms(host, now),
            region_watch_age_ms: region_watch_age_ms(host, now),
            is_watch_failing: host.hosts.borrow().is_watch_failing(now),
            has_platform_returned: host.state_evidence.get().has_platform_returned(now),
            capacity_permille: host.settings.capacity_permille,
            services,
            earlier_states: u16::try_from(host.mirror.borrow().earlier_states())
                .unwrap_or(u16::MAX),
        },
    )
}

/// Returns the age of the last contact with the platform, for a heartbeat. An isolated host states none.
fn platform_contact_age_ms(host: &Host, now: MonoMs) -> u16 {
    if host.is_isolated(now) {
        return u16::MAX;
    }
    let age_ms = host.state_evidence.get().platform_contact_age_ms(now);
    u16::try_from(age_ms).map_or(MAX_CONTACT_AGE_MS, |age_ms| age_ms.min(MAX_CONTACT_AGE_MS))
}

/// Returns the age of the last answer to a watch of a host of the region, for a heartbeat.
fn region_watch_age_ms(host: &Host, now: MonoMs) -> u16 {
    let age_ms = host.hosts.borrow().region_watch_age_ms(now);
    age_ms.map_or(u16::MAX, |age_ms| u16::try_from(age_ms).unwrap_or(u16::MAX))
}

/// Returns this host's load on the targets of its region.
fn target_usages(host: &Host, now: MonoMs) -> Vec<TargetUsage> {
    let plan = host.plan();
    let targets = plan.targets.iter().flatten();
    let local = targets.filter(|target| target.region == host.settings.region);
    let usages = local.filter_map(|target| {
        let usage = target.load.borrow().own_usage(now);
        (usage.running > 0 || usage.prefill_share > 0.01).then(|| TargetUsage {
            target: target.hash,
            running: u16::try_from(usage.running).unwrap_or(u16::MAX),
            backlog_ms: usage.backlog_ms.min(f64::from(u16::MAX)) as u16,
            prefill_permille: (usage.prefill_share * 1_000.0) as u16,
            kilotokens: u16::try_from(usage.tokens / 1_000).unwrap_or(u16::MAX),
        })
    });
    usages.collect()
}

/// Returns the load and the free slots of each service in this region.
fn service_usages(host: &Host, now: MonoMs) -> Vec<ServiceUsage> {
    let plan = host.plan();
    let prompt = Prompt {
        output_tokens: REPORTED_WAIT_OUTPUT_TOKENS,
        ..Prompt::default()
    };
    let cold_part = |service: &_, target: &_| host.cold_part(service, target);
    let coverage = host.coverage.borrow();
    let covers = |target| coverage.covered_by_self(target);
    let rules = TargetEligibility {
        covers: &covers,
        cold_part: &cold_part,
    };
    let interval_ms = HEARTBEAT_INTERVAL.as_millis() as u64;
    let usages = plan.services.keys().map(|key| {
        let service = &plan.services[key];
        let query = ChoiceQuery {
            region: &host.settings.region,
            service: key,
            prompt: &prompt,
            prefix_owner: None,
            is_owner_in_other_region: false,
            answer_events: 0.0,
            latency_goal_ms: f64::INFINITY,
            is_within_share: false,
            tried: &[],
            timings: host.timings_of(service),
        };
        let chosen = choose(&plan, &query, now, &rules);
        let local = plan.targets_of(key).iter();
        let local = local.filter(|target| {
            target.region == host.settings.region && plan.accepts_requests(target)
        });
        let (mut targets, mut free_slots, mut limited_slots) = (0, 0.0, 0.0);
        for target in local {
            targets += 1;
            let load = target.load.borrow();
            let running = load.total_usage(now).running;
            let free = f64::from(target.slots.saturating_sub(running));
            match load.limit_share.available_within(now, interval_ms) {
                Some(requests) => limited_slots += requests.min(free),
                None => free_slots += free,
            }
        }
        // The callers of this host use the limits first.
        free_slots += (limited_slots - host.asked_by_callers(now, service, interval_ms)).max(0.0);
        // A limit that allows a request before the next heartbeat does not close a target.
        let chosen = match chosen {
            Ok(chosen) => Ok(chosen.expected_ms),
            Err(NoTarget::Closed { until, reason })
                if reason == Closure::Limit && until.since_ms(now) < interval_ms =>
            {
                Ok(until.since_ms(now) as f64)
            }
            Err(refused) => Err(refused),
        };
        ServiceUsage {
            service: service.hash,
            wait_ms: match chosen {
                Ok(expected_ms) => expected_ms as u16,
                // Without targets, this is the time until the first of them opens again.
                Err(NoTarget::Closed { until, .. }) => {
                    u16::try_from(until.since_ms(now)).unwrap_or(u16::MAX - 1)
                }
                Err(NoTarget::Absent | NoTarget::Full) => u16::MAX,
            },
            // Full targets have no free slots, but accept requests of routes that are within their share.
            targets: match chosen {
                Ok(_) | Err(NoTarget::Full) => targets,
                Err(NoTarget::Absent | NoTarget::Closed { .. }) => 0,
            },
            free_slots: match chosen {
                Ok(_) => free_slots as u16,
                Err(_) => 0,
            },
        }
    });
    usages.collect()
}
