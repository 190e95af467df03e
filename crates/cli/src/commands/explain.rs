//! `explain`: shows where a daemon would send a request.

use gumdrop::Options;
use http::Method;
use url::form_urlencoded::Serializer;

use crate::cli_error::CliError;
use crate::context::Context;
use crate::report::Report;
use crate::tables::value_table;

/// Shows where a daemon would send a request, and why.
#[derive(Debug, Options)]
pub(crate) struct ExplainOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "name of the service", meta = "NAME")]
    service: String,
    #[options(help = "name of the customer", meta = "NAME")]
    customer: Option<String>,
    #[options(help = "first part of the prompt", meta = "TEXT")]
    prefix: Option<String>,
}

pub(crate) async fn run(context: &Context, options: &ExplainOptions) -> Result<Report, CliError> {
    let admin = context.required_admin()?;
    let mut query = Serializer::new(String::new());
    query.append_pair("service", &options.service);
    if let Some(customer) = &options.customer {
        query.append_pair("customer", customer);
    }
    if let Some(prefix) = &options.prefix {
        query.append_pair("prefix", prefix);
    }
    let path = format!("/admin/explain?{}", query.finish());
    let json = admin.call(Method::GET, &path).await?;
    let text = value_table(&json);
    Ok(Report { text, json })
}
