//! The product on its users' platform, as parts of one process: the platform's
//! store, targets, and an entry instance in each of three failure domains.

use std::io;
use std::thread;
use std::time::Duration;

use auburnrouter::direct::{Failure, Instance};
use platform_standin::store::{Route, Team};
use platform_standin::target::Behavior;
use platform_standin::{Store, Target};
use settings::direct::{Listen, Settings};
use thiserror::Error;

const HOST: &str = "sheets.example";

const DOMAINS: [&str; 3] = ["near-a", "near-b", "far-a"];

/// Targets of each service in each failure domain.
const TARGETS: usize = 2;

/// What a target's work takes.
const WORK: Duration = Duration::from_millis(50);

const ROUTES: [Route<'static>; 2] = [
    Route {
        prefix: "/view/",
        service: "sheets",
        is_idempotent: true,
    },
    Route {
        prefix: "/lodge/",
        service: "lodgement",
        is_idempotent: false,
    },
];

/// A team without a quota, and one that soon reaches it.
const TEAMS: [Team<'static>; 2] = [
    Team {
        name: "masons",
        keys: &["masons-key"],
        rate: 0.0,
        home_regions: &[],
    },
    Team {
        name: "office",
        keys: &["office-key"],
        rate: 1.0,
        home_regions: &[],
    },
];

/// Why the demonstration can't start.
#[derive(Debug, Error)]
pub enum Error {
    /// No port or thread is to be had.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// An instance can't start.
    #[error(transparent)]
    Instance(#[from] Failure),
    /// The settings are wrong.
    #[error("the demonstration's settings are wrong: {0}; report it")]
    Settings(String),
}

/// One entry instance.
struct Entry {
    name: String,
    listen: Listen,
    stop: async_channel::Sender<()>,
    thread: thread::JoinHandle<Result<(), Failure>>,
}

/// All that runs.
pub struct Platform {
    store: Store,
    entries: Vec<Entry>,
}

impl Platform {
    /// Starts everything.
    pub fn start() -> Result<Self, Error> {
        let store = Store::start()?;
        store.configure_teams(1, HOST, &ROUTES, &TEAMS);
        for domain in DOMAINS {
            for route in &ROUTES {
                for i in 0..TARGETS {
                    let id = format!("{}-{domain}-{i}", route.service);
                    let target = Target::start(&id, route.service, domain)?;
                    target.set(Behavior::Normal, WORK);
                    target.register(&store, "ready", 1);
                }
            }
        }
        let entries: Result<Vec<Entry>, Error> = DOMAINS.iter().map(|d| entry(d, &store)).collect();
        Ok(Self {
            entries: entries?,
            store,
        })
    }

    /// Prints commands to try.
    pub fn print_commands(&self) {
        println!(
            "A platform's store on {}, and entry instances:",
            self.store.addr()
        );
        for entry in &self.entries {
            let listen = &entry.listen;
            println!("\n{}", entry.name);
            let ask = format!("curl -si -H 'Host: {HOST}' -H 'Request-Id: 1'");
            let view = format!("http://{}/view/7", listen.callers);
            println!("  {ask} -H 'Authorization: Bearer masons-key' {view}   # 200");
            println!("  {ask} {view}   # 401: no team's key");
            println!(
                "  for i in $(seq 30); do {ask} -H 'Authorization: Bearer office-key' {view} | head -n 1; done   # some 429: over its quota"
            );
            println!(
                "  curl 'http://{}/v1/resolve?name={HOST}&region=near&zone=near-a'",
                listen.directory
            );
            println!("  curl http://{}/dump", listen.operators);
            println!("  curl http://{}/metrics", listen.operators);
        }
    }

    /// Stops the instances gracefully and joins them.
    pub fn stop(self) {
        for entry in &self.entries {
            entry.stop.close();
        }
        for entry in self.entries {
            if !matches!(entry.thread.join(), Ok(Ok(()))) {
                eprintln!("demo: {} did not end well", entry.name);
            }
        }
    }
}

fn entry(domain: &str, store: &Store) -> Result<Entry, Error> {
    let name = format!("{domain}-1");
    let text = platform_standin::settings(&name, domain, store.addr(), &[]);
    let settings = Settings::parse("demo", &text).map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Error::Settings(faults.join(", "))
    })?;
    let instance = Instance::bind(settings)?;
    let listen = instance.listen();
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let thread = thread::Builder::new().name(name.clone()).spawn(move || {
        instance.run(async move {
            // Nothing is ever sent; an error says that it is to stop.
            let _ = stopped.recv().await;
        })
    })?;
    Ok(Entry {
        name,
        listen,
        stop,
        thread,
    })
}
