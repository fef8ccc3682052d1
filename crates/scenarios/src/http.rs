//! Calls as callers, operators and the platform make them, in bounded time.

use std::net::SocketAddr;
use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use trillium_client::{Client, Conn, Method};
use trillium_smol::ClientConfig;

use crate::BOUND;
use crate::error::Error;

/// A call to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Where to.
    pub addr: SocketAddr,
    /// Path and query.
    pub path: String,
    /// Header lines.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: String,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl Answer {
    /// Value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.headers.iter();
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| &**value)
    }
}

impl Call {
    /// A call without headers.
    #[must_use]
    pub fn new(method: Method, addr: SocketAddr, path: &str, body: &str) -> Self {
        Self {
            method,
            addr,
            path: path.to_owned(),
            headers: Vec::new(),
            body: body.to_owned(),
        }
    }

    /// Makes the call on a connection of its own.
    ///
    /// # Errors
    /// No whole answer came within [`BOUND`].
    pub fn make(&self) -> Result<Answer, Error> {
        self.make_within(BOUND)
    }

    /// As [`Call::make`], with a bound of its own.
    ///
    /// # Errors
    /// No whole answer came within `bound`.
    pub fn make_within(&self, bound: Duration) -> Result<Answer, Error> {
        let late = async {
            Timer::after(bound).await;
            Err(Error::Late(format!("{} {}", self.method, self.path)))
        };
        smol::block_on(self.exchange().or(late))
    }

    async fn exchange(&self) -> Result<Answer, Error> {
        let conn = self.conn().await;
        let mut conn = conn.map_err(|e| Error::Http(e.to_string()))?;
        let status = conn.status().map_or(0, |status| status as u16);
        let headers = headers(&conn);
        let body = conn.response_body().read_string().await;
        let body = body.map_err(|e| Error::Http(e.to_string()))?;
        Ok(Answer {
            status,
            headers,
            body,
        })
    }

    fn conn(&self) -> Conn {
        let client = Client::new(ClientConfig::default());
        let url = format!("http://{}{}", self.addr, self.path);
        let mut conn = client.build_conn(self.method, url);
        for (name, value) in &self.headers {
            conn = conn.with_request_header(*name, value.clone());
        }
        if self.body.is_empty() {
            return conn;
        }
        conn.with_body(self.body.clone())
    }
}

fn headers(conn: &Conn) -> Vec<(String, String)> {
    let mut lines = Vec::new();
    for (name, values) in conn.response_headers() {
        for value in values {
            let value = value.as_str().unwrap_or_default().to_owned();
            lines.push((name.to_string(), value));
        }
    }
    lines
}
