//! Tickets that identify accepted requests.

/// Identifies one accepted request of a [`crate::ServiceQueue`], waiting or running.
///
/// The generation keeps an ended ticket from identifying a later request that reuses its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AdmissionTicket {
    pub(crate) index: u32,
    pub(crate) generation: u32,
}
