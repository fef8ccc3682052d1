//! Calls to an instance's operators' listener, shared by the subcommands.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use futures_lite::future;
use lexopt::ValueExt;
use serde::de::DeserializeOwned;
use settings::secret;
use thiserror::Error;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

use super::{files, given};
use crate::cli;
use crate::daemon::{Change, ChangeAnswer};

/// Options that name the instance to call.
#[derive(Debug, Default)]
pub struct Options {
    settings: Option<PathBuf>,
    operators: Option<SocketAddr>,
    secret: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
}

/// Names of [`Options`].
pub const NAMES: &[&str] = &["settings", "operators", "secret-file", "json", "help"];

/// Time limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A call to an instance failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The options name no address or no secret.
    #[error("say where to ask: --settings FILE, or --operators ADDR and --secret-file FILE")]
    MissingAddress,
    /// A file can't be read or is wrong.
    #[error("{0}: {1}")]
    File(String, String),
    /// No answer.
    #[error("{0} does not answer: {1}; check the address, or ask another instance")]
    Silent(SocketAddr, String),
    /// The answer can't be decoded.
    #[error("{0} answers what this version can't read; run the same version on both ends")]
    Garbled(SocketAddr),
    /// The secret is wrong.
    #[error("{0} does not know this secret; use the one in its settings")]
    Secret(SocketAddr),
}

/// One instance's operators' listener.
pub struct Operators {
    addr: SocketAddr,
    /// `None` on the users' platform, where all that reach the address may read.
    secret: Option<secret::Secret>,
}

/// An answer of the listener.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

impl Options {
    /// Takes an option if it is one of these.
    ///
    /// # Errors
    /// If its value is absent or malformed.
    pub fn take(
        &mut self,
        arg: &cli::Arg,
        args: &mut lexopt::Parser,
        command: &'static str,
    ) -> Result<bool, cli::Error> {
        let wrong = |e: lexopt::Error| cli::malformed(&e, command);
        let cli::Arg::Long(name) = arg else {
            return Ok(false);
        };
        match name.as_str() {
            "settings" => self.settings = Some(args.value().map_err(wrong)?.into()),
            "secret-file" => self.secret = Some(args.value().map_err(wrong)?.into()),
            "operators" => {
                let value = args.value().map_err(wrong)?;
                self.operators = Some(value.parse().map_err(wrong)?);
            }
            "json" => self.json = true,
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// The listener that the options name.
    ///
    /// # Errors
    /// If they name none, or a file can't be read.
    pub fn operators(&self) -> Result<Operators, Error> {
        let settings = self.settings.as_deref().map(read_settings).transpose()?;
        let listens = match &settings {
            Some(AnySettings::Own(settings)) => Some(settings.listen.operators),
            Some(AnySettings::Direct(settings)) => Some(settings.listen.operators),
            None => None,
        };
        let addr = self.operators.or(listens).ok_or(Error::MissingAddress)?;
        let secret = match (&self.secret, settings) {
            (Some(path), _) => Some(read_secret(path)?),
            (None, Some(AnySettings::Own(settings))) => Some(match settings.secret {
                secret::Source::Inline(secret) => secret,
                secret::Source::File(path) => read_secret(&path)?,
            }),
            (None, Some(AnySettings::Direct(_))) => None,
            (None, None) => return Err(Error::MissingAddress),
        };
        Ok(Operators { addr, secret })
    }
}

/// Settings of one of the two interfaces.
enum AnySettings {
    Own(Box<settings::Settings>),
    Direct(Box<settings::direct::Settings>),
}

impl Operators {
    /// `GET path`.
    ///
    /// # Errors
    /// If no answer comes or the secret is wrong.
    pub fn get(&self, path: &str) -> Result<Answer, Error> {
        self.call(client().get(self.url(path)))
    }

    /// `GET path`, read as JSON.
    ///
    /// # Errors
    /// If no answer comes or it can't be read.
    pub fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let answer = self.get(path)?;
        serde_json::from_str(&answer.body).map_err(|_| Error::Garbled(self.addr))
    }

    /// `POST path` with a JSON body.
    ///
    /// # Errors
    /// If no answer comes or the secret is wrong.
    pub fn post(&self, path: &str, body: String) -> Result<Answer, Error> {
        self.call(client().post(self.url(path)).with_body(body))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }

    fn call(&self, conn: Conn) -> Result<Answer, Error> {
        let conn = match &self.secret {
            Some(secret) => {
                let bearer = format!("Bearer {}", String::from_utf8_lossy(secret.bytes()));
                conn.with_request_header("Authorization", bearer)
            }
            None => conn,
        };
        let answer = call(conn).map_err(|e| Error::Silent(self.addr, e))?;
        if answer.status == 401 {
            return Err(Error::Secret(self.addr));
        }
        Ok(answer)
    }
}

/// The configuration in force at an instance.
///
/// # Errors
/// If no answer comes or it can't be read.
pub fn config(operators: &Operators) -> Result<files::Config, Error> {
    operators.read("/config")
}

/// Makes a change through an instance.
///
/// # Errors
/// If no answer comes or it can't be read.
pub fn change(operators: &Operators, change: &Change) -> Result<ChangeAnswer, Error> {
    let body = serde_json::to_string(change).unwrap_or_default();
    let answer = operators.post("/apply", body)?;
    serde_json::from_str(&answer.body).map_err(|_| Error::Garbled(operators.addr))
}

/// A client that keeps no connections.
pub fn client() -> Client {
    Client::new(ClientConfig::default())
}

/// Makes one call, in bounded time.
///
/// # Errors
/// In words, if no whole answer comes.
pub fn call(conn: Conn) -> Result<Answer, String> {
    let late = async {
        smol::Timer::after(CALL_TIMEOUT).await;
        Err("no answer in time".to_owned())
    };
    smol::block_on(future::or(exchange(conn), late))
}

async fn exchange(conn: Conn) -> Result<Answer, String> {
    let mut conn = conn.await.map_err(|e| e.to_string())?;
    let status = conn.status().map_or(0, |s| s as u16);
    let body = conn
        .response_body()
        .read_string()
        .await
        .map_err(|e| e.to_string())?;
    Ok(Answer { status, body })
}

fn read_settings(path: &Path) -> Result<AnySettings, Error> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| Error::File(name.clone(), e.to_string()))?;
    let root = jsonc::parse(&name, &text).ok();
    let read = if root.is_some_and(|root| given::is_direct(&given::fields(&root))) {
        settings::direct::Settings::parse(&name, &text).map(|s| AnySettings::Direct(Box::new(s)))
    } else {
        settings::Settings::parse(&name, &text).map(|s| AnySettings::Own(Box::new(s)))
    };
    read.map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Error::File(name.clone(), lines.join("\n"))
    })
}

fn read_secret(path: &Path) -> Result<secret::Secret, Error> {
    let wrong = |e: String| Error::File(path.display().to_string(), e);
    let text = fs::read_to_string(path).map_err(|e| wrong(e.to_string()))?;
    secret::Secret::new(&text).map_err(|e| wrong(e.to_string()))
}
