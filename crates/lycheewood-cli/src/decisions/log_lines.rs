//! Lines of a gateway's log: what they say of one request, and why it ended as it did.

use std::collections::BTreeMap;

/// One line: its text after the level, and its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LogLine<'a> {
    /// What happened, the words before the first field.
    pub(crate) event: &'a str,
    /// Fields by name.
    pub(crate) fields: BTreeMap<&'a str, &'a str>,
    /// The whole line.
    pub(crate) text: &'a str,
}

impl<'a> LogLine<'a> {
    /// Reads a line. Whatever stands before the level, such as the name of a machine, is passed over.
    pub(crate) fn parse(text: &'a str) -> Option<Self> {
        let (_, message) = text.split_once("] ")?;
        let first = message.find('=').and_then(|equals| message[..equals].rfind(' '));
        let (event, mut rest) = message.split_at(first?);
        let mut fields = BTreeMap::new();
        while let Some((name, after)) = rest.trim_start().split_once('=') {
            let (value, left) = match after.strip_prefix('"') {
                Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
                None => after.split_once(' ').unwrap_or((after, "")),
            };
            fields.insert(name, value);
            rest = left;
        }
        Some(Self { event, fields, text })
    }

    fn field(&self, name: &str) -> &str {
        self.fields.get(name).copied().unwrap_or("-")
    }
}

/// Lines about one request, in the order of the log.
pub(crate) fn lines_of<'a>(log: &'a str, id: &str) -> Vec<LogLine<'a>> {
    let lines = log.lines().filter(|line| line.contains(id)).filter_map(LogLine::parse);
    lines.filter(|line| line.fields.get("id") == Some(&id)).collect()
}

/// Why a request ended as it did, in one sentence, as far as its lines tell.
pub(crate) fn explain(lines: &[LogLine<'_>]) -> String {
    let Some(end) = lines.iter().find(|line| line.event == "request ended") else {
        return "it has not ended, or its last line was dropped".to_owned();
    };
    let last = lines.iter().rev().find(|line| {
        line.event.starts_with("attempt")
            || line.event.starts_with("response ")
            || line.event == "no endpoint"
            || line.event == "stream broken"
    });
    let detail = last.map_or_else(
        || "no attempt was made".to_owned(),
        |line| {
            let (endpoint, reason) = (line.field("server"), line.field("reason"));
            format!(
                "the last of its attempts: {}, endpoint {endpoint}, reason {reason}",
                line.event
            )
        },
    );
    let sent = lines.iter().filter(|line| line.event.starts_with("attempt failed")).count();
    format!(
        "{} with status {} after {} ms; {sent} attempts may have run without an answer; {detail}",
        end.field("outcome"),
        end.field("status"),
        end.field("elapsed_ms"),
    )
}
