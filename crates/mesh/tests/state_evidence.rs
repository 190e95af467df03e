//! When a host's copy of the platform's state counts as current.

use lw_base::prelude::*;
use lw_mesh::{HostStatus, OtherHosts, StateDoubt, StateEvidence, StateVersion};
use test_case::test_case;

const NOW: MonoMs = MonoMs(200_000);
const OWN: StateVersion = StateVersion {
    era: 1,
    revision: 50,
};

/// The process started this long ago, in milliseconds.
const UP_MS: u64 = 2_400;

struct Case {
    /// Heartbeats: their age, the revision of the sender and the age of its last answer of the platform.
    heartbeats: &'static [(u64, u64, u16)],
    watch_answer_age_ms: Option<u64>,
    renewal_age_ms: Option<u64>,
    others: OtherHosts,
    doubt: Option<StateDoubt>,
}

const NO_OTHER: OtherHosts = OtherHosts {
    are_known: false,
    live: 0,
};
const ONE_OTHER: OtherHosts = OtherHosts {
    are_known: true,
    live: 1,
};
const MANY_OTHERS: OtherHosts = OtherHosts {
    are_known: true,
    live: 6,
};

const SILENT: Case = Case {
    heartbeats: &[],
    watch_answer_age_ms: None,
    renewal_age_ms: None,
    others: ONE_OTHER,
    doubt: None,
};

#[test_case(&Case { heartbeats: &[(300, 50, 1_500)], ..SILENT }; "a host that agrees and has an answer")]
#[test_case(&Case { heartbeats: &[(300, 40, 1_500)], ..SILENT }; "a host that is behind and has an answer")]
#[test_case(&Case { heartbeats: &[(300, 50, 9_000)], renewal_age_ms: Some(1_500), ..SILENT }; "a host that agrees and an own answer")]
#[test_case(&Case { heartbeats: &[(300, 50, u16::MAX)], renewal_age_ms: Some(100), doubt: Some(StateDoubt::Isolated), ..SILENT }; "an isolated host and an own answer")]
#[test_case(&Case { watch_answer_age_ms: Some(500), ..SILENT }; "an own watch")]
#[test_case(&Case { watch_answer_age_ms: Some(1_400), others: NO_OTHER, ..SILENT }; "the only host, with an own watch")]
#[test_case(&Case { doubt: Some(StateDoubt::Isolated), ..SILENT }; "nothing heard")]
#[test_case(&Case { heartbeats: &[(1_500, 50, 0)], renewal_age_ms: Some(100), doubt: Some(StateDoubt::Isolated), ..SILENT }; "no host heard for a while")]
#[test_case(&Case { heartbeats: &[(700, 50, 0)], ..SILENT }; "the only other host is late")]
#[test_case(&Case { heartbeats: &[(500, 50, 0)], others: MANY_OTHERS, ..SILENT }; "many hosts, one heard")]
#[test_case(&Case { heartbeats: &[(700, 50, 0)], others: MANY_OTHERS, doubt: Some(StateDoubt::Isolated), ..SILENT }; "many hosts, none heard")]
#[test_case(&Case { heartbeats: &[(300, 51, 0)], renewal_age_ms: Some(100), doubt: Some(StateDoubt::Isolated), ..SILENT }; "a host with a newer state")]
#[test_case(&Case { heartbeats: &[(300, 0, 0)], renewal_age_ms: Some(100), doubt: Some(StateDoubt::Isolated), ..SILENT }; "a host that has no state")]
#[test_case(&Case { heartbeats: &[(300, 50, 2_500)], doubt: Some(StateDoubt::PlatformSilent), ..SILENT }; "the platform is silent for both")]
#[test_case(&Case { heartbeats: &[(300, 50, u16::MAX - 1)], doubt: Some(StateDoubt::PlatformSilent), ..SILENT }; "the platform has answered neither")]
#[test_case(&Case { watch_answer_age_ms: Some(2_500), others: NO_OTHER, doubt: Some(StateDoubt::PlatformSilent), ..SILENT }; "the only host, with a silent platform")]
fn a_state_is_in_doubt_without_recent_evidence(case: &Case) {
    let at = |age_ms: u64| MonoMs(NOW.0 - age_ms);
    let mut evidence = StateEvidence::new(at(UP_MS));
    if let Some(age_ms) = case.watch_answer_age_ms {
        evidence.record_watch_answer(at(age_ms));
    }
    if let Some(age_ms) = case.renewal_age_ms {
        evidence.record_platform_answer(at(age_ms));
    }
    for (age_ms, revision, platform_age_ms) in case.heartbeats {
        let era = u64::from(*revision > 0);
        let status = HostStatus {
            as_of: StateVersion {
                era,
                revision: *revision,
            },
            platform_contact_age_ms: *platform_age_ms,
            ..HostStatus::default()
        };
        evidence.record_heartbeat(at(*age_ms), OWN, &status);
    }
    assert_eq!(evidence.doubt(NOW, case.others), case.doubt);
}

/// What a host hears, at times in milliseconds after its start.
#[derive(Clone, Copy)]
enum News {
    /// The platform answers this host.
    Answer(u64),
    /// A neighbour with the same state says how old its contact with the platform is, in milliseconds.
    Heartbeat(u64, u16),
    /// The same, and that the platform has returned after a silence.
    Returned(u64, u16),
}

struct ReturnCase {
    news: &'static [News],
    at_ms: u64,
    doubt: Option<StateDoubt>,
}

// Guards against a host that takes its state for current when the platform answers again, although targets have not written
// yet what they could not tell during the silence.
#[test_case(&ReturnCase { news: &[News::Answer(300), News::Heartbeat(400, 100)], at_ms: 500, doubt: None }; "a usual start")]
#[test_case(&ReturnCase { news: &[News::Answer(300), News::Heartbeat(1_900, 200), News::Answer(3_000), News::Heartbeat(3_100, 50)], at_ms: 3_200, doubt: None }; "no silence")]
#[test_case(&ReturnCase { news: &[News::Answer(300), News::Answer(5_000), News::Returned(5_100, 50)], at_ms: 5_200, doubt: Some(StateDoubt::PlatformReturned) }; "after a silence")]
#[test_case(&ReturnCase { news: &[News::Answer(300), News::Answer(5_000), News::Answer(6_900), News::Returned(6_900, 50)], at_ms: 6_950, doubt: Some(StateDoubt::PlatformReturned) }; "later answers end nothing")]
#[test_case(&ReturnCase { news: &[News::Answer(300), News::Answer(5_000), News::Answer(6_900), News::Returned(6_900, 50)], at_ms: 7_050, doubt: None }; "after the targets had time to write")]
#[test_case(&ReturnCase { news: &[News::Answer(300), News::Answer(5_000), News::Heartbeat(5_100, 50)], at_ms: 5_200, doubt: None }; "it was not silent for a neighbour")]
#[test_case(&ReturnCase { news: &[News::Answer(300), News::Answer(5_000), News::Heartbeat(5_100, 1_900)], at_ms: 5_200, doubt: Some(StateDoubt::PlatformReturned) }; "the contact of a neighbour is older")]
#[test_case(&ReturnCase { news: &[News::Answer(3_000), News::Returned(3_050, 50)], at_ms: 3_100, doubt: Some(StateDoubt::PlatformReturned) }; "a start during a silence")]
#[test_case(&ReturnCase { news: &[News::Heartbeat(100, 9_000), News::Answer(300)], at_ms: 400, doubt: Some(StateDoubt::PlatformReturned) }; "a start at the end of a silence")]
#[test_case(&ReturnCase { news: &[News::Answer(300), News::Returned(5_000, 300)], at_ms: 5_100, doubt: Some(StateDoubt::PlatformReturned) }; "it returns for a neighbour")]
#[test_case(&ReturnCase { news: &[News::Answer(300), News::Heartbeat(5_000, 300)], at_ms: 5_100, doubt: None }; "a neighbour had it all the time")]
#[test_case(&ReturnCase { news: &[News::Answer(300), News::Heartbeat(2_900, 9_000)], at_ms: 3_000, doubt: Some(StateDoubt::PlatformSilent) }; "during a silence")]
fn a_state_is_in_doubt_after_a_silence_of_the_platform(case: &ReturnCase) {
    let mut evidence = StateEvidence::new(NOW);
    for news in case.news {
        match *news {
            News::Answer(at_ms) => evidence.record_platform_answer(NOW.plus_ms(at_ms)),
            News::Heartbeat(at_ms, age_ms) | News::Returned(at_ms, age_ms) => {
                let status = HostStatus {
                    as_of: OWN,
                    platform_contact_age_ms: age_ms,
                    has_platform_returned: matches!(news, News::Returned(..)),
                    ..HostStatus::default()
                };
                evidence.record_heartbeat(NOW.plus_ms(at_ms), OWN, &status);
            }
        }
    }
    assert_eq!(
        evidence.doubt(NOW.plus_ms(case.at_ms), ONE_OTHER),
        case.doubt
    );
}
