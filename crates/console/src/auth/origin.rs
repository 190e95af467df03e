//! Origin check of form posts.

/// Returns true unless the headers show that a post comes from another site.
///
/// Browsers send `Origin` with every form post; a client that sends none still needs a valid token.
#[must_use]
pub fn origin_allowed(origin: Option<&str>, fetch_site: Option<&str>, host: Option<&str>) -> bool {
    if fetch_site.is_some_and(|site| site != "same-origin" && site != "none") {
        return false;
    }
    let Some(origin) = origin else {
        return true;
    };
    let authority = origin
        .strip_prefix("http://")
        .or_else(|| origin.strip_prefix("https://"));
    match (authority, host) {
        (Some(authority), Some(host)) => authority.eq_ignore_ascii_case(host),
        _ => false,
    }
}
