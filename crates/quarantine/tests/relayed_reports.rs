//! Reports that hosts pass on to one another, each of which arrives later than it was sent.

use lw_base::prelude::*;
use lw_quarantine::{CrashStage, PartKey, PartReport, Quarantine};

const START: MonoMs = MonoMs(100_000_000);
const HOSTS: usize = 4;
const STEP_MS: u64 = 10;
/// A report arrives this much later than it was sent, in milliseconds.
const DELAY_MS: u64 = 60;
const HEARTBEAT_MS: u64 = 200;
const RUN_MS: u64 = 30_000;
const CRASHES: u64 = 12;
const CRASH_INTERVAL_MS: u64 = 500;

struct Datagram {
    at: MonoMs,
    to: usize,
    reports: Vec<PartReport>,
}

/// Targets crash on a part at one host after the other, and the first `answers` times, another host gets an answer
/// `answer_after_ms` later, or earlier. Returns how often the part entered the quarantine of a host.
fn play(answer_after_ms: i64, answers: u64) -> usize {
    let mut hosts: Vec<Quarantine> = (0..HOSTS).map(|_| Quarantine::new(0)).collect();
    let parts = [PartKey::of_id(b"x")];
    let mut datagrams: Vec<Datagram> = Vec::new();
    let mut entered = 0;
    for step in 1..=RUN_MS / STEP_MS {
        let now = START.plus_ms(step * STEP_MS);
        let at_ms = step * STEP_MS;
        for number in 1..=CRASHES {
            let crashed_ms = number * CRASH_INTERVAL_MS;
            let host = number as usize % HOSTS;
            if at_ms == crashed_ms {
                let crash =
                    hosts[host].record_crash(now, number as u32, now, CrashStage::Starting, &parts);
                entered += crash.len();
            }
            if number <= answers && Some(at_ms) == crashed_ms.checked_add_signed(answer_after_ms) {
                hosts[(host + 1) % HOSTS].record_survival(now, &parts);
            }
        }
        for (host, quarantine) in hosts.iter().enumerate() {
            if (at_ms / STEP_MS + host as u64).is_multiple_of(HEARTBEAT_MS / STEP_MS) {
                let others = (0..HOSTS).filter(|to| *to != host);
                datagrams.extend(others.map(|to| Datagram {
                    at: now.plus_ms(DELAY_MS),
                    to,
                    reports: quarantine.reports(now),
                }));
            }
        }
        let (arrived, under_way) = datagrams.into_iter().partition(|sent| sent.at <= now);
        datagrams = under_way;
        for datagram in arrived {
            let Datagram { to, reports, .. } = datagram;
            entered += hosts[to].merge(now, &reports).len();
        }
    }
    entered
}

/// Guards against hosts that do not agree whether an answer was later than a crash, and report the opposite to one another again
/// and again.
#[test]
fn a_part_enters_the_quarantine_of_each_host_once() {
    for answer_after_ms in (-300..=300).step_by(10) {
        for answers in 1..=CRASHES {
            let entered = play(answer_after_ms, answers);
            assert!(
                entered <= HOSTS,
                "{answers} answers, {answer_after_ms} ms after the crashes: {entered} entries"
            );
        }
    }
}
