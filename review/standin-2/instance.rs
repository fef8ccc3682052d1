//! The project's own program, as the deploy file starts it.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::Failure;
use crate::http::{Connection, Message};
use crate::socket;
use std::io::Write;

/// Processes that were started, to be ended whatever happens.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Folder of the settings and logs.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes that were started, and removes the temporary folder.
pub fn kill_all() {
    let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER.lock().unwrap_or_else(PoisonError::into_inner).take() {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Where an instance stands, and the bounds of its deployment.
pub struct Plan<'a> {
    pub name: &'a str,
    pub domain: &'a str,
    pub region: &'a str,
    pub store: SocketAddr,
    pub grace_s: u32,
    /// Further bounds, as lines of the settings.
    pub further: &'a str,
}

/// Memory of an instance's process in megabytes.
pub const MEMORY_MB: u64 = 260;

/// A running instance.
#[derive(Clone)]
pub struct Instance {
    process: u32,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
}

fn free_tcp() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

fn folder() -> io::Result<PathBuf> {
    let mut folder = FOLDER.lock().unwrap();
    if let Some(path) = &*folder {
        return Ok(path.clone());
    }
    let path = std::env::temp_dir().join(format!("auburnrouter-review-2-{}", std::process::id()));
    fs::create_dir_all(&path)?;
    *folder = Some(path.clone());
    Ok(path)
}

impl Instance {
    pub fn start(program: &str, plan: &Plan<'_>) -> Result<Self, Failure> {
        let (held, addrs): (Vec<_>, Vec<_>) = (0..5)
            .map(|_| free_tcp())
            .collect::<io::Result<Vec<_>>>()?
            .into_iter()
            .unzip();
        let beats = UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
        drop(held);
        let settings = settings(plan, &addrs, beats);
        let file = folder()?.join(format!("{}.jsonc", plan.name));
        fs::write(&file, settings)?;
        let log = fs::File::create(folder()?.join(format!("{}.log", plan.name)))?;
        let child = Command::new(program)
            .args(["direct", "--settings-var", "AUBURNROUTER_NODE_FILE"])
            .env("AUBURNROUTER_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let process = child.id();
        CHILDREN.lock().unwrap().push(child);
        let instance = Self {
            process,
            callers: addrs[0],
            ready: addrs[1],
            directory: addrs[2],
        };
        instance.await_ready()?;
        Ok(instance)
    }

    fn await_ready(&self) -> Result<(), Failure> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let found = get(self.ready, "/v1/readiness");
            if found.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the instance did not become ready".into())
    }

    pub fn terminate(&self) {
        socket::signal(self.process, socket::SIGTERM);
    }

    /// Resident memory of the process in megabytes; 0 once it has ended.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or_default() / 1024
    }

    /// Ends the process at once, as the platform does with one that exceeds its memory.
    pub fn kill(&self) {
        socket::signal(self.process, socket::SIGKILL);
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut children = CHILDREN.lock().unwrap();
        let child = children.iter_mut().find(|c| c.id() == self.process);
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

/// One call that is answered at once.
pub fn get(to: SocketAddr, target: &str) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let mut connection = Connection::new(stream);
    let text = format!("GET {target} HTTP/1.1\r\nHost: a.example\r\n\r\n");
    connection.stream.write_all(text.as_bytes())?;
    let found = connection.read()?;
    found.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// The settings as the platform renders them from `deploy/direct.settings.jsonc`.
fn settings(plan: &Plan<'_>, addrs: &[SocketAddr], beats: SocketAddr) -> String {
    let Plan {
        name,
        domain,
        region,
        store,
        grace_s,
        further,
    } = plan;
    let [callers, ready, directory, peers, operators] = addrs else {
        return String::new();
    };
    format!(
        r#"{{
  "name": "{name}",
  "domain": "{domain}",
  "region": "{region}",
  "domains": {{"seq-a":"seq","cq-a":"cq","fnq-a":"fnq","seq-b":"seq","cq-b":"cq","fnq-b":"fnq"}},
  "listen": {{
    "callers": "{callers}",
    "ready": "{ready}",
    "directory": "{directory}",
    "peers": "{peers}",
    "beats": "{beats}",
    "operators": "{operators}"
  }},
  "store": "{store}",
  "value_bytes": 1048576,
  "seeds": ["{peers}"],
  "memory_mb": {MEMORY_MB},
  "descriptors": 4100,
  "processor": {{ "share": 0.2, "cores": 1 }},
  "link_mbps": 1000.0,
  "bounds": {{
    "contact_s": 4,
    "grace_s": {grace_s},
    "lifetime_s": 5,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 58,
    "cold_factor": 1.5,
    "cold_slack": 5,
    "limit_window_s": 4,
    "limit_factor": 1.5,
    "limit_slack": 5,
    "drain_s": 2.5,
    "evacuate_s": 5,
    "backoff_max_s": 300,
    "config_s": 2.5,
    {further}
    "shift": 0.15
  }}
}}
"#
    )
}
