//! The path that is measured: a store, targets and one entry instance, as parts
//! of one process.

use std::ffi::OsString;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process;
use std::thread;
use std::time::{Duration, Instant};

use auburnrouter::daemon;
use standin::{store, target};
use thiserror::Error;
use wire::instance;

use crate::drive::Run;

/// Targets behind the entry instance.
const TARGETS: usize = 4;

/// Requests a target runs at a time; wide, so that the path itself is measured.
const SLOTS: u32 = 64;

/// Longest wait for the path to be ready.
const START_TIME: Duration = Duration::from_secs(15);

/// The configuration: one domain, one service.
const BASE: &str = r#"{
  "regions": { "r": { "domains": { "d": { "entries": ["a"], "sites": ["s"] } } } },
  "classes": [ { "name": "urgent", "queue_percent": 100 } ],
  "services": {
    "stock": { "class": "urgent", "idempotent": true, "deadline_ms": 2000, "sites": ["s"] }
  },
  "blocks": { "127.0.0.0/8": "r" }
}"#;

/// Why the path can't start.
#[derive(Debug, Error)]
pub enum Error {
    /// Input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The entry instance can't start.
    #[error(transparent)]
    Daemon(#[from] daemon::Error),
    /// The instance on the users' platform can't start.
    #[error(transparent)]
    Direct(#[from] auburnrouter::direct::Failure),
    /// The settings or the configuration were refused.
    #[error("the built-in configuration was refused: {0}")]
    Refused(String),
    /// It was not ready in time.
    #[error("the entry instance was not ready in time; run fewer things beside it")]
    Late,
}

/// The path.
pub struct Path {
    folder: PathBuf,
    store: store::Store,
    targets: Vec<target::Target>,
    entry: daemon::Running,
}

impl Path {
    /// Starts it, with so many traffic threads.
    pub fn start(threads: u64) -> Result<Self, Error> {
        let name = format!("auburnrouter-load-{:08x}", fastrand::u32(..));
        let folder = std::env::temp_dir().join(name);
        fs::create_dir(&folder)?;
        let secret = folder.join("secret");
        fs::write(&secret, format!("{:032x}", fastrand::u128(..)))?;
        fs::set_permissions(&secret, fs::Permissions::from_mode(0o600))?;
        let base = folder.join("base.jsonc");
        fs::write(&base, BASE)?;
        let store = store::Store::start(store::Config {
            listen: ([127, 0, 0, 1], 0).into(),
            lag: Duration::ZERO,
        })?;
        let targets = start_targets()?;
        let instances = targets.iter().map(target::Target::instance).collect();
        store.list(instance::Instances { instances });
        let any = "127.0.0.1:0";
        let text = serde_json::json!({
            "name": "a",
            "domain": "d",
            "listen": { "callers": any, "peers": any, "operators": any },
            "seeds": [],
            "store": [store.addr()],
            "secret_file": secret,
            "limits": { "threads": threads, "caller_in_flight": 1024 },
        });
        let settings = settings::Settings::parse("load", &text.to_string());
        let settings = settings.map_err(|f| Error::Refused(f[0].to_string()))?;
        let entry = daemon::Bound::new(settings, None)?.start()?;
        let path = Self {
            folder,
            store,
            targets,
            entry,
        };
        path.apply(&base, &secret)?;
        path.await_ready()?;
        Ok(path)
    }

    /// What is measured, directly and through the entry instance.
    pub fn runs(&self, what: &str) -> Vec<Run> {
        let entry = self.entry.addresses().callers;
        let run = |name, addr: SocketAddr, method, path, body| Run {
            name,
            addr,
            method,
            path,
            body,
        };
        if what == "lookup" {
            return vec![run("lookup", entry, "GET", "/lookup?service=stock", "")];
        }
        let body = "one hundred bytes or so of a request about chains on the shelf at a depot in the highlands";
        vec![
            run("direct", self.targets[0].addr(), "POST", "/shelf", body),
            run("through entry", entry, "POST", "/s/stock/shelf", body),
        ]
    }

    /// Ends it.
    pub fn stop(self) {
        self.entry.stop();
        smol::block_on(async {
            for target in self.targets {
                target.stop().await;
            }
            self.store.stop().await;
        });
        // Best effort: the folder lies in the system's temporary place.
        let _ = fs::remove_dir_all(&self.folder);
    }

    fn apply(&self, base: &std::path::Path, secret: &std::path::Path) -> Result<(), Error> {
        let operators = self.entry.addresses().operators.to_string();
        let args: [OsString; 6] = [
            "apply".into(),
            base.into(),
            "--operators".into(),
            operators.into(),
            "--secret-file".into(),
            secret.into(),
        ];
        if auburnrouter::run(args) == process::ExitCode::SUCCESS {
            Ok(())
        } else {
            Err(Error::Refused("see above".to_owned()))
        }
    }

    fn await_ready(&self) -> Result<(), Error> {
        let until = Instant::now() + START_TIME;
        while Instant::now() < until {
            if self.entry.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(Error::Late)
    }
}

fn start_targets() -> Result<Vec<target::Target>, Error> {
    let mut targets = Vec::with_capacity(TARGETS);
    for i in 0..TARGETS {
        let mut config = target::Config::new(&format!("t{i}"), "stock", "s", "d");
        config.slots = SLOTS;
        config.queue = SLOTS;
        config.work = Duration::ZERO;
        targets.push(target::Target::start(config)?);
    }
    Ok(targets)
}
