//! Tests the encoding of responses.

use bytes::{Bytes, BytesMut};
use http::Response;
use http1::answer::{Options, encode};
use rstest::rstest;

const DATE: &str = "Thu, 01 Jan 1970 00:00:00 GMT";

fn print_answer(answer: Response<Bytes>, options: Options) -> String {
    let mut out = BytesMut::new();
    let body = encode(&mut out, answer, options, DATE);
    let head = String::from_utf8_lossy(&out).replace("\r\n", "|");
    head + &String::from_utf8_lossy(&body)
}

fn answer(status: u16, fields: &[(&'static str, &str)], body: &'static str) -> Response<Bytes> {
    let mut builder = Response::builder().status(status);
    for (name, value) in fields {
        builder = builder.header(*name, *value);
    }
    builder
        .body(Bytes::from_static(body.as_bytes()))
        .expect("its fields are sound")
}

const KEEP_ALIVE: Options = Options {
    is_closing: false,
    is_head_only: false,
    is_http10: false,
};

#[rstest]
#[case::plain(answer(200, &[("own", "x")], "body"), KEEP_ALIVE,
    "HTTP/1.1 200 OK|own: x|date: Thu, 01 Jan 1970 00:00:00 GMT|content-length: 4||body")]
#[case::closing(answer(503, &[], ""), Options { is_closing: true, ..KEEP_ALIVE },
    "HTTP/1.1 503 Service Unavailable|date: Thu, 01 Jan 1970 00:00:00 GMT|connection: close|content-length: 0||")]
#[case::old(answer(200, &[], "b"), Options { is_http10: true, ..KEEP_ALIVE },
    "HTTP/1.1 200 OK|date: Thu, 01 Jan 1970 00:00:00 GMT|connection: keep-alive|content-length: 1||b")]
#[case::head_only(answer(200, &[], "body"), Options { is_head_only: true, ..KEEP_ALIVE },
    "HTTP/1.1 200 OK|date: Thu, 01 Jan 1970 00:00:00 GMT||")]
#[case::no_content(answer(204, &[], "body"), KEEP_ALIVE,
    "HTTP/1.1 204 No Content|date: Thu, 01 Jan 1970 00:00:00 GMT||")]
// Connection and framing fields of a target's response must not be copied to the
// caller's connection.
#[case::others_framing(answer(200, &[("content-length", "9"), ("transfer-encoding", "chunked"),
    ("connection", "close"), ("date", "today")], "body"), KEEP_ALIVE,
    "HTTP/1.1 200 OK|date: today|content-length: 4||body")]
fn encode_answer(#[case] answer: Response<Bytes>, #[case] options: Options, #[case] text: &str) {
    assert_eq!(print_answer(answer, options), text);
}
