//! Parsing of query strings.

use percent_encoding::percent_decode_str;

/// Returns the percent-decoded value of the first parameter `name` in a query string.
pub(crate) fn query_value(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value);
    let value = percent_decode_str(values.next()?).decode_utf8_lossy();
    Some(value.into_owned())
}
