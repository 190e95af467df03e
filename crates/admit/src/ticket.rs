//! Names of accepted requests.

/// Names one accepted request of a [`crate::ServiceQueue`].
///
/// The generation keeps a ticket that has ended from naming a later request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    pub(crate) index: u32,
    pub(crate) generation: u32,
}
