//! The subcommands.

pub(crate) mod audit;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod explain;
pub(crate) mod publish;
pub(crate) mod quarantine;
pub(crate) mod rollback;
pub(crate) mod show;
pub(crate) mod status;
pub(crate) mod trace;
pub(crate) mod validate;
