//! Stand-in of the servers.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::store::Store;

/// A request that a server has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub id: String,
    pub path: String,
    pub bytes: usize,
}

/// What the servers have run, in order.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Body of the answer to a request.
pub type Work = Arc<dyn Fn(&Message) -> Vec<u8> + Send + Sync>;

/// A running server.
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    zone: String,
    born: u128,
}

impl Server {
    /// Starts a server that answers what `work` gives.
    pub fn start(id: &str, service: &str, zone: &str, runs: &Runs, work: &Work) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("it is bound");
        let (name, runs, work) = (id.to_owned(), Arc::clone(runs), Arc::clone(work));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, runs, work) = (name.clone(), Arc::clone(&runs), Arc::clone(&work));
                thread::spawn(move || serve(stream, &name, &runs, &work));
            }
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            id: id.to_owned(),
            addr,
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: born.expect("the clock is right").as_millis(),
        }
    }

    /// Writes its entry into the store.
    pub fn report(&self, store: &Store, state: &str, seq: u64) {
        let Self {
            id,
            addr,
            service,
            zone,
            born,
        } = self;
        let value = format!(
            r#"{{"address":"{addr}","info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":8}},"status":{{"state":"{state}","seq":{seq},"warmup_left_s":0}},"born":{born}}}"#
        );
        store.write(&format!("servers/{id}"), &value);
    }
}

fn serve(mut stream: TcpStream, name: &str, runs: &Runs, work: &Work) {
    let _ = stream.set_nodelay(true);
    let Ok(read) = stream.try_clone() else { return };
    let mut reader = BufReader::new(read);
    while let Ok(Some(request)) = http::read(&mut reader) {
        let id = request.field("request-id").unwrap_or_default().to_owned();
        let own = [("Instance-Id", name), ("Request-Id", &*id)];
        if request.field("target-instance").is_some_and(|t| t != name) {
            if http::respond(&mut stream, 421, &own, b"").is_err() {
                return;
            }
            continue;
        }
        let run = Run {
            at: Instant::now(),
            server: name.to_owned(),
            id: id.clone(),
            path: request.second.clone(),
            bytes: request.body.len(),
        };
        runs.lock().expect("no thread panics").push(run);
        let body = work(&request);
        let seal = format!("{id}.{}", body.len());
        let fields = [("Request-Id", &*id), ("Response-Seal", &*seal)];
        if http::respond(&mut stream, 200, &fields, &body).is_err() {
            return;
        }
    }
}
