//! A host between callers and targets on loopback.

mod answers;
mod changes;
mod heads;
mod support;
