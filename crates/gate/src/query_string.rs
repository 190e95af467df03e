//! Parsing of query strings.

use percent_encoding::percent_decode_str;

/// Returns the percent-decoded value of the first parameter `name` in a query string.
pub(crate) fn query_value(query: &str, name: &str) -> Option<String> {
    let parameters = query
        .split('&')
        .filter_map(|parameter| parameter.split_once('='));
    let mut values = parameters
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value);
    let value = percent_decode_str(values.next()?).decode_utf8_lossy();
    Some(value.into_owned())
}
