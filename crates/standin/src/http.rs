//! What both stand-ins need of HTTP: JSON bodies, queries, broken answers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWriteExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use trillium::{Body, Conn, KnownHeaderName, Status};

/// Largest body that a stand-in reads, in bytes.
const BODY_MAX: u64 = 16 << 20;

/// Reads the whole request body.
pub(crate) async fn body(conn: &mut Conn) -> Option<Vec<u8>> {
    let body = conn.request_body().await.with_max_len(BODY_MAX);
    body.read_bytes().await.ok()
}

/// Reads the request body as JSON.
pub(crate) async fn parse<T: DeserializeOwned>(conn: &mut Conn) -> Option<T> {
    let bytes = body(conn).await?;
    serde_json::from_slice(&bytes).ok()
}

/// Answers with a JSON body.
pub(crate) fn json(conn: Conn, status: Status, value: &impl Serialize) -> Conn {
    let body = serde_json::to_vec(value).expect("plain data serialises");
    keep_alive(conn)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_status(status)
        .with_body(body)
        .halt()
}

/// Answers with a status alone.
pub(crate) fn status(conn: Conn, status: Status) -> Conn {
    keep_alive(conn).with_status(status).halt()
}

/// Says that the connection can be used again: pooling clients wait for it.
pub(crate) fn keep_alive(conn: Conn) -> Conn {
    conn.with_response_header(KnownHeaderName::Connection, "keep-alive")
}

/// Value of `name` in the query string.
pub(crate) fn query<'a>(conn: &'a Conn, name: &str) -> Option<&'a str> {
    let pairs = conn.querystring().split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Value of `name` in the query string, as a number.
pub(crate) fn number(conn: &Conn, name: &str) -> Option<u64> {
    query(conn, name)?.parse().ok()
}

/// Closes the connection without another byte.
pub(crate) fn cut(conn: Conn) -> Conn {
    let body = Body::new_streaming(Broken, None);
    conn.with_status(Status::Ok).with_body(body).halt()
}

/// Writes `bytes` as they are.
pub(crate) async fn raw(conn: &mut Conn, bytes: &[u8]) {
    let transport = conn.inner_mut().transport_mut();
    // A peer that has gone misses the bytes; the stand-in doesn't care.
    let _ = transport.write_all(bytes).await;
    let _ = transport.flush().await;
}

/// A body that fails before its first byte, so that the head, which waits in
/// the server's buffer for it, is not sent either.
struct Broken;

impl AsyncRead for Broken {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }
}
