//! The style sheet and content security policy of every page.

use std::sync::LazyLock;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use sha2::{Digest, Sha256};

pub(crate) const STYLE: &str = "\
:root{color-scheme:light dark;--line:#767676;--bad:#b00020;--mark:#0b57d0}\
@media(prefers-color-scheme:dark){:root{--bad:#ff8a80;--mark:#8ab4f8}}\
*{box-sizing:border-box}\
body{font:1rem/1.5 system-ui,sans-serif;margin:0 auto;max-width:70rem;padding:0 1rem}\
a,button.link{color:var(--mark)}\
button.link{background:none;border:0;padding:0;font:inherit;text-decoration:underline;cursor:pointer;text-align:left}\
:focus-visible{outline:3px solid var(--mark);outline-offset:2px}\
.skip{position:absolute;left:-99rem}.skip:focus{left:1rem;top:1rem;background:Canvas;padding:.5rem}\
nav ul,.actions{display:flex;flex-wrap:wrap;gap:.5rem 1rem;list-style:none;padding:0}\
[aria-current]{font-weight:bold}\
fieldset{border:1px solid var(--line);margin:0 0 1rem}\
.field{margin:0 0 1rem}.field>label{display:block;font-weight:bold}\
input:not([type=checkbox]),select,textarea{font:inherit;width:100%;max-width:36rem}\
textarea{min-height:5rem}textarea.file{max-width:none;min-height:20rem;font-family:monospace}\
button{font:inherit;padding:.3rem .8rem}\
.hint{margin:0}\
.fault{color:var(--bad);font-weight:bold;margin:0}\
[aria-invalid=true]{border:2px solid var(--bad)}\
.box{border:2px solid var(--line);padding:0 1rem;margin:1rem 0}.box.bad{border-color:var(--bad)}\
.wide{overflow-x:auto}\
table{border-collapse:collapse;width:100%}\
th,td{border-bottom:1px solid var(--line);padding:.3rem .6rem;text-align:left;vertical-align:top;overflow-wrap:anywhere}\
@media(max-width:40rem){table.rows thead{position:absolute;left:-99rem}\
table.rows tr{display:block;padding:.5rem 0;border-bottom:1px solid var(--line)}\
table.rows th,table.rows td{display:block;border:0;padding:0 0 .2rem}\
table.rows td::before{content:attr(data-name) \": \"}}";

/// Allows no scripts and no external content, one style sheet identified by its hash, and forms that post only to this
/// host.
pub(crate) static CONTENT_SECURITY_POLICY: LazyLock<String> = LazyLock::new(|| {
    let hash = BASE64_STANDARD.encode(Sha256::digest(STYLE));
    format!(
        "default-src 'none'; style-src 'sha256-{hash}'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'"
    )
});
