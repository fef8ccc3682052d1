//! The processes of a deployment, as parts of one.

use std::ffi::OsString;
use std::fs;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process;
use std::thread;
use std::time::{Duration, Instant};

use auburnrouter::daemon;
use standin::{store, target};
use thiserror::Error;
use wire::instance;

/// Where deployments stand, from the workspace's root.
const DEPLOY: &str = "deploy";

/// Targets that a site has of each service.
const TARGETS: usize = 2;

/// Longest wait for the configuration to be in force everywhere.
const START_TIME: Duration = Duration::from_secs(15);

/// Time between looks at whether it is.
const START_POLL: Duration = Duration::from_millis(20);

/// Why the demonstration can't start.
#[derive(Debug, Error)]
pub enum Error {
    /// A file of the deployment can't be read.
    #[error("can't read {0}: {1}; run the demonstration from the workspace's root")]
    File(String, io::Error),
    /// Input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The deployment's files are wrong.
    #[error("the deployment's files are wrong: {0}")]
    Plan(String),
    /// An entry instance can't start.
    #[error(transparent)]
    Daemon(#[from] daemon::Error),
    /// The configuration was not accepted.
    #[error("the configuration was not accepted; see above")]
    Apply,
}

/// All that runs.
pub struct Fleet {
    store: store::Store,
    targets: Vec<target::Target>,
    entries: Vec<daemon::Running>,
    folder: PathBuf,
    secret: PathBuf,
    service: String,
}

impl Fleet {
    /// Starts a deployment by its name.
    pub fn start(deployment: &str) -> Result<Self, Error> {
        let folder = Path::new(DEPLOY).join(deployment);
        let base = folder.join("base.jsonc");
        let text = fs::read_to_string(&base);
        let text = text.map_err(|e| Error::File(base.display().to_string(), e))?;
        let plan = plan(&text)?;
        let temp = env_folder()?;
        let secret = write_secret(&temp)?;
        let store = store::Store::start(store::Config {
            listen: ([127, 0, 0, 1], 0).into(),
            lag: Duration::from_millis(500),
        })?;
        let targets = start_targets(&plan)?;
        let instances = targets.iter().map(target::Target::instance).collect();
        store.list(instance::Instances { instances });
        let mut fleet = Self {
            store,
            targets,
            entries: Vec::new(),
            folder: temp,
            secret,
            service: plan.services[0].name.clone(),
        };
        for entry in &plan.entries {
            fleet.start_entry(entry)?;
        }
        fleet.apply(&folder)?;
        fleet.await_ready();
        Ok(fleet)
    }

    /// Prints what to try.
    pub fn print_commands(&self) {
        let first = self.entries[0].addresses();
        let service = &self.service;
        println!(
            "{} entry instances, {} targets, one store",
            self.entries.len(),
            self.targets.len()
        );
        println!("\n# which entry instances to use, and a request to one:");
        println!(
            "curl -s 'http://{}/lookup?service={service}'",
            first.callers
        );
        println!("curl -si 'http://{}/s/{service}/sheets/1'", first.callers);
        println!("\n# as an operator:");
        let asked = format!(
            "--operators {} --secret-file {}",
            first.operators,
            self.secret.display()
        );
        println!("cargo run -q -p auburnrouter -- status {asked}");
        println!("cargo run -q -p auburnrouter -- show {asked}");
    }

    /// Ends everything.
    pub fn stop(self) {
        let stops = self.entries.into_iter().map(|e| thread::spawn(|| e.stop()));
        for stop in stops.collect::<Vec<_>>() {
            // A panic there has been printed; the rest is still to be ended.
            let _ = stop.join();
        }
        smol::block_on(async {
            for target in self.targets {
                target.stop().await;
            }
            self.store.stop().await;
        });
        let _ = fs::remove_dir_all(&self.folder);
    }

    fn start_entry(&mut self, entry: &Entry) -> Result<(), Error> {
        let seeds: Vec<_> = self.entries.iter().map(|e| e.addresses().peers).collect();
        let any = "127.0.0.1:0";
        let text = serde_json::json!({
            "name": entry.name,
            "domain": entry.domain,
            "listen": { "callers": any, "peers": any, "operators": any },
            "seeds": seeds,
            "store": [self.store.addr()],
            "secret_file": self.secret,
            "limits": { "threads": 2 },
        });
        let settings = settings::Settings::parse(&entry.name, &text.to_string());
        let settings = settings.map_err(|f| Error::Plan(f[0].to_string()))?;
        let running = daemon::Bound::new(settings, None)?.start()?;
        self.entries.push(running);
        Ok(())
    }

    fn apply(&self, folder: &Path) -> Result<(), Error> {
        let operators = self.entries[0].addresses().operators.to_string();
        let args: [OsString; 6] = [
            "apply".into(),
            folder.into(),
            "--operators".into(),
            operators.into(),
            "--secret-file".into(),
            self.secret.as_os_str().into(),
        ];
        let exit = auburnrouter::run(args);
        if exit == process::ExitCode::SUCCESS {
            Ok(())
        } else {
            Err(Error::Apply)
        }
    }

    /// Waits until every entry instance answers look-ups.
    fn await_ready(&self) {
        let until = Instant::now() + START_TIME;
        while Instant::now() < until && !self.entries.iter().all(daemon::Running::is_ready) {
            thread::sleep(START_POLL);
        }
    }
}

/// An entry instance of a deployment.
struct Entry {
    name: String,
    domain: String,
}

/// A service of a deployment.
struct Service {
    name: String,
    sites: Vec<String>,
}

/// What a deployment's base file names.
struct Plan {
    entries: Vec<Entry>,
    services: Vec<Service>,
    domains: Vec<(String, String)>,
}

impl Plan {
    fn domain(&self, site: &str) -> &str {
        let found = self.domains.iter().find(|(name, _)| name == site);
        found.map_or("", |(_, domain)| domain)
    }
}

fn plan(text: &str) -> Result<Plan, Error> {
    let plan = intent::plan::Plan::parse("base", text);
    let plan = plan.map_err(|faults| Error::Plan(faults[0].to_string()))?;
    let domain = |d| plan.domains[d].name.to_string();
    let entries = plan.entries.values().map(|e| Entry {
        name: e.name.to_string(),
        domain: domain(e.domain),
    });
    let services = plan.services.values().map(|s| Service {
        name: s.name.to_string(),
        sites: s
            .sites
            .iter()
            .map(|&s| plan.sites[s].name.to_string())
            .collect(),
    });
    let domains = plan
        .sites
        .values()
        .map(|s| (s.name.to_string(), domain(s.domain)));
    let mut services: Vec<Service> = services.collect();
    let idempotent = |s: &Service| {
        let service = plan.service(&s.name);
        service.is_some_and(|s| plan.services[s].is_idempotent)
    };
    services.sort_by_key(|s| (!idempotent(s), s.name == "archive"));
    Ok(Plan {
        entries: entries.collect(),
        services,
        domains: domains.collect(),
    })
}

fn start_targets(plan: &Plan) -> Result<Vec<target::Target>, Error> {
    let mut targets = Vec::new();
    for service in &plan.services {
        for site in &service.sites {
            for i in 0..TARGETS {
                let name = format!("{}-{site}-{i}", service.name);
                let domain = plan.domain(site);
                let config = target::Config::new(&name, &service.name, site, domain);
                targets.push(target::Target::start(config)?);
            }
        }
    }
    Ok(targets)
}

fn env_folder() -> io::Result<PathBuf> {
    let name = format!("auburnrouter-demo-{:08x}", fastrand::u32(..));
    let folder = std::env::temp_dir().join(name);
    fs::create_dir(&folder)?;
    Ok(folder)
}

fn write_secret(folder: &Path) -> io::Result<PathBuf> {
    let path = folder.join("secret");
    fs::write(&path, format!("{:032x}", fastrand::u128(..)))?;
    fs::set_permissions(&path, fs::Permissions::from_mode(0o600))?;
    Ok(path)
}
