//! Targets: each runs a request for the time that its query names in `work`, and answers
//! with as many bytes as `bytes` says.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::Store;

/// Length from which on a request is long, in bytes.
const LONG_BYTES: usize = 1 << 20;

/// What became of a request that a target began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// The tenant that the request names.
    pub tenant: Option<String>,
    /// When the request had arrived.
    pub arrived: Instant,
    /// Whether the connection was closed while the target worked.
    pub is_cut: bool,
}

/// A running target.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub addr: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    /// Whether it rejects each second request, as one that sheds load does.
    is_shedding: Arc<AtomicBool>,
    /// Time after which it reads the body of a long request that it has answered; it
    /// answers before it reads.
    reads_on_after: Arc<Mutex<Option<Duration>>>,
    /// Requests so far.
    count: Arc<AtomicUsize>,
}

impl Target {
    pub fn start(id: &str, runs: &Arc<Mutex<Vec<Run>>>, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let target = Self {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            runs: Arc::clone(runs),
            record: record.clone(),
            is_shedding: Arc::default(),
            reads_on_after: Arc::default(),
            count: Arc::default(),
        };
        let serving = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = serving.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(mut request)) = connection.read_head() {
                        let early = target.answer_early(&mut connection, &mut request);
                        if !early.unwrap_or(false)
                            && !target.serve(&mut connection, &mut request).unwrap_or(false)
                        {
                            return;
                        }
                    }
                });
            }
        });
        Ok(target)
    }

    /// Begins to reject each second request.
    pub fn shed(&self) {
        self.is_shedding.store(true, Ordering::Relaxed);
    }

    /// Answers long requests before it reads them from now on, keeps the connection and
    /// reads on after this time.
    pub fn read_on_after(&self, time: Duration) {
        *self.reads_on_after.lock().unwrap() = Some(time);
    }

    /// Writes its entry to the store.
    pub fn register(&self, store: &Store, service: &str, domain: &str, slots: u32) {
        self.report(store, service, domain, slots, ("ready", 1));
    }

    /// Writes its entry with this state and number of the report.
    pub fn report(
        &self,
        store: &Store,
        service: &str,
        domain: &str,
        slots: u32,
        (state, seq): (&str, u32),
    ) {
        let entry = format!(
            r#"{{"address":"{}","info":{{"service":"{service}","version":"v1","zone":"{domain}","slots":{slots}}},"status":{{"state":"{state}","seq":{seq},"warmup_left_s":0}},"born":1764700000000}}"#,
            self.addr
        );
        store.write(&format!("servers/{}", self.id), &entry);
    }

    /// Rejects a long request before it is read, and reads it later; returns false if the
    /// request is to be served as usual.
    fn answer_early(&self, connection: &mut Connection, request: &mut Message) -> io::Result<bool> {
        let time = *self.reads_on_after.lock().unwrap();
        let Some(time) = time.filter(|_| request.length() >= LONG_BYTES) else {
            return Ok(false);
        };
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
        connection.answer(503, &headers, b"")?;
        self.record.line(&format!(
            "{} rejects {id} before it reads the body",
            self.id
        ));
        thread::sleep(time);
        connection.read_body(request)?;
        let is_same = request.body.iter().all(|byte| *byte == b'x');
        self.record.line(&format!(
            "{} has read the rest of {id}: {} bytes, as sent: {is_same}",
            self.id,
            request.body.len()
        ));
        Ok(true)
    }

    /// Serves a request; returns whether the connection stays open.
    fn serve(&self, connection: &mut Connection, request: &mut Message) -> io::Result<bool> {
        connection.read_body(request)?;
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let echo = ("Request-Id", id.as_str());
        let expected = request.header("target-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [echo, ("Instance-Id", self.id.as_str())];
            connection.answer(421, &headers, b"")?;
            return Ok(true);
        }
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        if self.is_shedding.load(Ordering::Relaxed) && number.is_multiple_of(2) {
            connection.answer(503, &[echo, ("Not-Executed", "1")], b"")?;
            self.record.line(&format!("{} rejects {id}", self.id));
            return Ok(true);
        }
        let work = Duration::from_millis(request.number("work").unwrap_or_default());
        let at = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                id: id.clone(),
                tenant: request.header("tenant").map(str::to_owned),
                arrived: Instant::now(),
                is_cut: false,
            });
            runs.len() - 1
        };
        self.record.line(&format!(
            "{} begins to run {id}, {} {}, Deadline-Ms {}, Tenant {}",
            self.id,
            request.method(),
            request.target(),
            request.header("deadline-ms").unwrap_or("none"),
            request.header("tenant").unwrap_or("none"),
        ));
        let is_cut = !wait_while_open(connection, work)?;
        self.runs.lock().unwrap()[at].is_cut = is_cut;
        if is_cut {
            self.record.line(&format!(
                "{} at work on {id}: its connection was closed",
                self.id
            ));
            return Ok(false);
        }
        let body = body(&id, request.number("bytes").unwrap_or(64) as usize);
        let seal = format!("{:016x}", digest(&body));
        let headers = [
            echo,
            ("Response-Seal", seal.as_str()),
            ("Server-Load", "1,0,3"),
        ];
        connection.answer(200, &headers, &body)?;
        self.record.line(&format!(
            "{} has answered {id}: 200, {} bytes",
            self.id,
            body.len()
        ));
        Ok(true)
    }
}

/// Waits for this time; returns early with false if the peer closes the connection.
fn wait_while_open(connection: &Connection, time: Duration) -> io::Result<bool> {
    let until = Instant::now() + time;
    let stream = &connection.stream;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            stream.set_read_timeout(None)?;
            return Ok(true);
        }
        stream.set_read_timeout(Some(left.min(Duration::from_millis(20))))?;
        match stream.peek(&mut [0]) {
            Ok(0) => return Ok(false),
            Ok(_) => thread::sleep(Duration::from_millis(5)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return Ok(false),
        }
    }
}

/// Body of the answer to a request.
pub fn body(id: &str, length: usize) -> Vec<u8> {
    let line = format!("answer to {id}. ");
    line.bytes().cycle().take(length).collect()
}

/// Digest of a body (FNV-1a), which targets put into their seals.
pub fn digest(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}
