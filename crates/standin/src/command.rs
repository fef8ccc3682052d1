//! The command line of the stand-ins, and their life as a process.

use std::ffi::OsString;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

use async_signal::{Signal, Signals};
use futures_lite::{AsyncReadExt, FutureExt, StreamExt};
use lexopt::{Arg, Parser, ValueExt};

use crate::{store, target};

/// Why a stand-in did not run.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The command line is wrong.
    #[error("{0}; usage: standin store|target --listen ADDR …")]
    Usage(#[from] lexopt::Error),
    /// The operating system refused something.
    #[error("{0}; choose a free --listen address")]
    Io(#[from] io::Error),
}

struct Options {
    kind: Kind,
    until_stdin_closes: bool,
}

enum Kind {
    Store(store::Config),
    Target(Box<target::Config>),
}

enum Running {
    Store(store::Store),
    Target(target::Target),
}

pub(crate) fn run(args: impl IntoIterator<Item = OsString>) -> Result<(), Error> {
    let options = parse(&mut Parser::from_args(args))?;
    smol::block_on(async {
        // Signals first: whoever reads `ready` may send one at once.
        let signals = Signals::new([Signal::Term, Signal::Int])?;
        let running = match options.kind {
            Kind::Store(config) => Running::Store(store::Store::start(config)?),
            Kind::Target(config) => Running::Target(target::Target::start(*config)?),
        };
        let mut out = io::stdout();
        writeln!(out, "ready {}", running.addr())?;
        out.flush()?;
        wait(signals, options.until_stdin_closes).await;
        running.stop().await;
        Ok(())
    })
}

impl Running {
    const fn addr(&self) -> SocketAddr {
        match self {
            Self::Store(store) => store.addr(),
            Self::Target(target) => target.addr(),
        }
    }

    async fn stop(self) {
        match self {
            Self::Store(store) => store.stop().await,
            Self::Target(target) => target.stop().await,
        }
    }
}

async fn wait(mut signals: Signals, until_stdin_closes: bool) {
    let signal = async {
        let _ = signals.next().await;
    };
    if !until_stdin_closes {
        return signal.await;
    }
    let closed = async {
        let mut rest = Vec::new();
        let mut stdin = smol::Unblock::new(io::stdin());
        let _ = stdin.read_to_end(&mut rest).await;
    };
    signal.or(closed).await;
}

fn parse(parser: &mut Parser) -> Result<Options, lexopt::Error> {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let kind = match parser.next()? {
        Some(Arg::Value(word)) if word == "store" => Kind::Store(store::Config {
            listen,
            lag: Duration::ZERO,
        }),
        Some(Arg::Value(word)) if word == "target" => {
            let mut config = target::Config::new("target", "service", "site", "domain");
            config.process = true;
            Kind::Target(Box::new(config))
        }
        _ => return Err("say which stand-in: store or target".into()),
    };
    let mut options = Options {
        kind,
        until_stdin_closes: false,
    };
    while let Some(arg) = parser.next()? {
        let Arg::Long(name) = arg else {
            return Err(arg.unexpected());
        };
        if name == "until-stdin-closes" {
            options.until_stdin_closes = true;
            continue;
        }
        let name = name.to_owned();
        let value = parser.value()?;
        match &mut options.kind {
            Kind::Store(config) => set_store(config, &name, &value)?,
            Kind::Target(config) => set_target(config, &name, &value)?,
        }
    }
    Ok(options)
}

fn set_store(
    config: &mut store::Config,
    name: &str,
    value: &OsString,
) -> Result<(), lexopt::Error> {
    match name {
        "listen" => config.listen = value.parse()?,
        "lag-ms" => config.lag = millis(value)?,
        _ => return Err(unknown(name)),
    }
    Ok(())
}

fn set_target(
    config: &mut target::Config,
    name: &str,
    value: &OsString,
) -> Result<(), lexopt::Error> {
    match name {
        "listen" => config.listen = value.parse()?,
        "name" => config.name = value.clone().string()?,
        "service" => config.service = value.clone().string()?,
        "site" => config.site = value.clone().string()?,
        "domain" => config.domain = value.clone().string()?,
        "slots" => config.slots = value.parse()?,
        "queue" => config.queue = value.parse()?,
        "work-ms" => config.work = millis(value)?,
        "connect-ms" => config.connect = millis(value)?,
        "probe-ms" => config.probe = millis(value)?,
        "cold-ms" => config.cold = millis(value)?,
        "cold-work-ms" => config.cold_work = millis(value)?,
        "ledger" => config.ledger = Some(value.into()),
        "crash-on" => config.crash = Some(value.clone().string()?),
        _ => return Err(unknown(name)),
    }
    Ok(())
}

fn unknown(name: &str) -> lexopt::Error {
    format!("no option --{name} here").into()
}

fn millis(value: &OsString) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_millis(value.parse()?))
}
