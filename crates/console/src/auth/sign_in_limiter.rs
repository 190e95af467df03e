//! Rate limiting of failed sign-ins with an exponential delay.

use lw_base::prelude::*;

use crate::auth::operator::Operators;

/// The number of failures without a delay, which allows for typing errors.
const FAILURES_WITHOUT_DELAY: u32 = 3;
/// The delay after the first failure that causes one; it doubles with each further failure.
const FIRST_DELAY_MS: u64 = 1_000;
/// One attempt per minute is too slow to guess a secret, and does not lock out the operator for long.
const MAX_DELAY_MS: u64 = 60_000;
/// The time without a failure after which the count restarts.
const FAILURE_RESET_MS: u64 = 15 * 60 * 1000;

#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u32,
    last: WallMs,
    blocked_until: WallMs,
}

/// Counts the failed sign-ins on this host per operator. All unknown names share one count, which bounds the memory.
#[derive(Clone, Debug, Default)]
pub struct SignInLimiter {
    failures: FastMap<String, Failures>,
}

impl SignInLimiter {
    /// Returns the milliseconds until a sign-in with this name is allowed again; 0 when it is allowed now.
    #[must_use]
    pub fn wait_ms(&self, operators: &Operators, name: &str, now: WallMs) -> u64 {
        let known = self.failures.get(Self::bucket(operators, name));
        known.map_or(0, |failures| failures.blocked_until.since_ms(now))
    }

    /// Records a failed sign-in.
    pub fn record_failure(&mut self, operators: &Operators, name: &str, now: WallMs) {
        let bucket = Self::bucket(operators, name).to_owned();
        let failures = self.failures.entry(bucket).or_default();
        if now.since_ms(failures.last) > FAILURE_RESET_MS {
            failures.count = 0;
        }
        failures.count = failures.count.saturating_add(1);
        failures.last = now;
        let Some(doublings) = failures.count.checked_sub(FAILURES_WITHOUT_DELAY + 1) else {
            return;
        };
        let delay_ms = FIRST_DELAY_MS << doublings.min(16);
        failures.blocked_until = now.plus_ms(delay_ms.min(MAX_DELAY_MS));
    }

    /// Clears the failures of an operator after a successful sign-in.
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
