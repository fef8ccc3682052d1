//! Settings of a process: their fields, checks and printed form.
//!
//! Invariant: the shared secret leaves this crate only by
//! [`secret::Secret::bytes`]; nothing prints it.

pub mod direct;
pub mod limits;
pub mod parse;
pub mod secret;

use core::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use jsonc::fault::Fault;

/// Addresses on which a process listens. Port 0 lets the operating system choose one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other processes of this system.
    pub peers: SocketAddr,
    /// For operators: state, metrics and dumps.
    pub operators: SocketAddr,
}

/// Level and destination of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Lowest level that is logged: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Arc<str>,
    /// File that lines are appended to; standard error if `None`.
    pub file: Option<PathBuf>,
}

/// All settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry instance; a process that replaces it takes the name over.
    pub name: Arc<str>,
    /// Name of the instance's failure domain.
    pub domain: Arc<str>,
    /// Addresses on which it listens.
    pub listen: Listen,
    /// Addresses of peers to call first.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of the platform's key-value service.
    pub store: Vec<SocketAddr>,
    /// Source of the secret that operators and peers share.
    pub secret: secret::Source,
    /// Bounds on memory, work and time.
    pub limits: limits::Limits,
    /// Level and destination of the log.
    pub log: Log,
}

impl Settings {
    /// Parses and checks one settings file's text.
    ///
    /// # Errors
    /// All faults, ordered by place.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        parse::settings(file, text)
    }
}

/// Prints a summary for operators, with the source of the secret but never the secret.
impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "entry {} in {}", self.name, self.domain)?;
        writeln!(f, "  callers   {}", self.listen.callers)?;
        writeln!(f, "  peers     {}", self.listen.peers)?;
        writeln!(f, "  operators {}", self.listen.operators)?;
        writeln!(f, "  seeds     {}", join(&self.seeds))?;
        writeln!(f, "  store     {}", join(&self.store))?;
        writeln!(f, "  secret    {}", self.secret)?;
        for (name, value) in self.limits.named() {
            writeln!(f, "  {name} {value}")?;
        }
        match &self.log.file {
            Some(file) => writeln!(f, "  log {} to {}", self.log.level, file.display()),
            None => writeln!(f, "  log {} to standard error", self.log.level),
        }
    }
}

pub(crate) fn join(addrs: &[SocketAddr]) -> String {
    let texts: Vec<String> = addrs.iter().map(ToString::to_string).collect();
    if texts.is_empty() {
        return "none".into();
    }
    texts.join(" ")
}
