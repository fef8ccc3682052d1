//! Tests connection reuse, and the distinction between requests that were never
//! sent and those that may have been.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_lite::future;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_body_util::BodyExt;
use pool::{ConnectFault, Error, Executor, Limits, Pool, Request};
use rstest::rstest;

/// Upper bound on the duration of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

const LIMITS: Limits = Limits {
    connections_max: 4,
    warm_connections: 0,
    connect_timeout: Duration::from_millis(200),
    read_buffer_max: None,
};

/// Runs a test on the executor that drives the pool's connections.
fn run(test: impl AsyncFnOnce(&Executor)) {
    let executor = Executor::default();
    let timeout = async {
        smol::Timer::after(TEST_TIMEOUT).await;
        panic!("the test took longer than {TEST_TIMEOUT:?}");
    };
    smol::block_on(executor.run(future::or(test(&executor), timeout)));
}

fn request(path: &str) -> Request {
    let request = hyper::Request::get(path).header("host", "test");
    request.body(http_body_util::Full::default()).unwrap()
}

fn listen() -> (std::net::TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Sends `answer` for each read on a connection, and counts the connections.
fn serve(answer: &'static [u8], hang_up: bool) -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, addr) = listen();
    listener.set_nonblocking(true).unwrap();
    let listener = smol::net::TcpListener::try_from(listener).unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let opened = Arc::clone(&count);
    smol::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            opened.fetch_add(1, Ordering::Relaxed);
            smol::spawn(answers(stream, answer, hang_up)).detach();
        }
    })
    .detach();
    (addr, count)
}

async fn answers(mut stream: smol::net::TcpStream, answer: &[u8], hang_up: bool) {
    let mut head = [0; 1024];
    while matches!(stream.read(&mut head).await, Ok(1..)) {
        if stream.write_all(answer).await.is_err() || hang_up {
            return;
        }
    }
}

/// Sends a request and reads the response to its end.
async fn fetch(pool: &Arc<Pool>, addr: SocketAddr, path: &str) -> Result<String, Error> {
    let (response, connection) = pool.send(addr, request(path)).await?.split();
    let body = response.into_body().collect().await;
    let body = body.map_err(|_| Error::Broken)?.to_bytes();
    connection.put_back();
    Ok(String::from_utf8_lossy(&body).into_owned())
}

#[test]
fn send_reuses_connection() {
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    run(async |executor| {
        let (addr, opened) = serve(answer, false);
        let pool = Pool::new(Arc::clone(executor), LIMITS);
        for _ in 0..3 {
            assert_eq!(fetch(&pool, addr, "/").await.as_deref(), Ok("hi"));
        }
        assert_eq!(opened.load(Ordering::Relaxed), 1);
    });
}

/// Reads one head on each connection, answers it, and reads nothing of its body.
fn serve_heads() -> SocketAddr {
    let (listener, addr) = listen();
    listener.set_nonblocking(true).unwrap();
    let listener = smol::net::TcpListener::try_from(listener).unwrap();
    smol::spawn(async move {
        let mut streams = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") {
                stream.read_exact(&mut byte).await.unwrap();
                head.push(byte[0]);
            }
            let answer = b"HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno";
            stream.write_all(answer).await.unwrap();
            streams.push(stream);
        }
    })
    .detach();
    addr
}

/// A request waited on a connection behind a body that its peer had answered and not read.
#[rstest]
#[case::in_socket_buffers(64 << 10)]
#[case::half_written(32 << 20)]
fn send_behind_no_unread_body(#[case] bytes: usize) {
    run(async |executor| {
        let addr = serve_heads();
        let pool = Pool::new(Arc::clone(executor), LIMITS);
        for _ in 0..3 {
            let request = hyper::Request::put("/").header("host", "test");
            let request = request.body(vec![0; bytes].into()).unwrap();
            let (response, connection) = pool.send(addr, request).await.ok().unwrap().split();
            let body = response.into_body().collect().await.unwrap().to_bytes();
            assert_eq!(body, "no");
            connection.put_back();
        }
    });
}

/// A network may translate the addresses that peers are known by.
#[test]
fn send_to_translated_address() {
    run(async |executor| {
        let (addr, _) = serve(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false);
        let (nobody, listed) = listen();
        drop(nobody);
        let executor = Arc::clone(executor);
        let pool = Pool::with_translations(executor, LIMITS, vec![(listed, addr)]);
        assert_eq!(fetch(&pool, listed, "/").await.as_deref(), Ok("hi"));
        assert_eq!(pool.probe(listed).await, Ok(()));
    });
}

/// What is idle may have become useless with its network; what is in use goes on.
#[test]
fn close_idle_connections() {
    run(async |executor| {
        let (addr, opened) = serve(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false);
        let pool = Pool::new(Arc::clone(executor), LIMITS);
        assert_eq!(fetch(&pool, addr, "/").await.as_deref(), Ok("hi"));
        pool.close_idle();
        assert_eq!(fetch(&pool, addr, "/").await.as_deref(), Ok("hi"));
        assert_eq!(opened.load(Ordering::Relaxed), 2);
    });
}

#[rstest]
#[case::silent(b"", Error::Broken)]
#[case::half_head(b"HTTP/1.1 200 O", Error::Broken)]
#[case::no_http(b"\x00what?\r\n\r\n", Error::Malformed)]
#[case::status_000(b"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", Error::Malformed)]
#[case::status_600(b"HTTP/1.1 600 None\r\nContent-Length: 0\r\n\r\n", Error::Malformed)]
#[case::status_999(b"HTTP/1.1 999 None\r\nContent-Length: 0\r\n\r\n", Error::Malformed)]
#[case::last_interim(b"HTTP/1.1 101 Switching Protocols\r\n\r\n", Error::Malformed)]
fn send_breaks(#[case] answer: &'static [u8], #[case] error: Error) {
    // The peer read the request and may have executed it, so the error must not be
    // `Unsent`.
    run(async |executor| {
        let (addr, _) = serve(answer, true);
        let pool = Pool::new(Arc::clone(executor), LIMITS);
        assert_eq!(fetch(&pool, addr, "/").await, Err(error));
    });
}

#[test]
fn send_refused() {
    run(async |executor| {
        let (listener, addr) = listen();
        drop(listener);
        let pool = Pool::new(Arc::clone(executor), LIMITS);
        let refused = Error::Unreachable(ConnectFault::Refused);
        assert_eq!(fetch(&pool, addr, "/").await, Err(refused));
    });
}

#[test]
fn send_connects_in_bounded_time() {
    // Packets to the peer are dropped, as for a listener with a full backlog.
    // Connecting would take minutes, and an attempt that ends by its own deadline
    // counts as possibly executed. With a connect timeout it is known to be unsent.
    run(async |executor| {
        let (listener, addr) = listen();
        rustix::net::listen(&listener, 0).unwrap();
        let fill = |_| TcpStream::connect_timeout(&addr, Duration::from_millis(100)).ok();
        let _filled: Vec<TcpStream> = (0..4).filter_map(fill).collect();
        let pool = Pool::new(Arc::clone(executor), LIMITS);
        let late = Error::Unreachable(ConnectFault::TimedOut);
        assert_eq!(fetch(&pool, addr, "/").await, Err(late));
    });
}

#[test]
fn dropped_exchange_is_not_reused() {
    // A caller abandons a response that is in transit. The next request must use
    // another connection, or it would receive that response.
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    run(async |executor| {
        let (addr, opened) = serve(answer, false);
        let pool = Pool::new(Arc::clone(executor), LIMITS);
        drop(pool.send(addr, request("/given-up")).await.unwrap());
        assert_eq!(fetch(&pool, addr, "/").await.as_deref(), Ok("hi"));
        assert_eq!(opened.load(Ordering::Relaxed), 2);
    });
}

#[test]
fn doubled_answer_is_not_reused() {
    // The peer sends two responses to a request. The second one must not be read as
    // the response to the next request.
    let twice = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi\
                  HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
    run(async |executor| {
        let (addr, _) = serve(twice, false);
        let pool = Pool::new(Arc::clone(executor), LIMITS);
        for _ in 0..5 {
            let answer = fetch(&pool, addr, "/").await;
            assert_ne!(answer.as_deref(), Ok("old"));
        }
    });
}

/// A request left on a connection that took long to open although its sender had
/// changed its mind since. Nothing may be sent, and the connection is kept.
#[rstest]
#[case::pooled(false)]
#[case::dedicated(true)]
fn withhold_when_connected(#[case] is_dedicated: bool) {
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    run(async |executor| {
        let (addr, count) = serve(answer, false);
        let pool = Pool::new(Arc::clone(executor), LIMITS);
        let result = if is_dedicated {
            pool.send_dedicated_if(addr, request("/a"), |_| false).await
        } else {
            pool.send_if(addr, request("/a"), |_| false).await
        };
        assert!(matches!(result, Err(Error::Withheld)));
        assert!(pool.send(addr, request("/b")).await.is_ok());
        assert_eq!(count.load(Ordering::Relaxed), 1);
    });
}

/// A request told its receiver how much time was left before the connection was opened.
#[rstest]
#[case::pooled(false)]
#[case::dedicated(true)]
fn prepare_when_connected(#[case] is_dedicated: bool) {
    run(async |executor| {
        let (listener, addr) = listen();
        let pool = Pool::new(Arc::clone(executor), LIMITS);
        let prepare = |_: &mut Request| {
            listener.set_nonblocking(true).unwrap();
            assert!(listener.accept().is_ok(), "no connection is open yet");
            false
        };
        let sent = if is_dedicated {
            pool.send_dedicated_if(addr, request("/a"), prepare).await
        } else {
            pool.send_if(addr, request("/a"), prepare).await
        };
        assert!(matches!(sent, Err(Error::Withheld)));
    });
}
