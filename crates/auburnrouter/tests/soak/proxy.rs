//! Loopback proxy that injects faults into connections.
//!
//! Invariant: bytes that are forwarded are unchanged and in order.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Fault applied to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Each chunk is delayed.
    Delay(Duration),
    /// Connections are closed, including new ones.
    Cut,
    /// Bytes to the target are forwarded; bytes from it are held back.
    OneWay,
    /// No bytes are forwarded and no connection is closed.
    Silence,
}

/// Interval at which the fault is checked while no bytes are read.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Proxy to one address.
#[derive(Clone)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub addr: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    /// Times at which the fault was changed, with the one before.
    changes: Arc<Mutex<Vec<(Instant, Fault)>>>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `to`.
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let proxy = Self {
            addr: listener.local_addr().expect("the listener is bound"),
            fault: Arc::new(Mutex::new(Fault::None)),
            changes: Arc::default(),
        };
        let fault = Arc::clone(&proxy.fault);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                pass(stream, to, &fault);
            }
        });
        proxy
    }

    /// Sets the fault for existing and new connections.
    pub fn set(&self, fault: Fault) {
        let mut current = self.fault.lock().expect("the lock is not poisoned");
        let mut changes = self.changes.lock().expect("the lock is not poisoned");
        changes.push((Instant::now(), *current));
        *current = fault;
    }

    /// Whether bytes that left it from `from` to `to` may have been held back.
    pub fn is_faulty_within(&self, from: Instant, to: Instant) -> bool {
        let current = self.fault.lock().expect("the lock is not poisoned");
        let changes = self.changes.lock().expect("the lock is not poisoned");
        // Each fault lasts until the change that names it.
        let ends = changes.iter().copied().chain([(Instant::now(), *current)]);
        let mut begin = None;
        ends.into_iter().any(|(end, fault)| {
            let overlaps = begin.is_none_or(|begin| begin <= to) && end >= from;
            begin = Some(end);
            overlaps && fault != Fault::None
        })
    }
}

fn pass(from: TcpStream, to: SocketAddr, fault: &Arc<Mutex<Fault>>) {
    let Ok(target) = TcpStream::connect(to) else {
        return;
    };
    let (Ok(from_target), Ok(to_caller)) = (target.try_clone(), from.try_clone()) else {
        return;
    };
    let forward = Arc::clone(fault);
    thread::spawn(move || copy(from, target, &forward, true));
    let backward = Arc::clone(fault);
    thread::spawn(move || copy(from_target, to_caller, &backward, false));
}

/// Copies one direction until either end closes or [`Fault::Cut`] is set.
fn copy(mut from: TcpStream, mut to: TcpStream, fault: &Mutex<Fault>, is_forward: bool) {
    let mut bytes = [0; 4096];
    let current = || *fault.lock().expect("the lock is not poisoned");
    if from.set_read_timeout(Some(POLL_INTERVAL)).is_err() {
        return;
    }
    loop {
        match current() {
            Fault::Cut => break,
            Fault::Silence => {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            Fault::OneWay if !is_forward => {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            Fault::Delay(span) => thread::sleep(span),
            Fault::None | Fault::OneWay => {}
        }
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(len) => {
                if to.write_all(&bytes[..len]).is_err() {
                    break;
                }
            }
            Err(error) if is_timeout(&error) => {}
            Err(_) => break,
        }
    }
    // Fails if the other end has closed it already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), WouldBlock | TimedOut)
}
