//! One process of a scenario.
//!
//! Invariant: a [`Process`] that is dropped has ended and been reaped, also if
//! it was frozen.

use std::io::{self, BufRead, BufReader};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, WaitId, WaitIdOptions};

use crate::BOUND;
use crate::error::Error;

/// Time between two looks at whether a process has ended.
const POLL: Duration = Duration::from_millis(5);

/// A running process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `actor` with `args` and waits for its first line.
    ///
    /// # Errors
    /// It can't be started, or prints no line within [`BOUND`].
    pub fn start(actor: &Path, name: &str, args: &[String]) -> Result<(Self, String), Error> {
        Self::start_noted(actor, name, args, Stdio::inherit())
    }

    /// As [`Process::start`], with a place for its error output.
    ///
    /// # Errors
    /// It can't be started, or prints no line within [`BOUND`].
    pub fn start_noted(
        actor: &Path,
        name: &str,
        args: &[String],
        errors: Stdio,
    ) -> Result<(Self, String), Error> {
        let mut child = Command::new(actor)
            .args(args)
            // A handful of threads each: a scenario runs many processes.
            .env("SMOL_THREADS", "2")
            .env("ASYNC_GLOBAL_EXECUTOR_THREADS", "2")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()?;
        let out = child.stdout.take();
        let process = Self { child };
        let said = out.map(first_line).transpose()?.unwrap_or_default();
        if said.is_empty() {
            let name = name.to_owned();
            return Err(Error::NotReady { name, said });
        }
        Ok((process, said))
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// It has ended already.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = Pid::from_child(&self.child);
        Ok(rustix::process::kill_process(pid, signal)?)
    }

    /// Freezes it. Returns once all its threads have stopped, which is later than the
    /// signal is sent, or once it has ended.
    ///
    /// # Errors
    /// It has ended already.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        let child = WaitId::Pid(Pid::from_child(&self.child));
        // The status is left for whoever waits for the end.
        let stopped = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
        rustix::process::waitid(child, stopped)?;
        Ok(())
    }

    /// Waits until it has ended.
    ///
    /// # Errors
    /// It did not end within [`BOUND`].
    pub fn wait(&mut self) -> Result<ExitStatus, Error> {
        let until = Instant::now() + BOUND;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() > until {
                return Err(Error::Late(format!("process {}", self.child.id())));
            }
            thread::sleep(POLL);
        }
    }

    /// Whether it still runs.
    ///
    /// # Errors
    /// The operating system can't tell.
    pub fn runs(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_none())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL ends a frozen process too; both fail only if it has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// How a process ended, in words.
#[must_use]
pub fn ending(status: ExitStatus) -> String {
    match (status.code(), status.signal()) {
        (Some(code), _) => format!("exit {code}"),
        (None, Some(signal)) => format!("signal {signal}"),
        (None, None) => "unknown".to_owned(),
    }
}

/// A process that is to end by itself.
#[derive(Clone, Debug)]
pub struct Subcommand {
    /// The actor.
    pub actor: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
}

/// How a [`Subcommand`] ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// What it printed, errors last.
    pub said: String,
    /// Its exit status.
    pub status: ExitStatus,
}

impl Subcommand {
    /// Runs it to its end.
    ///
    /// # Errors
    /// It can't be started, or does not end within [`BOUND`].
    pub fn run(&self) -> Result<Ended, Error> {
        let mut child = Command::new(&self.actor)
            .args(&self.args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().map(all);
        let err = child.stderr.take().map(all);
        let mut process = Process { child };
        let status = process.wait()?;
        let mut said = String::new();
        for part in [out, err].into_iter().flatten() {
            said += &part.join().unwrap_or_default();
        }
        Ok(Ended { said, status })
    }
}

fn all(mut stream: impl io::Read + Send + 'static) -> thread::JoinHandle<String> {
    thread::spawn(move || {
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text
    })
}

/// The first line; the rest is read and dropped, else the pipe would fill.
fn first_line(stream: ChildStdout) -> Result<String, Error> {
    let (tell, told) = mpsc::channel();
    thread::spawn(move || {
        let mut lines = BufReader::new(stream).lines();
        let first = lines.next().and_then(Result::ok).unwrap_or_default();
        let _ = tell.send(first);
        lines.map_while(Result::ok).for_each(drop);
    });
    let late = |_| Error::Late("start of a process".to_owned());
    told.recv_timeout(BOUND).map_err(late)
}
