//! Log output: lines of `key=value` words for the product's own interface, and lines of
//! JSON events for the users' platform.
//!
//! Invariant: nothing that repeats per request or per failure is logged; such
//! things are counted in the metrics.

use std::fmt;
use std::io::{self, Write};
use std::sync::mpsc;
use std::{thread, time};

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
    /// The system refuses a thread.
    #[error("the system refuses a thread for logs: {0}; allow the process more")]
    Thread(io::Error),
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

/// Largest number of lines queued for standard output, a few seconds of a busy
/// instance. Further lines are dropped while the reader is slow.
const QUEUED_LINES_MAX: usize = 8192;

/// Time over which lines are collected before they are written in one call.
const BATCH_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Time limit for writing the remaining lines when the process ends, so that a slow
/// reader doesn't delay its end.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Queues lines for the thread that writes them, without blocking.
struct LineQueue(mpsc::SyncSender<Vec<u8>>);

impl io::Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Drops the line if the queue is full: a request must not wait for the reader.
        let _ = self.0.try_send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Handle of the thread that writes lines.
pub struct Writer {
    end: mpsc::SyncSender<Vec<u8>>,
    done: mpsc::Receiver<()>,
}

impl Writer {
    /// Writes the remaining lines, for at most [`FLUSH_TIMEOUT`].
    pub fn finish(self) {
        if self.end.try_send(Vec::new()).is_ok() {
            // An error means that the time limit has passed or the thread has ended.
            let _ = self.done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Sends lines of JSON to standard output, from a thread of their own.
///
/// # Errors
/// If a logger is already in place, or the system refuses a thread.
pub fn start_events() -> Result<Writer, Error> {
    let (lines, queued) = mpsc::sync_channel(QUEUED_LINES_MAX);
    let (ended, done) = mpsc::channel();
    let run = move || {
        write_lines(&queued);
        // Fails if nobody waits for the end any more.
        let _ = ended.send(());
    };
    let thread = thread::Builder::new().name("logs".into());
    thread.spawn(run).map_err(Error::Thread)?;
    let sink: Box<dyn io::Write + Send> = Box::new(LineQueue(lines.clone()));
    let base = fern::Dispatch::new()
        .format(|out, message, _| out.finish(format_args!("{message}")))
        .level(log::LevelFilter::Warn)
        .level_for("auburnrouter", log::LevelFilter::Info)
        .chain(fern::Output::writer(sink, "\n"));
    base.apply().map_err(|_| Error::Twice)?;
    Ok(Writer { end: lines, done })
}

/// Writes queued lines until an empty one marks the end of the process.
fn write_lines(queued: &mpsc::Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(first) = queued.recv() {
        let mut end = first.is_empty();
        let mut text = first;
        if !end {
            thread::sleep(BATCH_INTERVAL);
        }
        for line in queued.try_iter() {
            end |= line.is_empty();
            text.extend_from_slice(&line);
        }
        // An error means that the reader is gone: the lines are lost, the process goes on.
        let _ = out.write_all(&text).and_then(|()| out.flush());
        if end {
            return;
        }
    }
}

/// Milliseconds since the Unix epoch, and the level.
struct Stamp<'a>(&'a log::Record<'a>);

impl fmt::Display for Stamp<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let millis = now.map_or(0, |d| d.as_millis());
        write!(f, "time_ms={millis} level={}", self.0.level())
    }
}
