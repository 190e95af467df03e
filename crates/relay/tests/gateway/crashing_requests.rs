//! A request that crashes each target that begins to run it, and comes again and again.

use std::rc::Rc;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::engine_fleet::{Effect, EngineFleet};
use crate::support::*;

/// The time after the third crash from which the hosts must know the request.
const KNOWN_AFTER: Duration = Duration::from_secs(5);
/// The number of copies that may still reach targets after that time.
const MAX_LATER_ARRIVALS: usize = 3;
/// Targets restart or stop hanging within this time after the last crash, and hosts learn of it.
const RECOVERY: Duration = Duration::from_secs(5);
const SOUND_INTERVAL: Duration = Duration::from_millis(40);
const CRASHING_INTERVAL: Duration = Duration::from_millis(250);
/// The time without crashes at the start, and in which late copies are counted at the end.
const CALM: Duration = Duration::from_secs(2);
const LATE: Duration = Duration::from_secs(4);

const CRASHING_PATH: &str = "/x/crashing";

struct Case {
    options: RouteOptions,
    effect: Effect,
    /// The prompt of the crashing request; sound ones with the same parts, but another last one, come beside it.
    parts: &'static str,
    sound_parts: &'static str,
}

struct SoundCall {
    sent_at: Instant,
    answer: CallerAnswer,
}

async fn send(fleet: &EngineFleet, number: usize, path: &str, parts: &str) -> SoundCall {
    let sent_at = Instant::now();
    let address = {
        let hosts = fleet.hosts.borrow();
        hosts[number % hosts.len()].settings.caller_address
    };
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a{number}\r\nx-remaining: 1500\r\nx-tokens: 400,45\r\nx-parts: {parts}\r\ncontent-length: 4\r\n\r\nbody"
    );
    SoundCall {
        sent_at,
        answer: call(address, &request).await,
    }
}

// Guards against a request that crashes one target after the other while hosts go on to send it to the next, and against sound
// requests that are refused for it.
#[test_case(&Case { options: ONCE, effect: Effect::Crash, parts: "", sound_parts: "" }; "a plain request that may run once")]
#[test_case(&Case { options: REPEATABLE, effect: Effect::Crash, parts: "", sound_parts: "" }; "a plain request that may be repeated")]
#[test_case(&Case { options: STREAM, effect: Effect::Crash, parts: "own:200", sound_parts: "" }; "a prompt of one part")]
#[test_case(&Case { options: STREAM, effect: Effect::Crash, parts: "10:92,20:60,own:200", sound_parts: "10:92,20:60," }; "a prompt with the parts of sound ones")]
#[test_case(&Case { options: RESUMABLE, effect: Effect::Crash, parts: "10:92,20:60,own:200", sound_parts: "10:92,20:60," }; "a stream that may be resumed")]
#[test_case(&Case { options: STREAM, effect: Effect::LateCrash, parts: "10:92,20:60,own:200", sound_parts: "10:92,20:60," }; "a crash in the middle of the answer")]
#[test_case(&Case { options: STREAM, effect: Effect::Hang, parts: "own:200", sound_parts: "" }; "a prompt of one part that makes engines hang")]
fn a_request_that_crashes_targets_is_no_longer_sent_to_them(case: &Case) {
    on_one_thread(async {
        let fleet = EngineFleet::start(case.options, case.effect, 3, 4).await;
        let began_at = Instant::now();
        fleet.crashing_paths.replace(vec![CRASHING_PATH.to_owned()]);
        let third_crash = || fleet.crashes.borrow().get(2).copied();
        let mut sound_calls = Vec::new();
        let mut last_crashing_at = began_at;
        let mut number = 0;
        while third_crash().is_none_or(|at| at.elapsed() < KNOWN_AFTER + LATE) {
            assert!(began_at.elapsed() < 5 * KNOWN_AFTER, "targets crash");
            number += 1;
            if began_at.elapsed() > CALM && last_crashing_at.elapsed() >= CRASHING_INTERVAL {
                last_crashing_at = Instant::now();
                let fleet = Rc::clone(&fleet);
                let parts = case.parts;
                tokio::task::spawn_local(async move {
                    send(&fleet, number, CRASHING_PATH, parts).await;
                });
            }
            let caller = Rc::clone(&fleet);
            let path = format!("/x/{number}");
            let parts = format!("{}e{number:x}:200", case.sound_parts);
            sound_calls.push(tokio::task::spawn_local(async move {
                send(&caller, number, &path, &parts).await
            }));
            tokio::time::sleep(SOUND_INTERVAL).await;
        }
        let known_at = third_crash().expect("a target has crashed three times") + KNOWN_AFTER;
        let arrivals = fleet.arrivals.take();
        let later = arrivals
            .iter()
            .filter(|arrival| arrival.path == CRASHING_PATH && arrival.at > known_at);
        let later = later.count();
        let crashes = fleet.crashes.take();
        let last_crash = *crashes.last().expect("a target has crashed");
        let (mut refused, mut unserved) = (0, 0);
        let sent = sound_calls.len();
        for call in sound_calls {
            let SoundCall { sent_at, answer } = call.await.expect("the caller's task completes");
            refused += usize::from(answer.body.contains("crashes targets"));
            let is_counted = sent_at > last_crash + RECOVERY;
            unserved += usize::from(is_counted && answer.status != 200);
        }
        println!(
            "{} crashes, {later} copies after the bound; of {sent} sound requests, {refused} refused as crashing, {unserved} not served after the last crash",
            crashes.len()
        );
        assert!(later <= MAX_LATER_ARRIVALS, "{later} later copies");
        assert_eq!(refused, 0, "sound requests refused as crashing");
        assert_eq!(unserved, 0, "sound requests after the last crash");
    });
}
