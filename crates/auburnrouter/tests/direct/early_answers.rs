//! Targets that answer a request before they have read its body, and read on later.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use platform_standin::{Store, store, target};
use rstest::rstest;

use super::harness::{Entry, HOST, MS, ROUTES, request, send_raw, wait_until};

/// Time after an answer at which the target reads on.
const PAUSE: Duration = Duration::from_secs(4);

/// Starts a target that rejects each upload by its head, and reads on after [`PAUSE`].
fn start_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            // Fails where the instance closes the connection.
            thread::spawn(move || serve(stream).unwrap_or_default());
        }
    });
    addr
}

fn serve(mut stream: TcpStream) -> io::Result<()> {
    loop {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let header = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(name));
            line.unwrap_or_default().trim().to_owned()
        };
        let id = header("request-id:");
        let length: u64 = header("content-length:").parse().unwrap_or(0);
        let first = if length > 0 {
            "HTTP/1.1 503 Full\r\nNot-Executed: 1"
        } else {
            "HTTP/1.1 200 OK\r\nResponse-Seal: s"
        };
        let answer = format!("{first}\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes())?;
        if length > 0 {
            thread::sleep(PAUSE);
            io::copy(&mut Read::take(&stream, length), &mut io::sink())?;
        }
    }
}

/// A request waited behind the body of another caller's, and reached its target long after
/// it was sent.
#[rstest]
#[case::in_socket_buffers(64 << 10)]
#[case::half_written(32 << 20)]
fn send_behind_no_unread_body(#[case] bytes: usize) {
    let store = Store::start().expect("a port is free");
    store.configure(3, HOST, &ROUTES);
    let text = store::document(4, HOST, &ROUTES, &[], 64 << 20);
    store.write_bytes("op/config", text.as_bytes());
    let entry = target::entry(start_target(), "sheets", "near-a");
    store.write("servers/t0", &entry);
    let entry = Entry::start("near-1", "near-a", store.addr(), &[]);
    entry.await_ready();
    wait_until("the target is known", || entry.dump().contains("\"t0\""));
    for i in 0..2 {
        let head = request("PUT", "/view/x", &format!("u{i}"), "");
        let head = head.replace("Length: 0", &format!("Length: {bytes}"));
        let rejected = send_raw(entry.callers, &(head + &" ".repeat(bytes)));
        let rejected = rejected.expect("the upload is answered");
        assert_eq!(rejected.status, 503, "{rejected:?}");
        let begin = Instant::now();
        wait_until("a look-up is taken", || {
            let answer = entry.send("GET", "/view/x", &format!("r{i}"), "");
            assert!([200, 503].contains(&answer.status), "{answer:?}");
            answer.status == 200
        });
        assert!(begin.elapsed() < 2_000 * MS, "{:?}", begin.elapsed());
    }
}
