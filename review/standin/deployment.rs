//! A small deployment: a store, servers and entry instances.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use crate::instance::{Instance, Plan, Ports};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Run, Runs, Server, Work};

/// Zones of the deployment with their regions.
pub const ZONES: [(&str, &str); 3] = [("seq-a", "seq"), ("cq-a", "cq"), ("fnq-a", "fnq")];

pub struct Deployment {
    pub store: Store,
    pub instances: Mutex<Vec<Instance>>,
    pub servers: Mutex<Vec<Server>>,
    runs: Runs,
    work: Work,
    folder: PathBuf,
}

impl Deployment {
    /// Starts a store with a configuration, and entry instances one in a zone.
    pub fn start(
        record: &Record,
        count: usize,
        memory_mb: u64,
        document: &str,
        work: &Work,
    ) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let store = Store::start();
        store.write("op/config", document);
        record.line("the configuration is acknowledged");
        let ports: Vec<Ports> = (0..count).map(|_| Ports::free()).collect();
        let seeds: Vec<SocketAddr> = ports.iter().map(|p| p.peers).collect();
        let plan = |(at, ports): (usize, &Ports)| Plan {
            name: format!("edge-{}-1", ZONES[at].0),
            domain: ZONES[at].0.to_owned(),
            region: ZONES[at].1.to_owned(),
            ports: *ports,
            store: store.addr,
            seeds: seeds.clone(),
            memory_mb,
            max_fds: 4100,
        };
        let plans = ports.iter().enumerate().map(plan);
        let instances = plans.map(|plan| plan.start(&folder)).collect();
        record.line(&format!("{count} entry instances are started"));
        Some(Self {
            store: store.clone(),
            instances: Mutex::new(instances),
            servers: Mutex::default(),
            runs: Runs::default(),
            work: Arc::clone(work),
            folder,
        })
    }

    /// Starts servers of a service, in turn in the zones, and lists them.
    pub fn serve(&self, service: &str, count: usize, record: &Record) {
        for number in 0..count {
            let (zone, _) = ZONES[number % ZONES.len()];
            let id = format!("i-{service}-{number}");
            let server = Server::start(&id, service, zone, &self.runs, &self.work);
            server.report(&self.store, "ready", 1);
            record.line(&format!("{id} at {} in {zone} is ready", server.addr));
            self.servers.lock().expect("no thread panics").push(server);
        }
    }

    pub fn await_ready(&self, record: &Record) -> bool {
        let instances = self.instances.lock().expect("no thread panics");
        let ready = instances.iter().all(Instance::await_ready);
        record.line(if ready {
            "all instances are ready"
        } else {
            "an instance is not ready"
        });
        ready
    }

    /// Addresses for callers.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let instances = self.instances.lock().expect("no thread panics");
        instances.iter().map(|i| i.plan.ports.callers).collect()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no thread panics").clone()
    }

    /// How often a request was run.
    pub fn runs_of(&self, id: &str) -> usize {
        self.runs().iter().filter(|run| run.id == id).count()
    }

    /// Whether no instance has ended.
    pub fn all_run(&self, record: &Record) -> bool {
        let mut instances = self.instances.lock().expect("no thread panics");
        let ended = instances
            .iter_mut()
            .filter_map(|i| i.has_ended().then(|| i.plan.name.clone()));
        let ended: Vec<String> = ended.collect();
        for name in &ended {
            record.line(&format!("{name} has ended by itself"));
        }
        ended.is_empty()
    }

    /// Writes down what the servers have run.
    pub fn note_runs(&self, record: &Record) {
        for run in self.runs() {
            record.line_at(
                run.at,
                &format!("{} ran {} ({})", run.server, run.id, run.path),
            );
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.instances.lock().expect("no thread panics").clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
