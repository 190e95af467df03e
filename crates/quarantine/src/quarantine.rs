//! Decides which prompt parts and requests are kept away from targets.

use std::cmp::Reverse;

use lw_base::prelude::*;

use crate::part_key::PartKey;
use crate::part_record::{Crash, PartRecord};
use crate::part_report::{CrashReport, CrashStage, PartReport, StreamReport};
use crate::survival_log::SurvivalLog;
use crate::suspects::{Suspects, WHOLE_REQUEST};

/// How long a part stays in quarantine, in milliseconds. Afterwards, a single crash puts it back.
pub const QUARANTINE_MS: u64 = 600_000;
/// Hosts end a quarantine at different times within this span, in milliseconds, so that a part that still crashes targets
/// is tried by one host and not by all of them.
const RELEASE_SPREAD_MS: u64 = 300_000;
/// The number of crashes, without an answer by any target, that put a part into quarantine.
const MIN_CRASHES: usize = 3;
/// The same for a part that targets have answered within [`SURVIVAL_MEMORY_MS`], or that shares its crashes with a more
/// specific part: such a part was probably in other requests of the targets that crashed.
const MIN_CRASHES_IF_DOUBTFUL: usize = 6;
/// The same for a part with crashes in the middle of answers, where targets that crash for another reason end more sound answers
/// with the same parts. A request with the part that is in quarantine itself shows that there is no other reason.
const MIN_CRASHES_IF_STREAMING: usize = 9;
/// The least time since the first of these crashes if targets have answered the part within [`SURVIVAL_MEMORY_MS`], in
/// milliseconds.
const MIN_SPAN_IF_ANSWERED_MS: u64 = 2_000;
/// An answer to a request with a part makes the part doubtful as a cause of crashes for this long, in milliseconds.
const SURVIVAL_MEMORY_MS: u64 = 60_000;
/// A request with a part in this many crashes is not repeated at another target.
const MIN_CRASHES_TO_STOP_REPEATS: usize = 2;
/// While a quarantined part still crashes targets, a new crash counts against other parts only after this time, in
/// milliseconds: by then, the host that sent the quarantined part has reported which targets worked on it.
const EXPLANATION_DELAY_MS: u64 = 1_500;
/// A quarantined part counts as still crashing targets for this long after its last crash, in milliseconds.
const ACTIVE_MS: u64 = 5_000;
/// Crashes older than this are forgotten, in milliseconds. A part that comes once an hour still adds up, because only an
/// answer to a request with the part clears it of earlier crashes.
const CRASH_MEMORY_MS: u64 = 21_600_000;
/// A part that is not in quarantine is reported for this long after its last change, in milliseconds.
const REPORTED_MS: u64 = 30_000;
/// A quarantine that another host reports ends this much earlier, in milliseconds. A report arrives later than it was sent, so the
/// same quarantine would otherwise seem to begin later each time that hosts pass it on, and outlast the answers that end it.
const REPORT_DELAY_MS: u64 = 150;
/// The maximum number of prompt parts with records, and of whole requests. Beyond it, the one is dropped that changed least
/// recently, of whole requests one with a single crash first: each crash ends many sound requests that do not come again.
const MAX_RECORDS: usize = 512;
/// The maximum number of parts with crashes in one heartbeat, and of requests, which bounds its datagram.
const MAX_REPORTED_SUSPECTS: usize = 8;
/// The maximum number of parts in one heartbeat of which it only says that they were answered, and of requests.
const MAX_REPORTED_CLEARED: usize = 12;
/// The maximum number of crashes of a part in one heartbeat.
const MAX_REPORTED_CRASHES: usize = 6;

/// A part in quarantine, with the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinedPart {
    /// The part.
    pub part: PartKey,
    /// The position of the part in prompts, counted from zero, or [`WHOLE_REQUEST`].
    pub position: u8,
    /// The number of crashes of targets that were working on a request with the part.
    pub crashes: usize,
    /// The end of the quarantine.
    pub until: MonoMs,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The part that crashes targets.
    pub part: PartKey,
    /// The end of the quarantine, which other hosts adopt.
    pub until: MonoMs,
    /// When this host sends the part to targets again.
    pub released_at: MonoMs,
}

/// The prompt parts and whole requests that have crashed targets, and those that are kept away from targets.
///
/// A whole request counts as the last and most specific part of its prompt, and only a complete answer clears it.
///
/// Load: requests with a bad part, or copies of a bad request, arrive at all hosts, several a second, among sound ones that share
/// their other parts. A crash ends up to a few dozen sound requests with it.
#[derive(Clone, Debug)]
pub struct Quarantine {
    records: FastMap<PartKey, PartRecord>,
    /// The answers that have begun without a crash.
    survivals: SurvivalLog,
    /// The complete answers.
    completions: SurvivalLog,
    /// The complete answers to whole requests. Most requests come once, and would displace what is known of parts.
    request_completions: SurvivalLog,
    /// When operators have lifted the quarantine of a part.
    lifted_at: FastMap<PartKey, MonoMs>,
    /// When the crashes of targets were settled by a lift, by the target.
    settled_at: FastMap<u32, MonoMs>,
    /// What has left the quarantine because of reports, and was not yet taken.
    released: Vec<PartKey>,
    /// This host ends quarantines this much later than others, in milliseconds.
    release_delay_ms: u64,
}

impl Quarantine {
    /// Creates the quarantine of a host; `host_hash` spreads the times at which hosts try a part again.
    #[must_use]
    pub fn new(host_hash: u64) -> Self {
        Self {
            records: FastMap::default(),
            survivals: SurvivalLog::default(),
            completions: SurvivalLog::default(),
            request_completions: SurvivalLog::default(),
            lifted_at: FastMap::default(),
            settled_at: FastMap::default(),
            released: Vec::new(),
            release_delay_ms: host_hash % RELEASE_SPREAD_MS,
        }
    }

    /// Records that a target has begun to answer a request with these parts and still runs. Returns the parts that leave the
    /// quarantine.
    pub fn record_survival(&mut self, now: MonoMs, parts: &[PartKey]) -> Vec<PartKey> {
        let mut released = Vec::new();
        for part in parts {
            self.survivals.record(now, *part);
            if self.records.contains_key(part) && self.apply_survival(now, *part, now) {
                released.push(*part);
            }
        }
        released
    }

    /// Records that a target has completed its answer to a request. Returns what leaves the quarantine.
    pub fn record_completion<'a>(
        &mut self,
        now: MonoMs,
        suspects: impl Into<Suspects<'a>>,
    ) -> Vec<PartKey> {
        let suspects = suspects.into();
        for part in suspects.parts {
            self.completions.record(now, *part);
        }
        let mut released = self.record_survival(now, suspects.parts);
        if let Some(request) = suspects.request {
            self.request_completions.record(now, request);
            if self.records.contains_key(&request) && self.apply_survival(now, request, now) {
                released.push(request);
            }
        }
        released
    }

    /// Ends the quarantine of a part because an operator has lifted it. Returns whether the part was in quarantine.
    ///
    /// The part counts as answered now, so hosts need more crashes than usual to put it back. Its earlier crashes no longer count
    /// against any part: the part that is next to blame would keep away even more requests.
    pub fn lift(&mut self, now: MonoMs, part: PartKey) -> bool {
        self.lifted_at
            .retain(|_, lifted_at| now.since_ms(*lifted_at) < QUARANTINE_MS);
        self.settled_at
            .retain(|_, settled_at| now.since_ms(*settled_at) < CRASH_MEMORY_MS);
        self.lifted_at.insert(part, now);
        let mut until = None;
        if let Some(record) = self.records.get_mut(&part) {
            until = record.quarantined_until.take();
            for crash in std::mem::take(&mut record.crashes) {
                self.settle(now, crash.target);
            }
        }
        self.record_completion(now, &[part]);
        until.is_some_and(|until| now < until)
    }

    /// Records that a target crashed at this stage of its answer to a request. Returns what enters the quarantine.
    pub fn record_crash<'a>(
        &mut self,
        now: MonoMs,
        target: u32,
        crashed_at: MonoMs,
        stage: CrashStage,
        suspects: impl Into<Suspects<'a>>,
    ) -> Vec<QuarantinedPart> {
        for (position, key) in suspects.into().keys_with_positions() {
            let crash = Crash {
                target,
                at: crashed_at,
                stage,
            };
            self.apply_crash(now, key, position, crash);
        }
        self.confirm(now)
    }

    /// Adds the reports of another host. Returns the parts that enter the quarantine by all that is known now.
    pub fn merge(&mut self, now: MonoMs, reports: &[PartReport]) -> Vec<QuarantinedPart> {
        let mut entered = Vec::new();
        let before = |age_ms: u32| MonoMs(now.0.saturating_sub(u64::from(age_ms)));
        for report in reports {
            if let Some(age_ms) = report.survived_age_ms {
                let log = match report.position {
                    WHOLE_REQUEST => &mut self.request_completions,
                    _ => &mut self.survivals,
                };
                log.record(before(age_ms), report.part);
            }
            for crash in &report.crashes {
                let crash = Crash {
                    target: crash.target,
                    at: before(crash.age_ms),
                    stage: CrashStage::Starting,
                };
                self.apply_crash(now, report.part, report.position, crash);
            }
            if let Some(age_ms) = report.survived_age_ms
                && self.records.contains_key(&report.part)
                && self.apply_survival(now, report.part, before(age_ms))
            {
                self.released.push(report.part);
            }
            if report.quarantine_left_ms > 0 {
                let left_ms = u64::from(report.quarantine_left_ms);
                let until = now.plus_ms(left_ms.saturating_sub(REPORT_DELAY_MS));
                entered.extend(self.adopt(now, report.part, report.position, until));
            }
        }
        entered.extend(self.confirm(now));
        entered
    }

    /// Adds the reports of another host on crashes in the middle of answers. Returns the parts that enter the quarantine.
    pub fn merge_streams(&mut self, now: MonoMs, reports: &[StreamReport]) -> Vec<QuarantinedPart> {
        let before = |age_ms: u32| MonoMs(now.0.saturating_sub(u64::from(age_ms)));
        for report in reports {
            if let Some(age_ms) = report.completed_age_ms {
                self.completions.record(before(age_ms), report.part);
            }
            for crash in &report.crashes {
                let crash = Crash {
                    target: crash.target,
                    at: before(crash.age_ms),
                    stage: CrashStage::Streaming,
                };
                self.apply_crash(now, report.part, report.position, crash);
            }
            let answers = self.answers(report.part);
            if let Some(record) = self.records.get_mut(&report.part) {
                record.clear_crashes(|crash| answers.clear(crash));
            }
        }
        self.confirm(now)
    }

    /// Puts a part into quarantine until `until` because another host has done so. Returns it unless it was in quarantine,
    /// or an operator has lifted it or a target has answered a request with it meanwhile.
    pub fn adopt(
        &mut self,
        now: MonoMs,
        part: PartKey,
        position: u8,
        until: MonoMs,
    ) -> Option<QuarantinedPart> {
        let survived_at = self.answers(part).survived_at;
        let began_at = quarantine_start(until);
        // Later crashes do not bring a lifted quarantine back: they count anew.
        let is_lifted = self.lifted_at.get(&part) >= Some(&began_at);
        let record = self.record_of(now, part, position);
        if record.is_quarantined(now) || until <= now {
            return None;
        }
        let is_cleared = survived_at.is_some_and(|survived_at| {
            survived_at > began_at && record.last_crash_at() <= Some(survived_at)
        });
        record.record_change(now);
        if is_cleared || is_lifted {
            return None;
        }
        record.quarantined_until = Some(until);
        Some(QuarantinedPart {
            part,
            position: record.position,
            crashes: record.crashes.len(),
            until,
        })
    }

    /// Returns the refusal of a request, if it or a part of its prompt is kept away from targets.
    ///
    /// A request without a part that explains the same crashes is not refused: its outcome tells which of the two is the
    /// cause.
    #[must_use]
    pub fn refusal<'a>(&self, now: MonoMs, suspects: impl Into<Suspects<'a>>) -> Option<Refusal> {
        let suspects = suspects.into();
        suspects.keys().find_map(|part| {
            let record = self.records.get(&part)?;
            let until = record.quarantined_until?;
            let released_at = until.plus_ms(self.release_delay_ms);
            let is_refused = now < released_at && !self.tells_causes_apart(now, record, suspects);
            is_refused.then_some(Refusal {
                part,
                until,
                released_at,
            })
        })
    }

    /// Returns whether another part explains all crashes of a quarantined one, and is not among `suspects`.
    ///
    /// Refusing a whole request harms no other one, so it is not sent to find out.
    fn tells_causes_apart(&self, now: MonoMs, record: &PartRecord, suspects: Suspects<'_>) -> bool {
        !record.crashes.is_empty()
            && !record.is_whole_request()
            && self.records.iter().any(|(other, other_record)| {
                let is_suspect = other_record.is_quarantined(now) || !self.is_answered(now, *other);
                let is_absent = || suspects.keys().all(|key| key != *other);
                is_suspect && is_absent() && other_record.covers(record)
            })
    }

    /// Returns whether a request may be repeated after a failed attempt: neither it nor a part of its prompt is suspected of
    /// crashing targets.
    #[must_use]
    pub fn may_repeat<'a>(&self, now: MonoMs, suspects: impl Into<Suspects<'a>>) -> bool {
        let is_suspect = |part: PartKey| {
            self.records.get(&part).is_some_and(|record| {
                let is_repeated = record.crashes.len() >= MIN_CRASHES_TO_STOP_REPEATS;
                is_repeated && !self.is_answered(now, part) && {
                    let mut causes = self.quarantined_records(now);
                    // A part that was in all crashes of a request may well be their cause, until a target answers it.
                    causes.retain(|cause| !cause.is_whole_request() || !record.covers(cause));
                    record.count_crashes(|crash| !is_explained(crash, record, &causes))
                        >= MIN_CRASHES_TO_STOP_REPEATS
                }
            })
        };
        !suspects.into().keys().any(is_suspect)
    }

    /// Returns the parts that are in quarantine.
    pub fn in_quarantine(&self, now: MonoMs) -> impl Iterator<Item = QuarantinedPart> {
        let records = self.records.iter();
        let records = records.filter(move |(_, record)| record.is_quarantined(now));
        records.filter_map(|(part, record)| {
            Some(QuarantinedPart {
                part: *part,
                position: record.position,
                crashes: record.crashes.len(),
                until: record.quarantined_until?,
            })
        })
    }

    /// Returns whether targets have answered requests with the part, and it is not in quarantine.
    #[must_use]
    pub fn is_cleared(&self, now: MonoMs, part: PartKey) -> bool {
        let record = self.records.get(&part);
        let is_quarantined = record.is_some_and(|record| record.is_quarantined(now));
        !is_quarantined && self.is_answered(now, part)
    }

    /// Returns what has left the quarantine because of the reports of other hosts since the last call.
    pub fn take_released(&mut self) -> Vec<PartKey> {
        std::mem::take(&mut self.released)
    }

    /// Returns the reports for a heartbeat: quarantined parts, then suspects by their number of crashes, and some parts that
    /// were answered although other hosts may suspect them. Those that were reported least often since their last change go
    /// first, see [`Self::record_reported`].
    #[must_use]
    pub fn reports(&self, now: MonoMs) -> Vec<PartReport> {
        let reported = self.reported_records(now).into_iter();
        reported
            .map(|(part, record)| PartReport {
                part,
                position: record.position,
                crashes: crash_reports(now, record, CrashStage::Starting),
                survived_age_ms: self.answers(part).survived_at.map(|at| age_ms(now, at)),
                quarantine_left_ms: record
                    .quarantined_until
                    .map_or(0, |until| saturating_ms(until.since_ms(now))),
            })
            .collect()
    }

    /// Returns the reports for a heartbeat on the same parts that say which of them may crash targets in the middle of their
    /// answers, and which were answered to the end.
    #[must_use]
    pub fn stream_reports(&self, now: MonoMs) -> Vec<StreamReport> {
        let reported = self.reported_records(now).into_iter();
        let reports = reported.map(|(part, record)| StreamReport {
            part,
            position: record.position,
            crashes: crash_reports(now, record, CrashStage::Streaming),
            completed_age_ms: self.completions.latest(part).map(|at| age_ms(now, at)),
        });
        reports
            .filter(|report| !report.crashes.is_empty() || report.completed_age_ms.is_some())
            .collect()
    }

    /// Records that a heartbeat with these reports was sent.
    pub fn record_reported(&mut self, reports: &[PartReport]) {
        for report in reports {
            if let Some(record) = self.records.get_mut(&report.part) {
                record.reported += 1;
            }
        }
    }

    fn reported_records(&self, now: MonoMs) -> Vec<(PartKey, &PartRecord)> {
        let records = self.records.iter();
        let (mut suspects, mut cleared): (Vec<_>, Vec<_>) = records
            .map(|(part, record)| (*part, record))
            .filter(|(_, record)| {
                record.is_quarantined(now) || now.since_ms(record.changed_at) < REPORTED_MS
            })
            .partition(|(_, record)| record.is_quarantined(now) || !record.crashes.is_empty());
        suspects.sort_unstable_by_key(|(part, record)| {
            let is_unanswered = !self.is_answered(now, *part);
            let rank = (
                record.is_quarantined(now),
                is_unanswered,
                record.crashes.len(),
            );
            (record.reported, Reverse((rank, record.changed_at, *part)))
        });
        cleared.sort_unstable_by_key(|(part, record)| {
            (record.reported, Reverse((record.changed_at, *part)))
        });
        let suspects = take_of_each_kind(suspects, MAX_REPORTED_SUSPECTS);
        suspects
            .chain(take_of_each_kind(cleared, MAX_REPORTED_CLEARED))
            .collect()
    }

    /// Returns the record of a part at this position, or of a whole request.
    fn record_of(&mut self, now: MonoMs, part: PartKey, position: u8) -> &mut PartRecord {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&part) {
            self.make_room(now, position == WHOLE_REQUEST);
        }
        let record = self.records.entry(part).or_default();
        record.position = record.position.max(position);
        record
    }

    /// Drops a record if there are [`MAX_RECORDS`] of prompt parts, or of whole requests.
    fn make_room(&mut self, now: MonoMs, of_requests: bool) {
        let records = self.records.iter();
        let same_kind = || {
            let records = records.clone();
            records.filter(|(_, record)| record.is_whole_request() == of_requests)
        };
        if same_kind().count() < MAX_RECORDS {
            return;
        }
        let dropped = same_kind().min_by_key(|(_, record)| {
            let has_come_again = of_requests && record.crashes.len() > 1;
            (
                record.is_quarantined(now),
                has_come_again,
                record.changed_at,
            )
        });
        if let Some(dropped) = dropped.map(|(part, _)| *part) {
            self.records.remove(&dropped);
        }
    }

    /// Drops the crash of a target from all records.
    fn settle(&mut self, now: MonoMs, target: u32) {
        self.settled_at.insert(target, now);
        for record in self.records.values_mut() {
            record.crashes.retain(|crash| crash.target != target);
        }
    }

    fn apply_crash(&mut self, now: MonoMs, part: PartKey, position: u8, crash: Crash) {
        if self.settled_at.contains_key(&crash.target) {
            return;
        }
        if self.lifted_at.get(&part) >= Some(&crash.at) {
            self.settle(now, crash.target);
            return;
        }
        let record = self.records.get(&part);
        let is_cleared = self.answers(part).clear(&crash)
            || record.is_some_and(|record| record.has_cleared(crash.target));
        if is_cleared || now.since_ms(crash.at) > CRASH_MEMORY_MS {
            // Hosts that suspect the part learn from this host's next heartbeat that it was answered.
            if let Some(record) = self.records.get_mut(&part) {
                record.record_change(now);
            } else if is_cleared {
                self.record_of(now, part, position).record_change(now);
            }
            return;
        }
        let record = self.record_of(now, part, position);
        if record.record_crash(crash) {
            record.record_change(now);
        }
    }

    /// Drops the crashes before an answer. Returns whether the part leaves the quarantine: a part that crashes targets gets
    /// no answer after a crash.
    fn apply_survival(&mut self, now: MonoMs, part: PartKey, survived_at: MonoMs) -> bool {
        let answers = self.answers(part);
        let Some(record) = self.records.get_mut(&part) else {
            return false;
        };
        let has_cleared = record.clear_crashes(|crash| answers.clear(crash));
        if has_cleared {
            record.record_change(now);
        }
        let is_later = record
            .quarantined_until
            .is_some_and(|until| survived_at > quarantine_start(until));
        let is_released =
            record.is_quarantined(now) && record.crashes.is_empty() && (has_cleared || is_later);
        if is_released {
            record.quarantined_until = None;
            record.record_change(now);
        }
        is_released
    }

    fn answers(&self, part: PartKey) -> LatestAnswers {
        let of_request = self.request_completions.latest(part);
        LatestAnswers {
            survived_at: self.survivals.latest(part).max(of_request),
            completed_at: self.completions.latest(part).max(of_request),
        }
    }

    /// Returns whether a target has recently answered a request with the part.
    fn is_answered(&self, now: MonoMs, part: PartKey) -> bool {
        let latest = self.answers(part).survived_at;
        latest.is_some_and(|at| now.since_ms(at) < SURVIVAL_MEMORY_MS)
    }

    fn quarantined_records(&self, now: MonoMs) -> Vec<&PartRecord> {
        let records = self.records.values();
        records
            .filter(|record| record.is_quarantined(now))
            .collect()
    }

    /// Puts the parts that explain the crashes into quarantine, one after the other: each of them explains crashes that
    /// then no longer count against other parts.
    fn confirm(&mut self, now: MonoMs) -> Vec<QuarantinedPart> {
        self.prune(now);
        let mut confirmed = Vec::new();
        while let Some((part, crashes)) = self.find_cause(now) {
            let Some(record) = self.records.get_mut(&part) else {
                break;
            };
            let until = now.plus_ms(QUARANTINE_MS);
            record.quarantined_until = Some(until);
            record.record_change(now);
            confirmed.push(QuarantinedPart {
                part,
                position: record.position,
                crashes,
                until,
            });
        }
        confirmed
    }

    /// Drops what is too old to count.
    fn prune(&mut self, now: MonoMs) {
        self.records.retain(|_, record| {
            record
                .crashes
                .retain(|crash| now.since_ms(crash.at) <= CRASH_MEMORY_MS);
            let is_reported = now.since_ms(record.changed_at) < REPORTED_MS;
            !record.crashes.is_empty() || record.quarantined_until.is_some() || is_reported
        });
    }

    /// Returns the part that is the most likely cause of enough crashes, if there is one, and their number.
    fn find_cause(&self, now: MonoMs) -> Option<(PartKey, usize)> {
        let is_active = self.records.values().any(|record| {
            let last_at = record.last_crash_at();
            record.is_quarantined(now) && last_at.is_some_and(|at| now.since_ms(at) < ACTIVE_MS)
        });
        let quarantined = self.quarantined_records(now);
        let unexplained = |record: &PartRecord| {
            // A quarantine of the wrong request keeps no other one away, so there is no need to wait.
            let is_active = is_active && !record.is_whole_request();
            record.count_crashes(|crash| {
                let is_settled = !is_active || now.since_ms(crash.at) >= EXPLANATION_DELAY_MS;
                is_settled && !is_explained(crash, record, &quarantined)
            })
        };
        let suspects = self.records.iter();
        let suspects = suspects.filter(|(_, record)| {
            let is_tried_again = record.quarantined_until.is_some() && !record.crashes.is_empty();
            let is_suspect = is_tried_again || record.crashes.len() >= MIN_CRASHES;
            is_suspect && !record.is_quarantined(now)
        });
        let causes = suspects.filter_map(|(part, record)| {
            let crashes = unexplained(record);
            let span_ms = now.since_ms(record.crashes.first()?.at);
            let is_cause = match record.quarantined_until {
                // The part was tried again after its quarantine.
                Some(until) => record.last_crash_at() > Some(until) && crashes > 0,
                None if self.is_answered(now, *part) => {
                    let is_in_crashing_request = quarantined.iter().any(|request| {
                        request.is_whole_request()
                            && request.crashes.len() >= MIN_CRASHES
                            && record.covers(request)
                    });
                    let min_crashes = match record.is_streaming() && !is_in_crashing_request {
                        true => MIN_CRASHES_IF_STREAMING,
                        false => MIN_CRASHES_IF_DOUBTFUL,
                    };
                    crashes >= min_crashes && span_ms >= MIN_SPAN_IF_ANSWERED_MS
                }
                None if crashes < MIN_CRASHES => false,
                None if crashes >= MIN_CRASHES_IF_DOUBTFUL => true,
                None => !self.has_more_specific(now, *part, record),
            };
            is_cause.then_some((*part, record, crashes))
        });
        // Of several parts that explain equally many crashes, the most specific one keeps the fewest sound requests away.
        let cause = causes.max_by_key(|(part, record, crashes)| {
            let is_unanswered = !self.is_answered(now, *part);
            (is_unanswered, *crashes, record.position, *part)
        });
        cause.map(|(part, _, crashes)| (part, crashes))
    }

    /// Returns whether a part further back in prompts, which no target has answered, explains all of the crashes too.
    fn has_more_specific(&self, now: MonoMs, part: PartKey, record: &PartRecord) -> bool {
        self.records.iter().any(|(other, other_record)| {
            *other != part
                && other_record.position > record.position
                && !self.is_answered(now, *other)
                && other_record.covers(record)
        })
    }
}

/// The latest answers of targets to requests with a part.
#[derive(Clone, Copy, Debug)]
struct LatestAnswers {
    survived_at: Option<MonoMs>,
    completed_at: Option<MonoMs>,
}

impl LatestAnswers {
    /// Returns whether they show that the part was not the cause of a crash.
    fn clear(self, crash: &Crash) -> bool {
        let answered_at = match crash.stage {
            CrashStage::Starting => self.survived_at,
            CrashStage::Streaming => self.completed_at,
        };
        answered_at >= Some(crash.at)
    }
}

/// Returns whether one of the quarantined parts explains a crash in `record`. A part explains nothing if `record` has all of
/// its crashes and more.
fn is_explained(crash: &Crash, record: &PartRecord, quarantined: &[&PartRecord]) -> bool {
    quarantined.iter().any(|cause| {
        let is_worse = || record.covers(cause) && record.crashes.len() > cause.crashes.len();
        cause.has_crash(crash.target) && !is_worse()
    })
}

/// Returns the first records, at most `count` of prompt parts and as many of whole requests. A crash makes suspects of dozens of
/// sound requests, which would displace the parts.
fn take_of_each_kind(
    records: Vec<(PartKey, &PartRecord)>,
    count: usize,
) -> impl Iterator<Item = (PartKey, &PartRecord)> {
    let mut left = [count; 2];
    records.into_iter().filter(move |(_, record)| {
        let left = &mut left[usize::from(record.is_whole_request())];
        let is_taken = *left > 0;
        *left -= usize::from(is_taken);
        is_taken
    })
}

/// Returns when the quarantine that ends at `until` began.
fn quarantine_start(until: MonoMs) -> MonoMs {
    MonoMs(until.0.saturating_sub(QUARANTINE_MS))
}

/// Returns the latest crashes of this stage.
fn crash_reports(now: MonoMs, record: &PartRecord, stage: CrashStage) -> Vec<CrashReport> {
    let latest = record.crashes.iter().rev();
    let latest = latest.filter(|crash| crash.stage == stage);
    let reports = latest.map(|crash| CrashReport {
        target: crash.target,
        age_ms: age_ms(now, crash.at),
    });
    reports.take(MAX_REPORTED_CRASHES).collect()
}

fn age_ms(now: MonoMs, at: MonoMs) -> u32 {
    saturating_ms(now.since_ms(at))
}

fn saturating_ms(duration_ms: u64) -> u32 {
    u32::try_from(duration_ms).unwrap_or(u32::MAX)
}
