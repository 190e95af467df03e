//! Delays after failed sign-ins.

use lw_base::prelude::*;

use crate::auth::operator::Operators;

/// Failures that cost no delay, for typing errors.
const FREE_FAILURES: u32 = 3;
/// The delay after the first failure beyond the free ones; it doubles with each further failure.
const FIRST_DELAY_MS: u64 = 1_000;
/// At one attempt a minute a guess at a secret is hopeless, and the operator is not shut out for long.
const LONGEST_DELAY_MS: u64 = 60_000;
/// After this time without a failure the count starts again.
const FORGET_MS: u64 = 15 * 60 * 1000;

#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u32,
    last: WallMs,
    blocked_until: WallMs,
}

/// Counts failed sign-ins of this process by operator; all unknown names share one count, which bounds the memory.
#[derive(Clone, Debug, Default)]
pub struct SignInLimiter {
    failures: FastMap<String, Failures>,
}

impl SignInLimiter {
    /// Returns how long sign-ins with this name are still refused, in milliseconds; 0 when they are allowed.
    #[must_use]
    pub fn wait_ms(&self, operators: &Operators, name: &str, now: WallMs) -> u64 {
        let known = self.failures.get(Self::bucket(operators, name));
        known.map_or(0, |failures| failures.blocked_until.since_ms(now))
    }

    /// Records a failed sign-in.
    pub fn record_failure(&mut self, operators: &Operators, name: &str, now: WallMs) {
        let bucket = Self::bucket(operators, name).to_owned();
        let failures = self.failures.entry(bucket).or_default();
        if now.since_ms(failures.last) > FORGET_MS {
            failures.count = 0;
        }
        failures.count = failures.count.saturating_add(1);
        failures.last = now;
        let Some(doublings) = failures.count.checked_sub(FREE_FAILURES + 1) else {
            return;
        };
        let delay_ms = FIRST_DELAY_MS << doublings.min(16);
        failures.blocked_until = now.plus_ms(delay_ms.min(LONGEST_DELAY_MS));
    }

    /// Forgets the failures of an operator who signed in.
    pub fn record_success(&mut self, name: &str) {
        self.failures.remove(name);
    }

    fn bucket<'a>(operators: &Operators, name: &'a str) -> &'a str {
        if operators.find(name).is_some() {
            return name;
        }
        ""
    }
}
