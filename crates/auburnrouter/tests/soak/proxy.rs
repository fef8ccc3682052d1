//! A loopback proxy that harms the connections through it.
//!
//! Invariant: what it passes on is passed on unchanged and in order.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What is done to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Each piece is late.
    Delay(Duration),
    /// Connections end, new ones too.
    Cut,
    /// What goes there arrives, what comes back doesn't.
    OneWay,
    /// Nothing arrives, and no connection ends.
    Silence,
}

/// Time between looks at what is to be done while nothing arrives.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A proxy to one address.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    fault: Arc<Mutex<Fault>>,
}

impl Proxy {
    /// Passes connections on to `to`.
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let proxy = Self {
            addr: listener.local_addr().expect("it listens"),
            fault: Arc::new(Mutex::new(Fault::None)),
        };
        let fault = Arc::clone(&proxy.fault);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                pass(stream, to, &fault);
            }
        });
        proxy
    }

    /// Sets what is done from now on.
    pub fn set(&self, fault: Fault) {
        *self.fault.lock().expect("no one panics with it") = fault;
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

/// Copies one direction until either end or a cut ends it.
fn copy(mut from: TcpStream, mut to: TcpStream, fault: &Mutex<Fault>, is_forward: bool) {
    let mut bytes = [0; 4096];
    let current = || *fault.lock().expect("no one panics with it");
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
    // The other end may have closed it already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), WouldBlock | TimedOut)
}
