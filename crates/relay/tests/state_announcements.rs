//! Announcements of a host's state to hosts with an older one.

use std::net::Ipv4Addr;

use lw_base::prelude::*;
use lw_relay::StateAnnouncements;
use test_case::test_case;

const FIRST: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const SECOND: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

struct Case {
    /// The hosts that forward requests, each with its time in milliseconds.
    requests: &'static [(u64, Ipv4Addr)],
    announced_to: &'static [Ipv4Addr],
}

// Guards against an announcement for each forwarded request of a busy host, and against a host that gets none because of
// another one.
#[test_case(&Case { requests: &[(0, FIRST)], announced_to: &[FIRST] }; "one request")]
#[test_case(&Case { requests: &[(0, FIRST), (1, FIRST), (99, FIRST)], announced_to: &[FIRST] }; "many requests of a host")]
#[test_case(&Case { requests: &[(0, FIRST), (1, SECOND), (2, FIRST)], announced_to: &[FIRST, SECOND] }; "requests of two hosts")]
#[test_case(&Case { requests: &[(0, FIRST), (60, FIRST), (110, FIRST)], announced_to: &[FIRST, FIRST] }; "a host that stays behind")]
fn each_host_with_an_older_state_gets_an_announcement(case: &Case) {
    let mut announcements = StateAnnouncements::default();
    let mut announced_to = Vec::new();
    for (at_ms, host) in case.requests {
        let is_due = announcements.request(MonoMs(*at_ms), *host);
        let due = announcements.take();
        assert_eq!(is_due, !due.is_empty());
        announced_to.extend(due);
    }
    assert_eq!(announced_to, case.announced_to);
}
