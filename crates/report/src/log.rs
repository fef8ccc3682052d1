//! The lines of all instances, each with its instance and its time.
//!
//! Lines come as instances write them, one file an instance, or collected into
//! one file with the instance's name before each, and the time in seconds before
//! that if the collector notes it.
//!
//! Invariant: lines that can't be read are counted.

use std::sync::Arc;

use crate::line::{Event, Line};

/// A line with its place.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Seconds: the collector's, else of the time of day.
    pub at: f64,
    /// The instance.
    pub instance: Arc<str>,
    /// What it tells.
    pub event: Event,
}

/// All lines.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// By time.
    pub entries: Vec<Entry>,
    /// Lines that hold no event.
    pub unread: usize,
    /// Lines that instances left out.
    pub left_out: u64,
    /// Start of each instance's current process, sorted by name.
    starts: Vec<(Arc<str>, f64)>,
}

/// What stands before the event of a line.
struct Prefix<'a> {
    instance: Option<&'a str>,
    seconds: Option<f64>,
}

impl Log {
    /// Reads the lines of one file. `name` is the instance's, for lines that
    /// don't say it.
    pub fn read(&mut self, name: &str, text: &str) {
        let mut own: Arc<str> = name.into();
        for text in text.lines() {
            let Some(at) = text.find('{') else {
                self.unread += usize::from(!text.trim().is_empty());
                continue;
            };
            let (prefix, event) = text.split_at(at);
            let prefix = read_prefix(prefix);
            match serde_json::from_str::<Line>(event) {
                Ok(line) => self.take(&prefix, &mut own, line),
                Err(_) => self.unread += 1,
            }
        }
    }

    /// Sorts what was read.
    pub fn finish(&mut self) {
        self.entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    }

    fn take(&mut self, prefix: &Prefix<'_>, own: &mut Arc<str>, line: Line) {
        if let (None, Event::Start(start)) = (prefix.instance, &line.event) {
            *own = Arc::clone(&start.name);
        }
        let instance = prefix.instance.map_or_else(|| Arc::clone(own), Arc::from);
        if let Event::Start(start) = &line.event {
            let start = seconds(start.unix_ms) - seconds(line.at_ms);
            match self.starts.binary_search_by(|s| s.0.cmp(&instance)) {
                Ok(at) => self.starts[at].1 = start,
                Err(at) => self.starts.insert(at, (Arc::clone(&instance), start)),
            }
        }
        if let Event::LeftOut { count } = line.event {
            self.left_out += count;
        }
        let started = self.starts.binary_search_by(|s| s.0.cmp(&instance));
        let started = started.map_or(0.0, |at| self.starts[at].1);
        self.entries.push(Entry {
            at: prefix.seconds.unwrap_or(started + seconds(line.at_ms)),
            instance,
            event: line.event,
        });
    }
}

fn read_prefix(text: &str) -> Prefix<'_> {
    let mut words = text.split_whitespace().rev();
    let instance = words.next();
    let seconds = words.next().and_then(|w| w.parse().ok());
    Prefix { instance, seconds }
}

#[allow(clippy::cast_precision_loss, reason = "milliseconds of a few decades")]
pub(crate) fn seconds(millis: u64) -> f64 {
    millis as f64 / 1000.0
}
