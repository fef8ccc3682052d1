//! Harness that runs entry instances as processes against stand-ins of the platform's
//! store and targets.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform_standin::store::Route;
use platform_standin::{Store, Target};
use rustix::net::{AddressFamily, SocketType};
use rustix::process::{Signal, WaitId, WaitIdOptions};

/// Longest time that a test waits for a condition or an answer.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub const MS: Duration = Duration::from_millis(1);

/// Host of the callers' requests.
pub const HOST: &str = "a.example";

/// Default routes of the tests: look-ups, which are idempotent, and payments, which
/// are not.
pub const ROUTES: [Route<'static>; 2] = [
    Route {
        prefix: "/view/",
        service: "sheets",
        is_idempotent: true,
    },
    Route {
        prefix: "/pay/",
        service: "sheets",
        is_idempotent: false,
    },
];

/// Entry instance in a child process, which is killed on drop.
pub struct Entry {
    child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
    pub lines: Arc<Mutex<Vec<String>>>,
    file: PathBuf,
}

impl Drop for Entry {
    fn drop(&mut self) {
        // Fails if the process has ended already, as some tests expect.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}

impl Entry {
    /// Starts an instance that may retry each request at once, and collects its log lines.
    pub fn start(name: &str, domain: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let settings = platform_standin::settings(name, domain, store, seeds);
        Self::start_with(&with_retries(&settings, 2.0, 58.0))
    }

    /// Starts an instance with the given settings and collects its log lines.
    pub fn start_with(settings: &str) -> Self {
        let (entry, out) = Self::run(settings);
        let lines = Arc::clone(&entry.lines);
        std::thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                lines.lock().expect("the lock is not poisoned").push(line);
            }
        });
        entry
    }

    /// Starts an instance and returns its output unread, but for the first line, which
    /// names the addresses it listens on.
    pub fn start_unread(
        name: &str,
        domain: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> (Self, BufReader<ChildStdout>) {
        Self::run(&platform_standin::settings(name, domain, store, seeds))
    }

    fn run(settings: &str) -> (Self, BufReader<ChildStdout>) {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let file = format!("auburnrouter-direct-{}-{number}.jsonc", std::process::id());
        let file = std::env::temp_dir().join(file);
        fs::write(&file, settings).expect("the temporary directory is writable");
        let mut child = Command::new(env!("CARGO_BIN_EXE_auburnrouter"))
            .args(["direct", "--settings-var", "TEST_SETTINGS"])
            .env("TEST_SETTINGS", &file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program is built");
        let mut out = BufReader::new(child.stdout.take().expect("stdout is piped"));
        let mut first = String::new();
        out.read_line(&mut first)
            .expect("the first line names the addresses");
        let first: serde_json::Value = serde_json::from_str(&first).expect("a line is JSON");
        let addr = |name: &str| {
            let text = first[name].as_str().unwrap_or_default();
            text.parse().expect("the line names all addresses")
        };
        let entry = Self {
            child,
            callers: addr("callers"),
            ready: addr("ready"),
            directory: addr("directory"),
            peers: addr("peers"),
            operators: addr("operators"),
            lines: Arc::default(),
            file,
        };
        (entry, out)
    }

    /// Memory limit in its settings, in bytes.
    pub fn memory_limit(&self) -> u64 {
        let text = fs::read_to_string(&self.file).expect("the settings are there");
        let settings = settings::direct::Settings::parse("settings", &text);
        settings.expect("the settings are valid").memory_mb << 20
    }

    /// Largest resident memory of the process so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        self.memory("VmHWM:")
    }

    /// Resident memory of the process, in bytes.
    pub fn resident_memory(&self) -> u64 {
        self.memory("VmRSS:")
    }

    fn memory(&self, name: &str) -> u64 {
        let file = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(file).expect("the process runs");
        let line = status.lines().find_map(|l| l.strip_prefix(name));
        let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.expect("the system tells the peak") << 10
    }

    pub fn signal(&self, signal: Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the process runs");
    }

    /// Stops the process and returns once all its threads have stopped, which is later than
    /// the signal is sent.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
        let pid = rustix::process::Pid::from_child(&self.child);
        let stopped = rustix::process::waitid(WaitId::Pid(pid), WaitIdOptions::STOPPED);
        assert!(stopped.expect("the child was started").is_some());
    }

    /// Whether the process has not ended yet.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the child was started")
            .is_none()
    }

    /// Waits until the process ends and returns its exit code.
    pub fn wait_exit(&mut self) -> Option<i32> {
        wait_until("the process ends", || !self.is_running());
        self.child.wait().expect("the child was started").code()
    }

    pub fn await_ready(&self) {
        wait_until("the instance is ready", || {
            send_raw(self.ready, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                .is_some_and(|a| a.status == 200)
        });
    }

    /// Sends a caller's request and returns the answer.
    pub fn send(&self, method: &str, path: &str, id: &str, body: &str) -> Answer {
        self.try_send(method, path, id, body)
            .expect("the instance answers")
    }

    /// Sends a caller's request; `None` if the connection ends without an answer.
    pub fn try_send(&self, method: &str, path: &str, id: &str, body: &str) -> Option<Answer> {
        send_raw(self.callers, &request(method, path, id, body))
    }

    /// Metrics as text; empty if there is no answer.
    pub fn metrics(&self) -> String {
        let found = send_raw(self.operators, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
        found.map(|a| a.body).unwrap_or_default()
    }

    /// State as the operators' dump gives it; empty if there is no answer.
    pub fn dump(&self) -> String {
        let found = send_raw(self.operators, "GET /dump HTTP/1.1\r\nHost: x\r\n\r\n");
        found.map(|a| a.body).unwrap_or_default()
    }
}

/// Settings with another bound on retries: `ratio` for each request, and `slack` besides.
pub fn with_retries(settings: &str, ratio: f64, slack: f64) -> String {
    let settings = with_bound(settings, ("retry_ratio", ratio));
    with_bound(&settings, ("retry_slack", slack))
}

/// Settings with this bound, by its name in the settings.
pub fn with_bound(settings: &str, (name, value): (&str, f64)) -> String {
    let mut settings: serde_json::Value = serde_json::from_str(settings).expect("it is JSON");
    settings["bounds"][name] = value.into();
    settings.to_string()
}

pub fn request(method: &str, path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nAffinity-Key: 7\r\nDeadline-Ms: 2500\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Answer as a caller receives it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|h| h.0 == name);
        found.map(|h| h.1.as_str())
    }
}

/// Sends raw text on a new connection and reads one answer.
pub fn send_raw(addr: SocketAddr, text: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_answer(&mut stream)
}

/// Opens a connection from the address of the loopback interface that ends in `host`.
pub fn connect_from(host: u8, to: SocketAddr) -> Option<TcpStream> {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None);
    let socket = socket.expect("a socket is free");
    let from = SocketAddr::from((Ipv4Addr::new(127, 0, 0, host), 0));
    rustix::net::bind(&socket, &from).expect("the address is of the loopback interface");
    rustix::net::connect(&socket, &to).ok()?;
    Some(TcpStream::from(socket))
}

/// Reads one answer; `None` if the connection ends or times out before it is complete.
pub fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.iter().find(|h| h.0 == "content-length");
    let length = length.and_then(|h| h.1.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Answer {
        status,
        headers,
        body,
    })
}

/// Polls a condition until it holds; panics after [`WAIT_TIMEOUT`].
pub fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "in vain: {condition}");
        std::thread::yield_now();
    }
}

/// Waits for the first log line of an instance that contains `part`. Lines are written a
/// moment after the event they report. In vain, it shows the last ones.
pub fn wait_for_line(entry: &Entry, part: &str) -> String {
    const SHOWN: usize = 40;
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        let lines = entry.lines.lock().expect("the lock is not poisoned");
        if let Some(line) = lines.iter().find(|line| line.contains(part)) {
            return line.clone();
        }
        let last = &lines[lines.len().saturating_sub(SHOWN)..];
        assert!(Instant::now() < until, "in vain: {part}; last: {last:#?}");
        drop(lines);
        std::thread::yield_now();
    }
}

/// Configured store, targets of service `sheets`, and an instance that is ready and
/// knows all targets.
pub struct Harness {
    pub store: Store,
    pub targets: Vec<Target>,
    pub entry: Entry,
}

impl Harness {
    pub fn start(targets: usize) -> Self {
        Self::start_with(targets, Clone::clone)
    }

    /// Starts the instance with settings that `change` returns for the usual ones.
    pub fn start_with(targets: usize, change: impl FnOnce(&String) -> String) -> Self {
        let store = Store::start().expect("a port is free");
        store.configure(3, HOST, &ROUTES);
        let start = |i: usize| {
            let id = format!("t{i}");
            let target = Target::start(&id, "sheets", "near-a").expect("a port is free");
            target.register(&store, "ready", 1);
            target
        };
        let targets: Vec<Target> = (0..targets).map(start).collect();
        let settings = platform_standin::settings("near-1", "near-a", store.addr(), &[]);
        let entry = Entry::start_with(&change(&with_retries(&settings, 2.0, 58.0)));
        entry.await_ready();
        let harness = Self {
            store,
            targets,
            entry,
        };
        let last_id = format!("\"t{}\"", harness.targets.len() - 1);
        wait_until("all targets are known", || {
            harness.entry.dump().contains(&last_id)
        });
        harness
    }

    /// Requests that ran at any target.
    pub fn runs(&self) -> Vec<platform_standin::target::Run> {
        self.targets.iter().flat_map(Target::runs).collect()
    }
}
