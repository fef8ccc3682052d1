//! The processes of one scenario, by name, and the files they share.

use std::fs;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};

use rustix::process::Signal;
use serde_json::json;
use sha2::{Digest, Sha256};
use standin::target::ledger::Executed;
use trillium_client::Method;
use wire::instance::{Instance, Instances, Role, State};
use wire::kv;

use crate::error::Error;
use crate::http::Call;
use crate::process::{self, Process};
use crate::settings::{Facts, Line, Listens, SECRET};

/// A target to start.
#[derive(Clone, Debug)]
pub struct TargetFacts {
    /// Name.
    pub name: String,
    /// Name of its service.
    pub service: String,
    /// Name of its site.
    pub site: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Further options of the stand-in's command line.
    pub options: Vec<String>,
}

/// What a process is.
#[derive(Debug)]
enum Kind {
    Store,
    Target { domain: String },
    Entry(Listens),
}

#[derive(Debug)]
struct Actor {
    name: String,
    addr: SocketAddr,
    kind: Kind,
    process: Process,
}

/// All that a scenario started.
#[derive(Debug)]
pub struct World {
    program: PathBuf,
    dir: PathBuf,
    actors: Vec<Actor>,
    listed: Vec<Instance>,
    version: u64,
    errors: Option<PathBuf>,
}

/// Name of the store's process.
pub const STORE: &str = "store";

impl World {
    /// An empty world. `program` is the actor; `dir` is made anew and removed
    /// in the end.
    ///
    /// # Errors
    /// The folder can't be made.
    pub fn new(program: &Path, dir: &Path) -> Result<Self, Error> {
        if dir.exists() {
            fs::remove_dir_all(dir)?;
        }
        fs::create_dir_all(dir)?;
        let secret = dir.join("secret");
        fs::write(&secret, SECRET)?;
        fs::set_permissions(&secret, fs::Permissions::from_mode(0o600))?;
        Ok(Self {
            program: program.to_owned(),
            dir: dir.to_owned(),
            actors: Vec::new(),
            listed: Vec::new(),
            version: 0,
            errors: None,
        })
    }

    /// Has processes started from now on write their errors to this file.
    pub fn note_errors(&mut self, file: &Path) {
        self.errors = Some(file.to_owned());
    }

    /// Where the next process writes its errors.
    fn errors(&self) -> Result<Stdio, Error> {
        let Some(file) = &self.errors else {
            return Ok(Stdio::inherit());
        };
        let file = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(file)?;
        Ok(file.into())
    }

    /// The file of this name, written or not.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    /// File with the secret.
    #[must_use]
    pub fn secret(&self) -> PathBuf {
        self.dir.join("secret")
    }

    /// A file of the scenario with this text.
    ///
    /// # Errors
    /// It can't be written.
    pub fn file(&self, name: &str, text: &str) -> Result<PathBuf, Error> {
        let path = self.dir.join(name);
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts the store.
    ///
    /// # Errors
    /// It does not become ready.
    pub fn start_store(&mut self, lag_ms: u64) -> Result<(), Error> {
        let args = ["standin", "store", "--lag-ms", &lag_ms.to_string()];
        let (addr, process) = self.start_standin(STORE, &args.map(str::to_owned))?;
        self.add(STORE, addr, Kind::Store, process);
        Ok(())
    }

    /// Starts a target, and has the platform list it.
    ///
    /// # Errors
    /// It does not become ready.
    pub fn start_target(&mut self, facts: &TargetFacts) -> Result<(), Error> {
        let slots = facts.slots.to_string();
        let args = [
            "standin",
            "target",
            "--name",
            &facts.name,
            "--service",
            &facts.service,
            "--site",
            &facts.site,
            "--domain",
            &facts.domain,
            "--slots",
            &slots,
        ];
        let mut args = args.map(str::to_owned).to_vec();
        args.extend_from_slice(&facts.options);
        let (addr, process) = self.start_standin(&facts.name, &args)?;
        let domain = facts.domain.clone();
        self.add(&facts.name, addr, Kind::Target { domain }, process);
        self.list(Instance {
            name: facts.name.clone(),
            domain: facts.domain.clone(),
            state: State::Live,
            role: Role::Target {
                addr,
                service: facts.service.clone(),
                site: facts.site.clone(),
                slots: facts.slots,
            },
        })
    }

    /// Starts an entry instance, or the replacement of one that has ended, and
    /// has the platform list it.
    ///
    /// # Errors
    /// It does not become ready.
    pub fn start_entry(&mut self, name: &str, domain: &str) -> Result<(), Error> {
        let seeds = self.seeds(name);
        let facts = Facts {
            name,
            domain,
            seeds: &seeds,
            store: self.find(STORE)?.addr,
            secret: &self.secret(),
            log: &self.dir.join(format!("{name}.log")),
        };
        let file = self.file(&format!("{name}.jsonc"), &facts.text())?;
        let file = file.display().to_string();
        let args = ["auburnrouter", "entry", "--settings", &file];
        let args = args.map(str::to_owned);
        let (process, said) = Process::start_noted(&self.program, name, &args, self.errors()?)?;
        let Ok(Line { ready }) = serde_json::from_str(&said) else {
            let name = name.to_owned();
            return Err(Error::NotReady { name, said });
        };
        self.add(name, ready.callers, Kind::Entry(ready), process);
        self.list(Instance {
            name: name.to_owned(),
            domain: domain.to_owned(),
            state: State::Live,
            role: Role::Entry { peer: ready.peers },
        })
    }

    /// Puts a base file into the store as its next version, whatever is there.
    ///
    /// # Errors
    /// The store does not take it.
    pub fn put_config(&mut self, text: &str) -> Result<(), Error> {
        self.version += 1;
        let hash = Sha256::digest(text);
        let hex = format!("{hash:x}");
        let head = json!({
            "version": self.version,
            "recent": [{
                "version": self.version,
                "id": format!("scenario-{}", self.version),
            }],
            "files": [{ "name": "base", "hash": hex }],
        });
        self.put(&format!("auburnrouter/config/bodies/{hex}"), text)?;
        self.put("auburnrouter/config/head", &head.to_string())
    }

    fn put(&self, key: &str, value: &str) -> Result<(), Error> {
        let put = kv::Put {
            value: value.to_owned(),
            expect: kv::Expect::Any,
            lease: None,
        };
        let path = format!("/kv/{key}");
        let call = Call::new(
            Method::Put,
            self.addr(STORE)?,
            &path,
            &json!(put).to_string(),
        );
        match call.make()?.status {
            200 => Ok(()),
            status => Err(Error::Http(format!("the store answers {status}"))),
        }
    }

    /// Where a process listens; an entry instance, for callers.
    ///
    /// # Errors
    /// There is no such process.
    pub fn addr(&self, name: &str) -> Result<SocketAddr, Error> {
        Ok(self.find(name)?.addr)
    }

    /// Where an entry instance listens.
    ///
    /// # Errors
    /// There is no such entry instance.
    pub fn listens(&self, name: &str) -> Result<Listens, Error> {
        match &self.find(name)?.kind {
            Kind::Entry(listens) => Ok(*listens),
            Kind::Store | Kind::Target { .. } => Err(Error::Unknown(name.to_owned())),
        }
    }

    /// Name of the failure domain of a target.
    #[must_use]
    pub fn domain(&self, target: &str) -> Option<&str> {
        match &self.find(target).ok()?.kind {
            Kind::Target { domain } => Some(domain),
            Kind::Store | Kind::Entry(_) => None,
        }
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// There is no such process.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<(), Error> {
        Ok(self.find(name)?.process.signal(signal)?)
    }

    /// Freezes a process; returns once it stands still.
    ///
    /// # Errors
    /// There is no such process.
    pub fn freeze(&self, name: &str) -> Result<(), Error> {
        Ok(self.find(name)?.process.freeze()?)
    }

    /// Waits until a process has ended.
    ///
    /// # Errors
    /// There is no such process, or it does not end in time.
    pub fn wait(&mut self, name: &str) -> Result<ExitStatus, Error> {
        let unknown = || Error::Unknown(name.to_owned());
        let actor = self.actors.iter_mut().find(|actor| actor.name == name);
        actor.ok_or_else(unknown)?.process.wait()
    }

    /// Switches a fault of a stand-in on; `fault` is its JSON.
    ///
    /// # Errors
    /// The stand-in does not take it.
    pub fn fault(&self, name: &str, fault: &str) -> Result<(), Error> {
        let call = Call::new(Method::Post, self.addr(name)?, "/fault", fault);
        match call.make()?.status {
            204 => Ok(()),
            status => Err(Error::Http(format!("{name} answers {status}"))),
        }
    }

    /// Runs of all targets that live, or of one; of one key if given.
    ///
    /// # Errors
    /// A target does not answer.
    pub fn executed(&mut self, name: Option<&str>, key: Option<&str>) -> Result<Executed, Error> {
        let mut all = Executed::default();
        for actor in &mut self.actors {
            let asked = name.is_none_or(|name| actor.name == name);
            if !asked || !matches!(actor.kind, Kind::Target { .. }) || !actor.process.runs()? {
                continue;
            }
            let call = Call::new(Method::Get, actor.addr, "/executed", "");
            let executed: Executed = parse(&call.make()?.body)?;
            all.runs.extend(executed.runs);
        }
        Ok(match key {
            Some(key) => all.of_key(key),
            None => all,
        })
    }

    /// Whether a process runs.
    ///
    /// # Errors
    /// There is no such process, or the operating system can't tell.
    pub fn runs(&mut self, name: &str) -> Result<bool, Error> {
        let unknown = || Error::Unknown(name.to_owned());
        let actor = self.actors.iter_mut().find(|actor| actor.name == name);
        Ok(actor.ok_or_else(unknown)?.process.runs()?)
    }

    /// Number of targets that run.
    ///
    /// # Errors
    /// The operating system can't tell.
    pub fn alive(&mut self) -> Result<usize, Error> {
        let mut count = 0;
        for actor in &mut self.actors {
            let is_target = matches!(actor.kind, Kind::Target { .. });
            count += usize::from(is_target && actor.process.runs()?);
        }
        Ok(count)
    }

    /// Changes the state of an instance in the platform's list; `None` takes
    /// it off.
    ///
    /// # Errors
    /// The store does not take the list.
    pub fn relist(&mut self, name: &str, state: Option<State>) -> Result<(), Error> {
        self.listed.retain(|i| i.name != name || state.is_some());
        let found = self.listed.iter_mut().find(|i| i.name == name);
        if let (Some(instance), Some(state)) = (found, state) {
            instance.state = state;
        }
        self.send_list()
    }

    /// A subcommand of the product, to be run to its end.
    #[must_use]
    pub fn command(&self, args: Vec<String>) -> process::Subcommand {
        let mut all = vec!["auburnrouter".to_owned()];
        all.extend(args);
        process::Subcommand {
            actor: self.program.clone(),
            args: all,
        }
    }

    fn start_standin(&self, name: &str, args: &[String]) -> Result<(SocketAddr, Process), Error> {
        let (process, said) = Process::start_noted(&self.program, name, args, self.errors()?)?;
        let addr = said.strip_prefix("ready ").and_then(|a| a.parse().ok());
        match addr {
            Some(addr) => Ok((addr, process)),
            None => Err(Error::NotReady {
                name: name.to_owned(),
                said,
            }),
        }
    }

    fn add(&mut self, name: &str, addr: SocketAddr, kind: Kind, process: Process) {
        self.actors.retain(|actor| actor.name != name);
        let name = name.to_owned();
        self.actors.push(Actor {
            name,
            addr,
            kind,
            process,
        });
    }

    fn find(&self, name: &str) -> Result<&Actor, Error> {
        let found = self.actors.iter().find(|actor| actor.name == name);
        found.ok_or_else(|| Error::Unknown(name.to_owned()))
    }

    /// Peers' addresses of the entry instances started so far, but `name`.
    fn seeds(&self, name: &str) -> Vec<SocketAddr> {
        let others = self.actors.iter().filter(|actor| actor.name != name);
        let peers = others.filter_map(|actor| match &actor.kind {
            Kind::Entry(listens) => Some(listens.peers),
            Kind::Store | Kind::Target { .. } => None,
        });
        peers.collect()
    }

    fn list(&mut self, instance: Instance) -> Result<(), Error> {
        self.listed.retain(|i| i.name != instance.name);
        self.listed.push(instance);
        self.send_list()
    }

    fn send_list(&self) -> Result<(), Error> {
        let list = Instances {
            instances: self.listed.clone(),
        };
        let body = serde_json::to_string(&list).expect("plain data serialises");
        let call = Call::new(Method::Put, self.addr(STORE)?, "/instances", &body);
        match call.make()?.status {
            204 => Ok(()),
            status => Err(Error::Http(format!("the store answers {status}"))),
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.actors.clear();
        // Kept after a failure, for the logs in it.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|e| Error::Http(e.to_string()))
}
