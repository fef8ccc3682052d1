//! Entry instances: the project's own program, started with the command of the deploy
//! file, with settings like those of a small deployment.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http;

/// Ends a process with the one that has started it, however that one ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: std::ffi::c_ulong = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Name of the variable that holds the path of the settings.
const VARIABLE: &str = "AUBURNROUTER_NODE_FILE";

/// Ports to choose from. The system gives none of these to connections, so that they stay
/// free while a process is started, or started again.
const PORTS: std::ops::Range<u16> = 12_000..30_000;

/// Addresses that stay the same when the process is started again.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
    pub heartbeats: SocketAddr,
    pub operators: SocketAddr,
}

impl Ports {
    pub fn free() -> Self {
        Self {
            callers: free(),
            ready: free(),
            directory: free(),
            peers: free(),
            heartbeats: free(),
            operators: free(),
        }
    }
}

/// An address on which nothing listens; another one at each call.
fn free() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(PORTS.end - PORTS.start);
    let first = std::process::id().wrapping_mul(97) % count;
    loop {
        let turn = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(turn < count, "no port is free");
        let port = PORTS.start + u16::try_from((first + turn) % count).unwrap_or_default();
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// What differs between instances.
#[derive(Clone, Debug)]
pub struct Plan {
    pub name: String,
    pub domain: String,
    pub region: String,
    pub ports: Ports,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub memory_mb: u64,
    pub max_fds: u64,
}

/// A running instance; its process ends when it is dropped.
pub struct Instance {
    pub plan: Plan,
    pub child: Child,
    settings: PathBuf,
}

impl Plan {
    /// The settings as the deploy file's template gives them for a small deployment.
    fn settings(&self) -> String {
        let p = self.ports;
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("\"{s}\"")).collect();
        format!(
            r#"{{
  "name": "{}", "domain": "{}", "region": "{}",
  "domains": {{"seq-a":"seq","cq-a":"cq","fnq-a":"fnq"}},
  "listen": {{ "callers": "{}", "ready": "{}", "directory": "{}", "peers": "{}", "beats": "{}", "operators": "{}" }},
  "store": "{}", "seeds": [{}],
  "memory_mb": {}, "descriptors": {},
  "processor": {{ "share": 0.2, "cores": 1 }}, "link_mbps": 1000.0,
  "bounds": {{
    "contact_s": 4, "grace_s": 6, "lifetime_s": 5,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58,
    "cold_factor": 1.5, "cold_slack": 5,
    "limit_window_s": 4, "limit_factor": 1.5, "limit_slack": 5,
    "drain_s": 2.5, "evacuate_s": 5, "backoff_max_s": 300, "config_s": 2.5, "shift": 0.15
  }}
}}"#,
            self.name,
            self.domain,
            self.region,
            p.callers,
            p.ready,
            p.directory,
            p.peers,
            p.heartbeats,
            p.operators,
            self.store,
            seeds.join(","),
            self.memory_mb,
            self.max_fds
        )
    }

    /// Starts the process. `folder` is for its settings and its log.
    pub fn start(&self, folder: &Path) -> Instance {
        let settings = folder.join(format!("{}.settings", self.name));
        fs::write(&settings, self.settings()).expect("the folder is writable");
        let log = folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("the folder is writable");
        let words = command();
        let mut command = Command::new(&words[0]);
        // SAFETY: the call is safe between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(&words[1..])
            .env(VARIABLE, &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor is free"))
            .stderr(log)
            .spawn()
            .expect("the deploy file's build was run");
        Instance {
            plan: self.clone(),
            child,
            settings,
        }
    }
}

/// The words of `run` in the deploy file.
fn command() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("run it in the repository");
    let line = text.lines().find_map(|l| l.strip_prefix("run = "));
    let words = line.expect("a role has a command").trim_matches('"');
    words.split_whitespace().map(str::to_owned).collect()
}

impl Instance {
    /// Waits until the instance says that it is ready.
    pub fn await_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if is_ready(self.plan.ports.ready) == Some(true) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(30));
        }
        false
    }

    /// Resident memory in bytes; `None` if the process has ended.
    pub fn resident(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kilobytes << 10)
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Asks for readiness, as the platform does each second.
pub fn is_ready(addr: SocketAddr) -> Option<bool> {
    use std::io::Write;
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let call = b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    stream.write_all(call).ok()?;
    let answer = http::read_head(&mut std::io::BufReader::new(stream)).ok()??;
    Some(answer.status() == 200)
}
