//! The load board: the message with target loads and customer rates that hosts of a region exchange.

use bytes::Bytes;
use lw_admit::{CustomerId, QuantizedRate};
use serde::{Deserialize, Serialize};

/// The loads of targets and the request rates of customers, as one host sends them to the others of its region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadBoardMessage {
    /// The digest of the target names; target numbers are valid only for a list with the same digest.
    pub(crate) targets_digest: u64,
    /// The number of targets that are skipped before the entry, and the load in two bytes.
    loads: Vec<(u32, [u8; 2])>,
    /// The positions in `loads` of engines that are draining, on standby or without their model.
    not_serving: Vec<u32>,
    /// The last 5 bytes of the stable hash of a customer's name, and its encoded request rate.
    customers: Vec<([u8; 5], u16)>,
}

impl LoadBoardMessage {
    /// Builds a message without loads and customers.
    #[must_use]
    pub fn new(targets_digest: u64) -> Self {
        Self {
            targets_digest,
            ..Self::default()
        }
    }

    /// Appends the load of a target. Targets must be appended in ascending order of their numbers.
    ///
    /// `next` is 0 before the first call and then the number after the last appended one.
    pub fn push_load(&mut self, next: &mut u32, number: u32, load: [u8; 2]) {
        self.loads.push((number - *next, load));
        *next = number + 1;
    }

    /// Marks the target that was appended last as draining, on standby or without its model.
    pub(crate) fn mark_not_serving(&mut self) {
        self.not_serving
            .extend((self.loads.len() as u32).checked_sub(1));
    }

    /// Encodes the message with postcard.
    ///
    /// # Panics
    ///
    /// Never panics: every field can be encoded.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let bytes = postcard::to_stdvec(self).expect("a load board can be encoded");
        Bytes::from(bytes)
    }

    /// Returns the numbers of the targets with their loads, and true for those that serve.
    pub(crate) fn numbered_loads(&self) -> impl Iterator<Item = (usize, [u8; 2], bool)> {
        let mut next = 0_usize;
        (0_u32..).zip(&self.loads).map(move |(index, (gap, load))| {
            let number = next.saturating_add(*gap as usize);
            next = number.saturating_add(1);
            (number, *load, !self.not_serving.contains(&index))
        })
    }

    /// Sets the rates of customers in requests per second.
    pub fn set_customers(&mut self, rates: &[(CustomerId, f64)]) {
        let coded = rates.iter().map(|(customer, rate_per_s)| {
            let [.., a, b, c, d, e] = customer.0.to_be_bytes();
            ([a, b, c, d, e], QuantizedRate::of(*rate_per_s).0)
        });
        self.customers = coded.collect();
    }

    /// Returns the shortened ids of customers with their requests per second.
    pub(crate) fn customers(&self) -> Vec<(CustomerId, f64)> {
        let coded = self.customers.iter().map(|([a, b, c, d, e], code)| {
            let id = u64::from_be_bytes([0, 0, 0, *a, *b, *c, *d, *e]);
            (CustomerId(id), QuantizedRate(*code).per_s())
        });
        coded.collect()
    }
}
