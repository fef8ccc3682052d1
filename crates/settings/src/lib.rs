//! A process's own settings: declared, checked, printed.
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

/// Where a process listens. Port 0 lets the system choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other processes of this system.
    pub peers: SocketAddr,
    /// For operators: state, metrics, dumps.
    pub operators: SocketAddr,
}

/// What is logged, and where to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Least level that is logged: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Arc<str>,
    /// File that lines are appended to; standard error if none.
    pub file: Option<PathBuf>,
}

/// All settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry instance; a replacement takes it over.
    pub name: Arc<str>,
    /// Name of its failure domain.
    pub domain: Arc<str>,
    /// Where it listens.
    pub listen: Listen,
    /// Peers' addresses to start from.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of the platform's key-value service.
    pub store: Vec<SocketAddr>,
    /// The secret that operators and peers share.
    pub secret: secret::Source,
    /// Bounds on memory, work and time.
    pub limits: limits::Limits,
    /// What is logged.
    pub log: Log,
}

impl Settings {
    /// Parses and checks one settings file's text.
    ///
    /// # Errors
    /// Every fault, in the order of their places.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        parse::settings(file, text)
    }
}

/// Short readable text; names where the secret comes from, never the secret.
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
