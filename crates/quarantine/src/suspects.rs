//! What of a request may be the cause of a crash.

use crate::part_key::PartKey;

/// The position of a whole request among the suspects: it is more specific than each part of its prompt.
pub const WHOLE_REQUEST: u8 = u8::MAX;

/// What of a request may crash targets.
#[derive(Clone, Copy, Debug)]
pub struct Suspects<'a> {
    /// The shared parts of its prompt, in order.
    pub parts: &'a [PartKey],
    /// The request as a whole; `None` if it is not known.
    pub request: Option<PartKey>,
}

impl Suspects<'_> {
    /// Returns the position of a suspect; prompt parts are counted from zero.
    #[must_use]
    pub fn position(self, key: PartKey) -> Option<u8> {
        let mut keys = self.keys_with_positions();
        keys.find_map(|(position, known)| (known == key).then_some(position))
    }

    pub(crate) fn keys_with_positions(&self) -> impl Iterator<Item = (u8, PartKey)> {
        let parts = self.parts.iter().enumerate();
        let parts = parts.map(|(index, part)| (part_position(index), *part));
        parts.chain(self.request.map(|request| (WHOLE_REQUEST, request)))
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = PartKey> {
        self.parts.iter().copied().chain(self.request)
    }
}

impl<'a> From<&'a [PartKey]> for Suspects<'a> {
    fn from(parts: &'a [PartKey]) -> Self {
        Self {
            parts,
            request: None,
        }
    }
}

impl<'a> From<&'a Vec<PartKey>> for Suspects<'a> {
    fn from(parts: &'a Vec<PartKey>) -> Self {
        Self::from(parts.as_slice())
    }
}

impl<'a, const N: usize> From<&'a [PartKey; N]> for Suspects<'a> {
    fn from(parts: &'a [PartKey; N]) -> Self {
        Self::from(parts.as_slice())
    }
}

/// Returns the position of the part with this index; the last parts of very long prompts share one.
fn part_position(index: usize) -> u8 {
    u8::try_from(index).map_or(WHOLE_REQUEST - 1, |index| index.min(WHOLE_REQUEST - 1))
}
