//! A fleet of entry instances in one process: how long a change takes to be in
//! force at each, and what the instances say and ask meanwhile.
//!
//! Each instance has its own threads, sockets and connections, as a process of
//! its own would; only the processor time can't be told apart.

use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use auburnrouter::daemon;
use hdrhistogram::Histogram;
use serde_json::json;
use standin::store;

use crate::setup::Error;

/// Sizes measured.
const SIZES: [usize; 4] = [7, 20, 40, 80];

/// Failure domains, two a region.
const DOMAINS: usize = 6;

/// Changes made at each size.
const CHANGES: u64 = 30;

/// Time over which an idle fleet is watched.
const IDLE: Duration = Duration::from_secs(10);

/// Longest wait for a version to be in force everywhere.
const BOUND: Duration = Duration::from_mins(1);

/// Clock ticks a second, as Linux counts processor time.
const TICKS: f64 = 100.0;

/// Longest time told apart, in microseconds.
const LONGEST: u64 = 60_000_000;

/// The instances of one size.
struct Fleet {
    folder: PathBuf,
    store: store::Store,
    entries: Vec<daemon::Running>,
}

/// What was counted at one time.
struct Counts {
    at: Instant,
    bytes: u64,
    messages: u64,
    calls: u64,
    /// Processor time of the whole process, in seconds.
    cpu: f64,
}

/// Prints a line for each size.
pub fn print() -> Result<(), Error> {
    println!(
        "one process, {DOMAINS} failure domains, {CHANGES} changes a size, {} s idle",
        IDLE.as_secs()
    );
    println!(
        "instances  in force p50 ms  p99 ms  max ms  peer B/s each  messages/s each  store calls/s in all  % of a core each, idle"
    );
    for size in SIZES {
        let fleet = Fleet::start(size)?;
        let line = fleet.measure(size)?;
        fleet.stop();
        println!("{line}");
    }
    Ok(())
}

impl Fleet {
    fn start(size: usize) -> Result<Self, Error> {
        let name = format!("auburnrouter-changes-{:08x}", fastrand::u32(..));
        let folder = std::env::temp_dir().join(name);
        fs::create_dir(&folder)?;
        let secret = folder.join("secret");
        fs::write(&secret, format!("{:032x}", fastrand::u128(..)))?;
        fs::set_permissions(&secret, fs::Permissions::from_mode(0o600))?;
        let store = store::Store::start(store::Config {
            listen: ([127, 0, 0, 1], 0).into(),
            lag: Duration::ZERO,
        })?;
        let mut fleet = Self {
            folder,
            store,
            entries: Vec::with_capacity(size),
        };
        for i in 0..size {
            let entry = fleet.start_entry(i, &secret)?;
            fleet.entries.push(entry);
        }
        Ok(fleet)
    }

    fn start_entry(&self, i: usize, secret: &Path) -> Result<daemon::Running, Error> {
        let seeds: Vec<SocketAddr> = self
            .entries
            .iter()
            .take(DOMAINS)
            .map(|e| e.addresses().peers)
            .collect();
        let any = "127.0.0.1:0";
        let text = json!({
            "name": entry_name(i),
            "domain": format!("d{}", i % DOMAINS),
            "listen": { "callers": any, "peers": any, "operators": any },
            "seeds": seeds,
            "store": [self.store.addr()],
            "secret_file": secret,
            "limits": { "threads": 1 },
        });
        let settings = settings::Settings::parse("fleet", &text.to_string());
        let settings = settings.map_err(|f| Error::Refused(f[0].to_string()))?;
        Ok(daemon::Bound::new(settings, None)?.start()?)
    }

    fn measure(&self, size: usize) -> Result<String, Error> {
        self.change(size, 1)?;
        self.await_all(|entry| entry.version() >= 1 && entry.members() == size)?;
        let before = self.counts();
        thread::sleep(IDLE);
        let idle = self.counts();
        let mut times = Histogram::<u64>::new_with_max(LONGEST, 3).expect("the bounds are fixed");
        for version in 2..CHANGES + 2 {
            self.change(size, version)?;
            self.watch(version, &mut times)?;
        }
        let seconds = idle.at.duration_since(before.at).as_secs_f64();
        let each = |a: u64, b: u64| as_f64(b - a) / seconds / as_f64(size as u64);
        let millis = |micros: u64| as_f64(micros) / 1000.0;
        Ok(format!(
            "{size:>9} {:>16.1} {:>7.1} {:>7.1} {:>14.0} {:>16.1} {:>21.1} {:>26.3}",
            millis(times.value_at_quantile(0.5)),
            millis(times.value_at_quantile(0.99)),
            millis(times.max()),
            each(before.bytes, idle.bytes),
            each(before.messages, idle.messages),
            as_f64(idle.calls - before.calls) / seconds,
            (idle.cpu - before.cpu) * 100.0 / seconds / as_f64(size as u64),
        ))
    }

    /// Times from a change's acceptance until it is in force at each instance.
    fn watch(&self, version: u64, times: &mut Histogram<u64>) -> Result<(), Error> {
        let begin = Instant::now();
        let mut left: Vec<&daemon::Running> = self.entries.iter().collect();
        while !left.is_empty() {
            if begin.elapsed() > BOUND {
                return Err(Error::Late);
            }
            left.retain(|entry| {
                let behind = entry.version() < version;
                if !behind {
                    let micros = u64::try_from(begin.elapsed().as_micros()).unwrap_or(LONGEST);
                    times.saturating_record(micros);
                }
                behind
            });
            thread::sleep(Duration::from_micros(500));
        }
        Ok(())
    }

    fn await_all(&self, ready: impl Fn(&daemon::Running) -> bool) -> Result<(), Error> {
        let begin = Instant::now();
        while !self.entries.iter().all(&ready) {
            if begin.elapsed() > BOUND {
                return Err(Error::Late);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn counts(&self) -> Counts {
        let (bytes, messages) = self
            .entries
            .iter()
            .map(daemon::Running::peer_traffic)
            .fold((0, 0), |(bytes, messages), (b, m)| {
                (bytes + b, messages + m)
            });
        Counts {
            at: Instant::now(),
            bytes,
            messages,
            calls: self.store.stats().calls,
            cpu: processor_seconds(),
        }
    }

    /// Applies a base file that differs from the last one in a deadline.
    fn change(&self, size: usize, version: u64) -> Result<(), Error> {
        let base = self.folder.join("base.jsonc");
        fs::write(&base, base_file(size, version))?;
        let args: [OsString; 6] = [
            "apply".into(),
            base.into(),
            "--operators".into(),
            self.entries[0].addresses().operators.to_string().into(),
            "--secret-file".into(),
            self.folder.join("secret").into(),
        ];
        let quiet: [OsString; 3] = [
            "--json".into(),
            "--over".into(),
            (version - 1).to_string().into(),
        ];
        if auburnrouter::run(args.into_iter().chain(quiet)) == ExitCode::SUCCESS {
            Ok(())
        } else {
            Err(Error::Refused("see above".to_owned()))
        }
    }

    fn stop(self) {
        let stops = self.entries.into_iter().map(|e| thread::spawn(|| e.stop()));
        for stop in stops.collect::<Vec<_>>() {
            // A panic there has been printed; the rest is still to be ended.
            let _ = stop.join();
        }
        smol::block_on(self.store.stop());
        // Best effort: the folder lies in the system's temporary place.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// User and system time of this process; zero where the system doesn't tell.
fn processor_seconds() -> f64 {
    /// Place of the user time behind the process's name; system time follows.
    const USER: usize = 11;
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let rest = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let times = rest.split(' ').skip(USER).take(2);
    let ticks: u64 = times.filter_map(|t| t.parse::<u64>().ok()).sum();
    as_f64(ticks) / TICKS
}

fn entry_name(i: usize) -> String {
    format!("e{i:03}")
}

fn base_file(size: usize, version: u64) -> String {
    let domain = |d: usize| {
        let entries = (0..size).filter(|i| i % DOMAINS == d).map(entry_name);
        let entries: Vec<String> = entries.collect();
        (
            format!("d{d}"),
            json!({ "entries": entries, "sites": [format!("s{d}")] }),
        )
    };
    let region = |r: usize| {
        let domains: serde_json::Map<_, _> = (2 * r..2 * r + 2).map(domain).collect();
        (format!("r{r}"), json!({ "domains": domains }))
    };
    let regions: serde_json::Map<_, _> = (0..DOMAINS / 2).map(region).collect();
    let sites: Vec<String> = (0..DOMAINS).map(|d| format!("s{d}")).collect();
    let base = json!({
        "regions": regions,
        "classes": [ { "name": "urgent", "queue_percent": 100 } ],
        "services": { "stock": {
            "class": "urgent", "idempotent": true, "deadline_ms": 1000 + version, "sites": sites,
        } },
    });
    base.to_string()
}

fn as_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
