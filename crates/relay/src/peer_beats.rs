//! Beats between hosts, as datagrams.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use lw_base::prelude::*;
use lw_base::stable_hash;
use lw_mesh::{Heartbeat, HostAddress, HostStatus, ServiceUsage, TargetUsage};
use tokio::net::UdpSocket;

use crate::choose::{ChoiceQuery, UseRules, choose};
use crate::host::Host;
use crate::prompt::{Prompt, PromptPart};
use crate::target_load::UseByHost;

/// How often a host speaks. Load that is half a second old still tells a busy engine from a free one, and a lost host
/// is noticed within the time that callers keep an answer of the directory.
const BEAT_PERIOD: Duration = Duration::from_millis(400);
/// The largest datagram that travels unfragmented on common paths.
const MOST_BYTES: usize = 1_400;
/// The answer that the offer to other regions is computed for, in tokens: a short one.
const OFFER_TOKENS: u64 = 60;
/// News are told at once, but not more often than this, in milliseconds.
const NEWS_PAUSE_MS: u64 = 150;
/// A host that hears of a newer state waits this long for its own watch before it asks, in milliseconds.
const WATCH_FIRST_MS: u64 = 250;

/// Sends and receives beats until the process ends.
///
/// # Errors
///
/// Returns an error when the socket cannot be bound.
pub async fn run_beats(host: Rc<Host>) -> std::io::Result<()> {
    let address = SocketAddr::from((host.settings.ip, host.settings.peer_port));
    let socket = UdpSocket::bind(address).await?;
    tokio::task::spawn_local(beat_loop(host, socket));
    Ok(())
}

async fn beat_loop(host: Rc<Host>, socket: UdpSocket) {
    let mut period = tokio::time::interval(BEAT_PERIOD);
    period.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stop = host.stop.subscribe();
    let mut bytes = [0; 2_048];
    let mut behind_since: Option<MonoMs> = None;
    let mut news_at = host.clock.now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut bytes) => match received {
                Ok((length, from)) => {
                    hear(&host, &bytes[..length], from.ip());
                    if !host.hosts.borrow().is_watcher(host.clock.now()) {
                        behind_since = catch_up(&host, behind_since);
                    }
                }
                Err(error) => log::debug!(reason = error.to_string().as_str(); "no beat was received"),
            },
            _ = period.tick() => {
                host.cover();
                speak(&host, &socket).await;
                behind_since = catch_up(&host, behind_since);
            }
            () = host.news.notified() => {
                let now = host.clock.now();
                if now.since_ms(news_at) >= NEWS_PAUSE_MS {
                    news_at = now;
                    speak(&host, &socket).await;
                }
            }
            changed = stop.changed() => {
                if changed.is_ok() {
                    speak(&host, &socket).await;
                }
            }
        }
    }
}

/// Asks a host that knows a newer state of the platform, once the own watch had its time.
fn catch_up(host: &Rc<Host>, behind_since: Option<MonoMs>) -> Option<MonoMs> {
    let now = host.clock.now();
    let as_of = host.mirror.borrow().as_of();
    let ahead = host.hosts.borrow();
    let ahead = ahead.host_with_newer_state(now, as_of)?;
    let since = behind_since.unwrap_or(now);
    let waits_ms = match host.hosts.borrow().is_watcher(now) {
        true => WATCH_FIRST_MS,
        false => 0,
    };
    if now.since_ms(since) >= waits_ms && !host.fetching.replace(true) {
        let address = SocketAddr::from((ahead.address.ip, host.settings.peer_port));
        tokio::task::spawn_local(crate::peer_mirror::fetch(host.clone(), address));
    }
    Some(since)
}

fn hear(host: &Rc<Host>, bytes: &[u8], from: IpAddr) {
    let beat = match Heartbeat::decode(bytes) {
        Ok(beat) => beat,
        Err(error) => {
            log::debug!(from = from.to_string().as_str(), reason = error.to_string().as_str(); "a datagram was dropped");
            return;
        }
    };
    if from != IpAddr::V4(beat.address.ip) {
        return;
    }
    let now = host.clock.now();
    if !host.hosts.borrow_mut().record_heartbeat(now, &beat) {
        return;
    }
    if beat.address.region != host.settings.region {
        return;
    }
    let sender = stable_hash(beat.address.host.as_bytes());
    let plan = host.plan();
    for (service, targets) in plan.targets.iter().enumerate() {
        let memory = plan.services[ServiceKey::from_index(service)].engine;
        for target in targets {
            let used = beat.targets.iter().find(|used| used.target == target.hash);
            let mut load = target.load.borrow_mut();
            // A target that the beat does not name has nothing of the sender any more.
            let used = used.map_or_else(UseByHost::default, |used| UseByHost {
                running: u32::from(used.running),
                backlog_ms: f64::from(used.backlog_ms),
                prefill_share: f64::from(used.prefill_permille) / 1_000.0,
                tokens: u64::from(used.kilotokens) * 1_000,
            });
            load.remote_use(now, sender, used);
            let Some(engine) = memory else {
                continue;
            };
            for placed in beat.placed.iter().filter(|part| part.target == target.hash) {
                let part = PromptPart {
                    chain: placed.part,
                    tokens: placed.tokens,
                };
                load.cache.note(now, part, engine.memory_tokens);
            }
        }
    }
}

async fn speak(host: &Rc<Host>, socket: &UdpSocket) {
    let now = host.clock.now();
    host.hosts.borrow_mut().prune(now);
    let recipients = host.hosts.borrow_mut().recipients();
    let far = beat_of(host, now);
    let mut near = far.clone();
    near.targets = target_uses(host, now);
    near.placed = host.placed.borrow_mut().next_beat();
    send(host, socket, &near, &recipients.same_region).await;
    send(host, socket, &far, &recipients.other_regions).await;
}

async fn send(host: &Host, socket: &UdpSocket, beat: &Heartbeat, to: &[Ipv4Addr]) {
    let bytes = match beat.encode() {
        Ok(bytes) if bytes.len() <= MOST_BYTES => bytes,
        Ok(bytes) => {
            log::warn!(bytes = bytes.len(); "a beat is too large");
            return;
        }
        Err(error) => {
            log::warn!(reason = error.to_string().as_str(); "a beat cannot be written");
            return;
        }
    };
    for ip in to {
        let sent = socket.send_to(&bytes, (*ip, host.settings.peer_port)).await;
        if let Err(error) = sent {
            log::debug!(to = ip.to_string().as_str(), reason = error.to_string().as_str(); "a beat was not sent");
        }
    }
}

fn beat_of(host: &Host, now: MonoMs) -> Heartbeat {
    Heartbeat {
        address: HostAddress {
            host: host.settings.host.clone(),
            ip: host.settings.ip,
            zone: host.settings.zone.clone(),
            region: host.settings.region.clone(),
            started_ms: host.started_ms,
        },
        status: HostStatus {
            stage: host.stage(),
            as_of: host.mirror.borrow().as_of(),
            platform_age_ms: host.platform_at.get().map_or(u16::MAX, |at| {
                u16::try_from(now.since_ms(at)).unwrap_or(u16::MAX)
            }),
            capacity_permille: host.settings.capacity_permille,
            services: region_uses(host, now),
        },
        targets: Vec::new(),
        placed: Vec::new(),
    }
}

/// Returns the use that this host makes of the targets of its region.
fn target_uses(host: &Host, now: MonoMs) -> Vec<TargetUsage> {
    let plan = host.plan();
    let targets = plan.targets.iter().flatten();
    let near = targets.filter(|target| target.region == host.settings.region);
    let used = near.filter_map(|target| {
        let used = target.load.borrow().own_use(now);
        (used.running > 0 || used.prefill_share > 0.01).then(|| TargetUsage {
            target: target.hash,
            running: u16::try_from(used.running).unwrap_or(u16::MAX),
            backlog_ms: used.backlog_ms.min(f64::from(u16::MAX)) as u16,
            prefill_permille: (used.prefill_share * 1_000.0) as u16,
            kilotokens: u16::try_from(used.tokens / 1_000).unwrap_or(u16::MAX),
        })
    });
    used.collect()
}

/// Returns how busy the services of this region are.
fn region_uses(host: &Host, now: MonoMs) -> Vec<ServiceUsage> {
    let plan = host.plan();
    let prompt = Prompt {
        output_tokens: OFFER_TOKENS,
        ..Prompt::default()
    };
    let limit = |service: &_, target: &_| host.cold_limit(service, target);
    let coverage = host.coverage.borrow();
    let covers = |target| coverage.covered_by_self(target);
    let rules = UseRules {
        covers: &covers,
        limit: &limit,
    };
    let uses = plan.services.keys().map(|key| {
        let service = &plan.services[key];
        let query = ChoiceQuery {
            region: &host.settings.region,
            service: key,
            prompt: &prompt,
            home: None,
            is_home_elsewhere: false,
            tried: &[],
            pace: host.pace(service),
        };
        let chosen = choose(&plan, &query, now, &rules);
        let near = plan.targets_of(key).iter();
        let near =
            near.filter(|target| target.region == host.settings.region && plan.is_open(target));
        let (mut targets, mut free_slots) = (0, 0);
        for target in near {
            targets += 1;
            let running = target.load.borrow().whole_use(now).running;
            free_slots += target.slots.saturating_sub(running);
        }
        ServiceUsage {
            service: service.hash,
            wait_ms: chosen
                .as_ref()
                .map_or(u16::MAX, |chosen| chosen.expected_ms as u16),
            targets: match chosen {
                Ok(_) => targets,
                Err(_) => 0,
            },
            free_slots: u16::try_from(free_slots).unwrap_or(u16::MAX),
        }
    });
    uses.collect()
}
