//! Memory and processor time of real entry instances at the target's size of
//! configuration, over several numbers of client blocks.
//!
//! Two entry instances of one failure domain run as processes of their own: one
//! takes the operator's change, the other only follows. The rest of the fleet is
//! named in the configuration and doesn't run.

use std::fmt::Write;
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standin::store;
use wire::instance::Instances;

use crate::setup::Error;
use crate::shape::Shape;

const SIZES: [u32; 5] = [0, 1_000, 10_000, 100_000, 830_000];

/// The shape of the fleet that the configuration names.
const SHAPE: Shape = Shape::TARGET;

/// Time over which idle processes are watched.
const IDLE: Duration = Duration::from_secs(10);

/// Longest wait for a version to be in force.
const BOUND: Duration = Duration::from_mins(1);

/// Clock ticks a second, as Linux counts processor time.
const TICKS: f64 = 100.0;

/// An entry instance.
struct Entry {
    child: Child,
    settings: PathBuf,
}

/// What the kernel tells of a process.
struct Used {
    rss: f64,
    peak: f64,
    cpu: f64,
}

/// One number of client blocks, measured.
struct Bench {
    program: PathBuf,
    folder: PathBuf,
    store: store::Store,
    entries: Vec<Entry>,
}

/// Prints a row for each number of client blocks.
pub fn print() -> Result<(), Error> {
    println!("{SHAPE}");
    println!(
        "blocks | taker: RSS, peak MB | follower: RSS, peak MB | first apply s, in force s | \
         one block: apply s, in force s, cpu ms taker, follower | idle: cpu % follower"
    );
    for blocks in SIZES {
        let bench = Bench::start()?;
        bench.measure(blocks)?;
        bench.stop();
    }
    Ok(())
}

impl Bench {
    fn start() -> Result<Self, Error> {
        let folder = std::env::temp_dir().join(format!("load-memory-{:08x}", fastrand::u32(..)));
        fs::create_dir_all(folder.join("config/blocks"))?;
        let secret = folder.join("secret");
        fs::write(&secret, format!("{:032x}", fastrand::u128(..)))?;
        fs::set_permissions(&secret, fs::Permissions::from_mode(0o600))?;
        fs::write(folder.join("config/base.jsonc"), SHAPE.base().to_string())?;
        let store = store::Store::start(store::Config {
            listen: ([127, 0, 0, 1], 0).into(),
            lag: Duration::ZERO,
        })?;
        let instances = SHAPE.targets();
        store.list(Instances { instances });
        let program = std::env::current_exe()?.with_file_name("auburnrouter");
        let mut bench = Self {
            program,
            folder,
            store,
            entries: Vec::new(),
        };
        // The first two of domain 0.
        bench.start_entry("e0", &[])?;
        let seed = bench.entries[0].addr("peers")?;
        bench.start_entry("e69", &[seed])?;
        Ok(bench)
    }

    fn start_entry(&mut self, name: &str, seeds: &[String]) -> Result<(), Error> {
        let any = "127.0.0.1:0";
        let settings = json!({
            "name": name,
            "domain": "d0",
            "listen": { "callers": any, "peers": any, "operators": any },
            "seeds": seeds,
            "store": [self.store.addr()],
            "secret_file": self.folder.join("secret"),
        });
        let file = self.folder.join(name);
        fs::write(&file, settings.to_string())?;
        let started = Command::new(&self.program)
            .args(["entry", "--settings"])
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn();
        let missing = |e| Error::Refused(format!("{e}; build the program: -p auburnrouter"));
        let mut child = started.map_err(missing)?;
        let out = child.stdout.take().ok_or(Error::Late)?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let settings = file.with_extension("ready");
        fs::write(&settings, line)?;
        self.entries.push(Entry { child, settings });
        Ok(())
    }

    fn measure(&self, blocks: u32) -> Result<(), Error> {
        let (taker, follower) = (&self.entries[0], &self.entries[1]);
        let first = self.change(blocks, 0, 1)?;
        let mut before = [taker.used()?, follower.used()?];
        let one = self.change(blocks, 1, 2)?;
        let after = [taker.used()?, follower.used()?];
        thread::sleep(IDLE);
        let later = follower.used()?;
        for (used, now) in before.iter_mut().zip(&after) {
            used.cpu = (now.cpu - used.cpu) * 1e3;
        }
        println!(
            "{blocks:>7} | {:>5.1} {:>5.1} | {:>5.1} {:>5.1} | {:.2} {:.2} | {:.2} {:.2} {:.0} {:.0} | {:.2}",
            after[0].rss,
            after[0].peak,
            later.rss,
            later.peak,
            first.0,
            first.1,
            one.0,
            one.1,
            before[0].cpu,
            before[1].cpu,
            (later.cpu - after[1].cpu) / IDLE.as_secs_f64() * 100.0,
        );
        Ok(())
    }

    /// Applies, and waits for the version at the follower; seconds of both,
    /// counted from the start.
    fn change(&self, blocks: u32, moved: u32, version: u64) -> Result<(f64, f64), Error> {
        if blocks > 0 {
            fs::write(
                self.folder.join("config/blocks/all.txt"),
                lines(blocks, moved),
            )?;
        }
        let deadline = 2000 + moved;
        let mut base = SHAPE.base();
        base["services"]["x0"]["deadline_ms"] = json!(deadline);
        fs::write(self.folder.join("config/base.jsonc"), base.to_string())?;
        let begin = Instant::now();
        let config = self.folder.join("config");
        let made = self.run("apply", &config.display().to_string(), &self.entries[0])?;
        if !made.status.success() {
            return Err(Error::Refused(String::from_utf8_lossy(&made.stdout).into()));
        }
        let applied = begin.elapsed().as_secs_f64();
        let wanted = format!("\"version\":{version},\"entries\"");
        while begin.elapsed() < BOUND {
            let status = self.run("status", "--json", &self.entries[1])?;
            if String::from_utf8_lossy(&status.stdout).contains(&wanted) {
                return Ok((applied, begin.elapsed().as_secs_f64()));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(Error::Late)
    }

    fn run(&self, command: &str, arg: &str, at: &Entry) -> Result<Output, Error> {
        let run = Command::new(&self.program)
            .args([command, arg, "--operators", &at.addr("operators")?])
            .arg("--secret-file")
            .arg(self.folder.join("secret"))
            .output();
        Ok(run?)
    }

    fn stop(mut self) {
        for entry in &mut self.entries {
            // Both fail only if it has ended already.
            let _ = entry.child.kill();
            let _ = entry.child.wait();
        }
        smol::block_on(self.store.stop());
        // Best effort: the folder lies in the system's temporary place.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Entry {
    /// One of its addresses, from its ready line.
    fn addr(&self, which: &str) -> Result<String, Error> {
        let line = fs::read_to_string(&self.settings)?;
        let line: Value = serde_json::from_str(&line).map_err(io::Error::other)?;
        let addr = line["ready"][which].as_str();
        addr.map(str::to_owned).ok_or(Error::Late)
    }

    fn used(&self) -> Result<Used, Error> {
        let folder = Path::new("/proc").join(self.child.id().to_string());
        let status = fs::read_to_string(folder.join("status"))?;
        let stat = fs::read_to_string(folder.join("stat"))?;
        let ticks = stat.rsplit(')').next().unwrap_or_default();
        let ticks = ticks.split_whitespace().skip(11).take(2);
        let ticks: f64 = ticks.filter_map(|t| t.parse::<f64>().ok()).sum();
        Ok(Used {
            rss: megabytes(&status, "VmRSS:"),
            peak: megabytes(&status, "VmHWM:"),
            cpu: ticks / TICKS,
        })
    }
}

fn megabytes(status: &str, name: &str) -> f64 {
    let line = status.lines().find(|line| line.starts_with(name));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: f64 = number.and_then(|n| n.parse().ok()).unwrap_or(0.0);
    kilobytes / 1024.0
}

/// Blocks of 4,096 addresses; the first one's region is moved on.
fn lines(blocks: u32, moved: u32) -> String {
    let mut text = String::new();
    let regions = u32::try_from(SHAPE.regions).unwrap_or(u32::MAX);
    for i in 0..blocks {
        let addr = std::net::Ipv4Addr::from(i << 12);
        let region = if i == 0 { moved } else { i % regions };
        let _ = writeln!(text, "{addr}/20 r{region}");
    }
    text
}
