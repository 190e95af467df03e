//! Rate limits that hosts share without a common counter, and their parts.

/// The interval of [`LimitSpan::EachSecond`], with a margin for requests in transit when it begins, in milliseconds.
pub(crate) const SECOND_WINDOW_MS: u64 = 1_150;
/// The minimum number of requests per second for each holder of [`LimitSpan::EachSecond`]. With a part of one request, a
/// host would leave capacity unused between its requests.
const MIN_PART_PER_S: f64 = 2.0;
/// The minimum and maximum number of holders of [`LimitSpan::Average`]: the loss of a holder leaves its part unused, and
/// each holder may use its part at any time, so more of them mean more requests at once.
const MIN_HOLDERS: usize = 2;
const MAX_HOLDERS: usize = 4;
/// The requests per second for each holder of [`LimitSpan::Average`], as long as this leaves enough holders.
const HOLDER_PER_S: f64 = 0.5;

/// The intervals for which a limit holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSpan {
    /// In each second.
    EachSecond,
    /// On average over some seconds.
    Average,
}

/// A limit on the requests of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedLimit {
    /// The requests per second.
    pub per_s: f64,
    /// The intervals for which it holds.
    pub span: LimitSpan,
}

/// The part of a shared limit that one host holds: at most `requests` in any interval of `window_ms` milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitPart {
    /// The number of requests.
    pub requests: usize,
    /// The length of the interval, in milliseconds.
    pub window_ms: u64,
}

impl SharedLimit {
    /// Returns how many of `hosts` hosts hold a part of the limit.
    #[must_use]
    pub fn holders(&self, hosts: usize) -> usize {
        let hosts = hosts.max(1);
        match self.span {
            LimitSpan::EachSecond => ((self.per_s / MIN_PART_PER_S) as usize).clamp(1, hosts),
            LimitSpan::Average => ((self.per_s / HOLDER_PER_S).ceil() as usize)
                .clamp(MIN_HOLDERS, MAX_HOLDERS)
                .min(hosts),
        }
    }

    /// Returns the part of the host with this rank, from zero, among the `hosts` hosts that share the limit, or `None` if it
    /// holds none.
    #[must_use]
    pub fn part(&self, hosts: usize, rank: usize) -> Option<LimitPart> {
        let holders = self.holders(hosts);
        let own_per_s = self.per_s / holders as f64;
        if rank >= holders || own_per_s <= 0.0 {
            return None;
        }
        Some(match self.span {
            LimitSpan::EachSecond if own_per_s >= 1.0 => {
                // Some holders get one request more, because the limit is not a multiple of their number.
                let has_remainder = rank < self.per_s as usize % holders;
                LimitPart {
                    requests: own_per_s as usize + usize::from(has_remainder),
                    window_ms: SECOND_WINDOW_MS,
                }
            }
            LimitSpan::EachSecond => LimitPart {
                requests: 1,
                window_ms: (SECOND_WINDOW_MS as f64 / own_per_s) as u64,
            },
            LimitSpan::Average => {
                let requests = own_per_s.ceil();
                LimitPart {
                    requests: requests as usize,
                    window_ms: (requests * 1_000.0 / own_per_s) as u64,
                }
            }
        })
    }
}

impl LimitPart {
    /// Returns the average rate of the part, in requests per second.
    #[must_use]
    pub fn per_s(&self) -> f64 {
        self.requests as f64 * 1_000.0 / self.window_ms.max(1) as f64
    }
}
