//! Structured logs: one line of `key=value` words per change of state.
//!
//! Invariant: nothing that repeats per request or per failure is logged; such
//! things are counted in the metrics.

use std::fmt;
use std::io;
use std::time;

use thiserror::Error;

/// Logs could not be set up.
#[derive(Debug, Error)]
pub enum Error {
    /// The file can't be opened.
    #[error("can't open log file {0}: {1}; name a writable path in `log.file` or leave it out")]
    Open(String, io::Error),
    /// Another logger is in place.
    #[error("logs are already set up in this process; start one daemon a process")]
    Twice,
}

/// Sends log lines to standard error, or to `file`.
///
/// # Errors
/// If the file can't be opened or a logger is already in place.
pub fn start(level: log::LevelFilter, file: Option<&str>) -> Result<(), Error> {
    let base = fern::Dispatch::new()
        .format(|out, message, record| out.finish(format_args!("{} {message}", Stamp(record))))
        .level(log::LevelFilter::Warn)
        .level_for("auburnrouter", level);
    let sink = match file {
        None => base.chain(io::stderr()),
        Some(path) => base.chain(fern::log_file(path).map_err(|e| Error::Open(path.into(), e))?),
    };
    sink.apply().map_err(|_| Error::Twice)
}

/// Sends lines of JSON to standard output.
///
/// # Errors
/// If a logger is already in place.
pub fn start_events() -> Result<(), Error> {
    let base = fern::Dispatch::new()
        .format(|out, message, _| out.finish(format_args!("{message}")))
        .level(log::LevelFilter::Warn)
        .level_for("auburnrouter", log::LevelFilter::Info)
        .chain(io::stdout());
    base.apply().map_err(|_| Error::Twice)
}

/// Time in milliseconds since 1970, and the level.
struct Stamp<'a>(&'a log::Record<'a>);

impl fmt::Display for Stamp<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let millis = now.map_or(0, |d| d.as_millis());
        write!(f, "time_ms={millis} level={}", self.0.level())
    }
}
