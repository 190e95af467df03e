//! A simulated browser without scripts.

use std::sync::Arc;

use lw_base::WallMs;
use lw_console::Inputs;
use lw_console::answers::{Console, RequestContext};
use lw_console::auth::{SESSION_COOKIE, VISITOR_COOKIE};
use lw_console::web::{ConsoleMethod, ConsoleRequest, ConsoleResponse};

use super::{NOW, run};

pub(crate) struct Browser {
    pub(crate) console: Arc<Console>,
    pub(crate) cookie: Option<String>,
    pub(crate) visitor: Option<String>,
    pub(crate) page: ConsoleResponse,
    pub(crate) now: WallMs,
    pub(crate) requests: u8,
}

impl Browser {
    pub(crate) fn new(console: Arc<Console>) -> Self {
        let page = ConsoleResponse {
            status: 0,
            headers: Vec::new(),
            body: String::new(),
        };
        Self {
            console,
            cookie: None,
            visitor: None,
            page,
            now: NOW,
            requests: 0,
        }
    }

    pub(crate) fn signed_in(console: Arc<Console>, operator: &str) -> Self {
        let mut browser = Self::new(console);
        // Each browser gets a different nonce.
        browser.requests = operator.as_bytes()[0];
        browser.get("/console/sign-in");
        let secret = format!("secret of {operator}");
        browser.submit(
            "/console/sign-in",
            &[("operator", operator), ("secret", &secret)],
        );
        assert_eq!(browser.page.status, 303);
        browser
    }

    pub(crate) fn get(&mut self, path: &str) -> &ConsoleResponse {
        let request = self.request(ConsoleMethod::Get, path, Inputs::default());
        self.send(&request)
    }

    pub(crate) fn post(&mut self, path: &str, body: Inputs) -> &ConsoleResponse {
        let request = self.request(ConsoleMethod::Post, path, body);
        self.send(&request)
    }

    pub(crate) fn request(
        &self,
        method: ConsoleMethod,
        path: &str,
        body: Inputs,
    ) -> ConsoleRequest {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let origin =
            (method == ConsoleMethod::Post).then(|| "http://admin.example:9000".to_owned());
        ConsoleRequest {
            method,
            path: path.to_owned(),
            query: Inputs::parse(query.as_bytes()),
            body,
            session_cookie: self.cookie.clone(),
            visitor_cookie: self.visitor.clone(),
            origin,
            fetch_site: None,
            host: Some("admin.example:9000".to_owned()),
        }
    }

    pub(crate) fn send(&mut self, request: &ConsoleRequest) -> &ConsoleResponse {
        self.requests = self.requests.wrapping_add(1);
        let context = RequestContext {
            now: self.now,
            random: [self.requests; 16],
        };
        self.page = run(self.console.answer(request, context));
        let cookie = self
            .page
            .header("set-cookie")
            .unwrap_or("")
            .split(';')
            .next();
        match cookie.and_then(|pair| pair.split_once('=')) {
            Some((SESSION_COOKIE, value)) => self.cookie = Some(value.to_owned()),
            Some((VISITOR_COOKIE, value)) => self.visitor = Some(value.to_owned()),
            _ => {}
        }
        &self.page
    }

    /// Submits the form with this action from the current page, with its fields replaced by `typed`.
    pub(crate) fn submit(&mut self, action: &str, typed: &[(&str, &str)]) -> &ConsoleResponse {
        let mut body = form_inputs(&self.page.body, action);
        let kept = body
            .iter()
            .filter(|(name, _)| !typed.iter().any(|(typed, _)| typed == name));
        let mut inputs = Inputs::default();
        for (name, value) in kept {
            inputs.push(name, value);
        }
        for (name, value) in typed {
            inputs.push(name, *value);
        }
        body = inputs;
        self.post(action, body)
    }

    /// Sends the hidden draft form to another page, as the navigation buttons do.
    pub(crate) fn open(&mut self, path: &str) -> &ConsoleResponse {
        let body = form_inputs(&self.page.body, "/console/draft");
        self.post(path, body)
    }
}

/// Returns the fields that a browser would send for the first form with this action.
pub(crate) fn form_inputs(html: &str, action: &str) -> Inputs {
    let forms = html.split("<form ").skip(1);
    let mut forms = forms.filter(|form| attribute(form, "action").as_deref() == Some(action));
    let Some(form) = forms.next() else {
        panic!("the page has no form for {action}: {html}");
    };
    let form = form.split("</form>").next().unwrap_or(form);
    let mut inputs = Inputs::default();
    for tag in form.split('<').skip(1) {
        let Some(name) = attribute(tag, "name") else {
            continue;
        };
        let head = tag.split('>').next().unwrap_or("");
        let checkbox = head.contains("type=\"checkbox\"");
        if tag.starts_with("input ") && (!checkbox || head.ends_with("checked")) {
            inputs.push(&name, attribute(tag, "value").unwrap_or_default());
        }
        if tag.starts_with("textarea ") {
            let text = tag.split_once('>').map_or("", |(_, text)| text);
            inputs.push(&name, unescape(text.strip_prefix('\n').unwrap_or(text)));
        }
        if tag.starts_with("select ") {
            let start = form
                .find(&format!("<{tag}"))
                .expect("the tag is in the form");
            let select = form[start..].split("</select>").next().unwrap_or("");
            let options: Vec<&str> = select.split("<option ").skip(1).collect();
            let chosen = options
                .iter()
                .find(|o| o.split('>').next().is_some_and(|h| h.ends_with("selected")));
            if let Some(option) = chosen.or(options.first()) {
                inputs.push(&name, attribute(option, "value").unwrap_or_default());
            }
        }
    }
    inputs
}

pub(crate) fn attribute(tag: &str, name: &str) -> Option<String> {
    let head = tag.split('>').next()?;
    let start = format!("{name}=\"");
    let mut at = head.match_indices(&start).map(|(at, _)| at);
    let at = at.find(|at| *at == 0 || head.as_bytes()[at - 1] == b' ')?;
    let value = &head[at + start.len()..];
    Some(unescape(&value[..value.find('"')?]))
}

pub(crate) fn unescape(text: &str) -> String {
    let text = text
        .replace("&lt;", "<")
        .replace("&gt;", ">")
        .replace("&quot;", "\"");
    let text = text.replace("&#39;", "'").replace("&#13;", "\r");
    text.replace("&amp;", "&")
}

impl Browser {
    /// Sends a request without changing the current page.
    pub(crate) fn console_status(&self, request: &ConsoleRequest) -> u16 {
        let context = RequestContext {
            now: self.now,
            random: [255; 16],
        };
        run(self.console.answer(request, context)).status
    }
}
