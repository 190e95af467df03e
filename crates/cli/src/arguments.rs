//! The arguments of the command line.

use gumdrop::Options;

use crate::commands::{
    audit, diff, drain, explain, publish, rollback, show, status, trace, validate,
};

/// Publishes and inspects the configuration of Lacewingstile.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "settings file, JSON with comments", meta = "FILE")]
    pub(crate) settings: Option<String>,
    #[options(no_short, help = "address of the key-value service", meta = "IP:PORT")]
    pub(crate) kv: Option<String>,
    #[options(
        no_short,
        help = "address of a daemon's admin listener",
        meta = "IP:PORT"
    )]
    pub(crate) admin: Option<String>,
    #[options(help = "name of the operator in the audit", meta = "NAME")]
    pub(crate) operator: Option<String>,
    #[options(help = "print JSON instead of tables")]
    pub(crate) json: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// The subcommands.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "check a document and report all faults")]
    Validate(validate::ValidateOptions),
    #[options(help = "show what differs between two documents, or a document and the head")]
    Diff(diff::DiffOptions),
    #[options(help = "publish a document as a new revision")]
    Publish(publish::PublishOptions),
    #[options(help = "print the document of a revision")]
    Show(show::ShowOptions),
    #[options(help = "show the head and the state of a daemon")]
    Status(status::StatusOptions),
    #[options(help = "list published revisions and refused attempts, newest first")]
    Audit(audit::AuditOptions),
    #[options(help = "publish an older document as a new revision")]
    Rollback(rollback::RollbackOptions),
    #[options(help = "show where a daemon would send a request, and why")]
    Explain(explain::ExplainOptions),
    #[options(help = "tell from the logs of hosts what happened to a request")]
    Trace(trace::TraceOptions),
    #[options(help = "drain a daemon: it stops after its requests in flight")]
    Drain(drain::DrainOptions),
}
