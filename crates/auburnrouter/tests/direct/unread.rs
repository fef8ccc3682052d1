//! Callers that never read large answers: the process keeps within its memory, gives it back,
//! and serves others beside.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use platform_standin::store::Route;
use platform_standin::target::Behavior;
use platform_standin::{Store, Target};
use rstest::rstest;
use rustix::net::{AddressFamily, SocketType, sockopt};

use super::harness::{self, Entry, HOST, wait_until};

const ROUTES: [Route<'static>; 2] = [
    Route {
        prefix: "/view/",
        service: "archive",
        is_idempotent: true,
    },
    Route {
        prefix: "/pay/",
        service: "sheets",
        is_idempotent: true,
    },
];

/// Receive buffer of a caller that doesn't read.
const BUFFER_BYTES: usize = 4 << 10;

/// Time between two ordinary requests.
const PAUSE: Duration = Duration::from_millis(33);

/// For how long callers don't read, and until when memory must be back.
const UNREAD: Duration = Duration::from_secs(5);
const GIVEN_BACK: Duration = Duration::from_secs(10);

fn start(memory: u64, bytes: usize) -> (Store, Vec<Target>, Entry) {
    let store = Store::start().expect("a port is free");
    store.configure(3, HOST, &ROUTES);
    let start = |i: usize| {
        let service = ["archive", "sheets"][i % 2];
        let target = Target::start(&format!("t{i}"), service, "near-a").expect("a port is free");
        target.set(Behavior::Normal, Duration::from_millis(20));
        if i.is_multiple_of(2) {
            target.pad_answers(bytes);
            // As many answers as are asked for, at once.
            target.register_slots(&store, 64);
        } else {
            target.register(&store, "ready", 1);
        }
        target
    };
    let targets: Vec<Target> = (0..16).map(start).collect();
    let settings = platform_standin::settings("near-1", "near-a", store.addr(), &[]);
    let mut settings: serde_json::Value = serde_json::from_str(&settings).expect("it is JSON");
    settings["memory_mb"] = memory.into();
    settings["descriptors"] = 8192.into();
    let entry = Entry::start_with(&settings.to_string());
    entry.await_ready();
    wait_until("all targets are known", || {
        entry.dump().matches("\"id\":\"t").count() == targets.len()
    });
    (store, targets, entry)
}

/// Sends a request on a connection with a small receive buffer.
fn ask_unread(to: SocketAddr, number: usize) -> TcpStream {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None);
    let socket = socket.expect("a socket is free");
    sockopt::set_socket_recv_buffer_size(&socket, BUFFER_BYTES).expect("it is a socket");
    rustix::net::connect(&socket, &to).expect("the instance listens");
    let mut stream = TcpStream::from(socket);
    let text = harness::request("GET", &format!("/view/{number}"), &format!("u{number}"), "");
    stream.write_all(text.as_bytes()).expect("it is read");
    stream
}

/// The process took more memory than it had, or kept it when the callers had gone, or nobody
/// else was served.
#[rstest]
#[case::half_megabyte(160, 400, 512 << 10)]
#[case::quarter_megabyte(160, 800, 256 << 10)]
#[case::four_megabytes(160, 300, 4 << 20)]
fn bear_callers_that_never_read(#[case] memory: u64, #[case] callers: usize, #[case] bytes: usize) {
    let (_store, _targets, entry) = start(memory, bytes);
    let before = entry.resident_memory();
    let begin = Instant::now();
    let (mut served, mut sent) = (0, 0);
    let mut unread = Vec::new();
    thread::scope(|scope| {
        let asking = scope.spawn(|| {
            let ask = |number| ask_unread(entry.callers, number);
            (0..callers).map(ask).collect::<Vec<_>>()
        });
        while begin.elapsed() < UNREAD {
            sent += 1;
            let answer = entry.try_send("GET", &format!("/pay/{sent}"), &format!("o{sent}"), "");
            served += usize::from(answer.is_some_and(|a| a.status == 200));
            thread::sleep((PAUSE * sent).saturating_sub(begin.elapsed()));
        }
        unread = asking.join().expect("no thread panics");
    });
    let peak = entry.peak_memory();
    drop(unread);
    let closed = Instant::now();
    while entry.resident_memory() * 2 > before * 3 && closed.elapsed() < GIVEN_BACK {
        thread::sleep(PAUSE);
    }
    let after = entry.resident_memory();
    println!(
        "{callers} of {bytes}: resident {} MB before, {} at the peak, {} after; {served} of {sent} served",
        before >> 20,
        peak >> 20,
        after >> 20
    );
    assert!(peak <= memory << 20, "{peak} bytes at the peak");
    assert!(10 * served >= 9 * sent as usize, "{served} of {sent}");
    assert!(2 * after <= 3 * before, "{after} bytes after {before}");
}
