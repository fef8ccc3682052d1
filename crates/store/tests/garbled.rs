//! Tests malformed responses, and responses delimited by the end of the connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rstest::rstest;
use store::Store;
use store::error::{Effect, Kind};
use store::http::{Client, Config};
use wire::kv;

const SEED: u64 = 7;

/// Sends `answer` verbatim to the first call and closes the connection.
fn serve(answer: &'static [u8]) -> (SocketAddr, smol::Task<()>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    let listener = smol::net::TcpListener::try_from(listener).unwrap();
    let task = smol::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).await.unwrap();
        stream.write_all(answer).await.unwrap();
        stream.close().await.unwrap();
    });
    (addr, task)
}

/// Runs a test on the executor that drives the client's connections.
fn run(test: impl AsyncFnOnce(&pool::Executor)) {
    let executor = pool::Executor::default();
    smol::block_on(executor.run(test(&executor)));
}

fn client(executor: &pool::Executor, addr: SocketAddr) -> Client {
    let config = Config {
        call_timeout: Duration::from_secs(5),
        ..Config::new(vec![addr])
    };
    Client::new(config, Arc::clone(executor), fastrand::Rng::with_seed(SEED))
}

#[rstest]
#[case::no_http(b"\x00\x01\x02 what?\r\n\r\n", Kind::Lost)]
#[case::odd_status(b"HTTP/1.1 299 Odd\r\nContent-Length: 0\r\n\r\n", Kind::BadAnswer)]
#[case::other_json(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", Kind::BadAnswer)]
#[case::cut_short(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{", Kind::Lost)]
#[case::silent(b"", Kind::Lost)]
fn garbled_answer_is_in_doubt(#[case] answer: &'static [u8], #[case] kind: Kind) {
    // The store received the write, but the response can't be interpreted. The
    // client must report the effect as unknown and must not panic.
    run(async |executor| {
        let (addr, task) = serve(answer);
        let put = kv::Put {
            value: "1".to_owned(),
            expect: kv::Expect::Any,
            lease: None,
        };
        let error = client(executor, addr).put("a", put).await.unwrap_err();
        assert_eq!((error.kind(), error.effect()), (kind, Effect::Unknown));
        task.await;
    });
}

#[test]
fn answer_ends_with_connection() {
    // A response without a length is complete when its connection ends.
    run(async |executor| {
        let answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"entries\":[]}";
        let (addr, task) = serve(answer);
        assert_eq!(client(executor, addr).list("a").await, Ok(Vec::new()));
        task.await;
    });
}
