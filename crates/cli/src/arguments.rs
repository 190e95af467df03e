//! Command-line arguments.

use gumdrop::Options;

use crate::commands::{
    audit, diff, drain, explain, publish, quarantine, rollback, show, status, trace, validate,
};

/// Publishes and inspects the configuration of Lacewingstile.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "path of the settings file (JSON with comments)", meta = "FILE")]
    pub(crate) settings: Option<String>,
    #[options(no_short, help = "address of the key-value service", meta = "IP:PORT")]
    pub(crate) kv: Option<String>,
    #[options(
        no_short,
        help = "address of a daemon's admin listener",
        meta = "IP:PORT"
    )]
    pub(crate) admin: Option<String>,
    #[options(help = "your operator name, recorded in the audit log", meta = "NAME")]
    pub(crate) operator: Option<String>,
    #[options(help = "print JSON instead of tables")]
    pub(crate) json: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// The subcommands.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "check a configuration document and list all faults")]
    Validate(validate::ValidateOptions),
    #[options(
        help = "show the differences between two documents, or between the latest revision and a document"
    )]
    Diff(diff::DiffOptions),
    #[options(help = "publish a configuration document as a new revision")]
    Publish(publish::PublishOptions),
    #[options(help = "print the document of a revision")]
    Show(show::ShowOptions),
    #[options(help = "show the latest revision (the head) and the state of a daemon")]
    Status(status::StatusOptions),
    #[options(help = "list published revisions and refused attempts, newest first")]
    Audit(audit::AuditOptions),
    #[options(help = "publish the document of an older revision again, as a new revision")]
    Rollback(rollback::RollbackOptions),
    #[options(help = "show where a daemon would send a request, and why")]
    Explain(explain::ExplainOptions),
    #[options(help = "show what happened to a request, from the log files of the hosts")]
    Trace(trace::TraceOptions),
    #[options(
        help = "list the prompt parts that crash targets on the platform, or lift a quarantine"
    )]
    Quarantine(quarantine::QuarantineOptions),
    #[options(
        help = "drain a daemon: it stops once its requests in flight have ended, or at its drain limit"
    )]
    Drain(drain::DrainOptions),
}
