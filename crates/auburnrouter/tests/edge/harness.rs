//! Harness with one entry instance, a store and a target, and raw connections.

use std::ffi::OsString;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use auburnrouter::daemon;
use standin::{store, target};
use wire::instance;

pub const SECRET: &str = "edge-secret-0123456789";

/// Timeout of every wait in these tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const BASE_CONFIG: &str = r#"{
  "regions": { "r": { "domains": { "d": { "entries": ["a"], "sites": ["s"] } } } },
  "classes": [ { "name": "urgent", "queue_percent": 100 } ],
  "services": {
    "stock": { "class": "urgent", "idempotent": true, "deadline_ms": 2000, "sites": ["s"] },
    "pay": { "class": "urgent", "idempotent": false, "deadline_ms": 2000, "sites": ["s"] }
  }
}"#;

pub struct Harness {
    folder: PathBuf,
    store: store::Store,
    target: target::Target,
    entry: daemon::Running,
}

#[derive(Debug)]
pub struct Answer {
    pub status: String,
    pub body: String,
    headers: Vec<(String, String)>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    fn parse(text: &str) -> Self {
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
        let mut lines = head.lines();
        let status = lines.next().and_then(|l| l.split(' ').nth(1));
        let headers = lines.filter_map(|l| l.split_once(": "));
        Self {
            status: status.unwrap_or_default().to_owned(),
            headers: headers
                .map(|(n, v)| (n.to_ascii_lowercase(), v.to_owned()))
                .collect(),
            body: body.to_owned(),
        }
    }
}

impl Harness {
    /// Starts an instance and waits until a configuration is in force. `limits` is
    /// inserted into the settings.
    pub fn start(limits: &str) -> Self {
        let harness = Self::with_limits(limits);
        let base = harness.folder.join("base.jsonc");
        fs::write(&base, BASE_CONFIG).expect("the folder is writable");
        let args: [OsString; 6] = [
            "apply".into(),
            base.into(),
            "--operators".into(),
            harness.operators().to_string().into(),
            "--secret-file".into(),
            harness.folder.join("secret").into(),
        ];
        assert_eq!(auburnrouter::run(args), ExitCode::SUCCESS);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let ready = || {
            harness
                .send("GET /s/stock/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                .status
                == "200"
        };
        while !ready() {
            assert!(
                Instant::now() < deadline,
                "the entry instance isn't ready in time"
            );
        }
        harness
    }

    /// Starts an instance without a configuration.
    pub fn start_empty() -> Self {
        Self::with_limits("")
    }

    fn with_limits(limits: &str) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("auburnrouter-edge-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("the temporary directory is writable");
        let secret = folder.join("secret");
        fs::write(&secret, SECRET).expect("the folder is writable");
        fs::set_permissions(&secret, fs::Permissions::from_mode(0o600))
            .expect("the file belongs to this user");
        let store = store::Store::start(store::Config {
            listen: ([127, 0, 0, 1], 0).into(),
            lag: Duration::ZERO,
        });
        let store = store.expect("a port is free");
        let config = target::Config::new("t", "stock", "s", "d");
        let target = target::Target::start(config).expect("a port is free");
        let instances = vec![target.instance()];
        store.list(instance::Instances { instances });
        let loopback = "127.0.0.1:0";
        let settings = format!(
            r#"{{ "name": "a", "domain": "d",
                 "listen": {{ "callers": "{loopback}", "peers": "{loopback}", "operators": "{loopback}" }},
                 "seeds": [], "store": ["{}"], "secret_file": "{}", "limits": {{ {limits} }} }}"#,
            store.addr(),
            secret.display()
        );
        let settings = settings::Settings::parse("edge", &settings).expect("settings are valid");
        let bound = daemon::Bound::new(settings, None).expect("ports are free");
        let entry = bound.start().expect("threads start");
        Self {
            folder,
            store,
            target,
            entry,
        }
    }

    pub fn operators(&self) -> SocketAddr {
        self.entry.addresses().operators
    }

    pub fn peers(&self) -> SocketAddr {
        self.entry.addresses().peers
    }

    /// Number of requests that the target ran, without those that polled for
    /// readiness.
    pub fn executed(&self) -> usize {
        let runs = self.target.executed().runs;
        runs.iter().filter(|run| run.path != "/ready").count()
    }

    pub fn connect(&self) -> TcpStream {
        connect(self.entry.addresses().callers)
    }

    /// Sends text to the callers' listener and returns the answer.
    pub fn send(&self, text: &str) -> Answer {
        send_to(self.entry.addresses().callers, text)
    }

    /// Sends text and returns all bytes received until the connection is closed.
    pub fn send_and_drain(&self, text: &str) -> String {
        let mut stream = connect(self.entry.addresses().callers);
        stream
            .write_all(text.as_bytes())
            .expect("the connection is open");
        let mut bytes = Vec::new();
        // A reset counts as a close.
        let _ = stream.read_to_end(&mut bytes);
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Opens a connection that was served and stays open. Retries, since connections
    /// that have just closed may count against the limit for a moment.
    pub fn hold_connection(&self) -> TcpStream {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let mut stream = self.connect();
            let text = "GET /s/stock/ready HTTP/1.1\r\nHost: a\r\n\r\n";
            let sent = stream.write_all(text.as_bytes());
            if sent.is_ok() && Answer::parse(&read_answer(&mut stream)).status == "200" {
                return stream;
            }
            assert!(Instant::now() < deadline, "no connection was served");
        }
    }

    pub fn stop(self) {
        self.entry.stop();
        smol::block_on(async {
            self.target.stop().await;
            self.store.stop().await;
        });
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub fn send_to(addr: SocketAddr, text: &str) -> Answer {
    let mut stream = connect(addr);
    stream
        .write_all(text.as_bytes())
        .expect("the connection is open");
    Answer::parse(&read_answer(&mut stream))
}

/// Returns true if the other end closes the connection after these bytes.
pub fn is_closed_after(addr: SocketAddr, bytes: &[u8]) -> bool {
    let mut stream = connect(addr);
    stream.write_all(bytes).expect("the connection is open");
    let mut rest = Vec::new();
    // A reset counts as a close.
    stream.read_to_end(&mut rest).map_or(true, |len| len < 64)
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("the address accepts connections");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("the time isn't zero");
    stream
}

/// Reads the head, and the body up to its `Content-Length`.
fn read_answer(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_ascii_lowercase();
            let length = head
                .lines()
                .find_map(|l| l.strip_prefix("content-length: "));
            let length: usize = length.and_then(|l| l.parse().ok()).unwrap_or(0);
            if body.len() >= length {
                return text;
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return text,
            Ok(len) => bytes.extend_from_slice(&chunk[..len]),
        }
    }
}
