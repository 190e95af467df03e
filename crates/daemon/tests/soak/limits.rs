//! The limits that a target names, and the requests that it gets.

use std::cell::RefCell;
use std::time::{Duration, Instant};

/// A limit holds for each interval of this length.
const WINDOW: Duration = Duration::from_secs(4);
/// Hosts must keep a limit from this long after the target has begun to name it.
const SETTLE: Duration = Duration::from_secs(1);

/// What a process of a target has named and got.
#[derive(Default)]
pub(crate) struct LimitRecord {
    /// The limits, each with the time from which it is named.
    limits: RefCell<Vec<(Instant, Option<f64>)>>,
    arrivals: RefCell<Vec<Instant>>,
}

impl LimitRecord {
    /// Names a limit from now on, or none.
    pub(crate) fn set(&self, per_s: Option<f64>) {
        self.limits.borrow_mut().push((Instant::now(), per_s));
    }

    /// Returns the limit that is named now.
    pub(crate) fn current(&self) -> Option<f64> {
        self.limits.borrow().last().and_then(|(_, per_s)| *per_s)
    }

    /// Forgets the process: another one starts, which names the same limit.
    pub(crate) fn restart(&self) {
        let current = self.current();
        self.limits.borrow_mut().clear();
        self.arrivals.borrow_mut().clear();
        self.set(current);
    }

    pub(crate) fn record_arrival(&self) {
        self.arrivals.borrow_mut().push(Instant::now());
    }

    /// Returns what is wrong with the arrivals: the worst interval with too many of them.
    pub(crate) fn violation(&self) -> Option<String> {
        let arrivals = self.arrivals.borrow();
        let excesses = arrivals.iter().enumerate().filter_map(|(first, from)| {
            let allowed = self.allowed_from(*from)?;
            let within = arrivals[first..].iter();
            let count = within.take_while(|at| **at < *from + WINDOW).count();
            (count as f64 > allowed).then_some((count, allowed))
        });
        let worst = excesses.max_by_key(|(count, _)| *count)?;
        let limits: Vec<_> = self
            .limits
            .borrow()
            .iter()
            .map(|(_, per_s)| *per_s)
            .collect();
        Some(format!(
            "{} requests in 4 s, {:.1} allowed; limits {limits:?}",
            worst.0, worst.1
        ))
    }

    /// Returns the number of requests that are allowed in the interval that begins at `from`; `None` if a limit is not named
    /// throughout.
    fn allowed_from(&self, from: Instant) -> Option<f64> {
        let limits = self.limits.borrow();
        let begin = from.checked_sub(SETTLE)?;
        let end = from + WINDOW;
        let before = limits.iter().rev().find(|(at, _)| *at <= begin)?;
        let within = limits.iter().filter(|(at, _)| begin < *at && *at < end);
        let mut highest = before.1?;
        for (_, per_s) in within {
            highest = highest.max((*per_s)?);
        }
        Some(1.5 * highest * WINDOW.as_secs_f64() + 5.0)
    }
}
