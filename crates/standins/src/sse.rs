//! Reads server-sent events from a response body.

use std::io;
use std::io::BufRead;

/// A server-sent event; fields other than `event` and `data` are ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Value of the `event` field, empty if there is none.
    pub name: String,
    /// Values of the `data` fields, joined without separators.
    pub data: String,
}

/// Reads the next event; returns `None` at the end of the stream.
///
/// An event without the empty line at its end is discarded.
///
/// # Errors
///
/// Returns the error of `reader`.
pub fn next_event(reader: &mut impl BufRead) -> io::Result<Option<Event>> {
    let mut event = Event::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end_matches(['\r', '\n']);
        if text.is_empty() {
            if event != Event::default() {
                return Ok(Some(event));
            }
        } else if let Some(name) = text.strip_prefix("event:") {
            name.trim_start().clone_into(&mut event.name);
        } else if let Some(data) = text.strip_prefix("data:") {
            event.data.push_str(data.trim_start());
        }
    }
}
