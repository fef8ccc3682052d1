//! HTTP client of the store, with one or several addresses.
//!
//! Invariants: a call ends by its deadline; the number of concurrent calls is
//! bounded; a write that may have been sent is not sent to another address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Full, Limited};
use hyper::Method;
use hyper::body::Bytes;
use hyper::header;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;
use smol::future::FutureExt;
use smol::lock::Semaphore;
use wire::{instance, kv};

use crate::backoff::Bounds;
use crate::counters::Counters;
use crate::error::{Effect, Error};
use crate::{Pending, Store};

mod addresses;

/// Addresses and limits of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Addresses of the store. The client stays with one until a call there fails.
    pub addrs: Vec<SocketAddr>,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout of a call over all addresses tried; a watch adds its wait to it.
    pub call_timeout: Duration,
    /// Upper bound on concurrent calls other than watches.
    pub calls_max: usize,
    /// Upper bound on concurrent watches.
    pub watches_max: usize,
    /// Bounds on the backoff of an address that failed.
    pub backoff: Bounds,
}

impl Config {
    /// Creates a configuration with default limits for these addresses.
    #[must_use]
    pub fn new(addrs: Vec<SocketAddr>) -> Self {
        Self {
            addrs,
            connect_timeout: Duration::from_millis(200),
            call_timeout: Duration::from_secs(1),
            calls_max: 64,
            watches_max: 8,
            backoff: Bounds::default(),
        }
    }
}

/// Client of the store.
pub struct Client {
    config: Config,
    pool: Arc<pool::Pool>,
    addresses: addresses::Addresses,
    calls: Semaphore,
    watches: Semaphore,
    counters: Counters,
}

/// Upper bound on a response body; large, since a listing holds many values.
const RESPONSE_BYTES_MAX: usize = 64 << 20;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Write,
    Watch(Duration),
}

struct Call<'a> {
    kind: Kind,
    method: Method,
    path: &'a str,
    body: Bytes,
}

struct Reply {
    status: u16,
    body: Bytes,
}

impl Client {
    /// Creates a client without connections. They are driven on `executor`, which the
    /// caller has to run.
    #[must_use]
    pub fn new(config: Config, executor: pool::Executor, rng: fastrand::Rng) -> Self {
        let limits = pool::Limits {
            // Each watch occupies a connection while it waits.
            connections_max: config.calls_max + config.watches_max,
            warm_connections: 0,
            connect_timeout: config.connect_timeout,
            read_buffer_max: None,
        };
        Self {
            pool: pool::Pool::new(executor, limits),
            addresses: addresses::Addresses::new(&config.addrs, config.backoff, rng),
            calls: Semaphore::new(config.calls_max),
            watches: Semaphore::new(config.watches_max),
            counters: Counters::default(),
            config,
        }
    }

    /// Returns the counters of calls and failures.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    async fn call(&self, call: Call<'_>) -> Result<Reply, Error> {
        let result = self.call_any(&call).await;
        result.inspect_err(|error| self.counters.record_failure(error))
    }

    async fn call_any(&self, call: &Call<'_>) -> Result<Reply, Error> {
        let (permits, wait) = match call.kind {
            Kind::Watch(wait) => (&self.watches, wait),
            Kind::Read | Kind::Write => (&self.calls, Duration::ZERO),
        };
        let _permit = permits.try_acquire().ok_or(Error::Busy)?;
        let deadline = Instant::now() + wait + self.config.call_timeout;
        let mut failure = None;
        for _ in 0..self.config.addrs.len() {
            let addr = match self.addresses.pick(Instant::now()) {
                Ok(addr) => addr,
                Err(after) => return Err(failure.unwrap_or(Error::BackingOff { after })),
            };
            let error = match self.attempt(call, addr, deadline).await {
                Ok(reply) => {
                    self.addresses.record_success(addr);
                    return Ok(reply);
                }
                Err(error) => error,
            };
            self.addresses.record_failure(addr, Instant::now());
            if call.kind == Kind::Write && error.effect() == Effect::Unknown {
                return Err(error);
            }
            failure = Some(error);
        }
        Err(failure.unwrap_or(Error::Unreachable))
    }

    async fn attempt(
        &self,
        call: &Call<'_>,
        addr: SocketAddr,
        deadline: Instant,
    ) -> Result<Reply, Error> {
        self.counters.record_call();
        let timeout = async {
            Timer::at(deadline).await;
            Err(Error::TimedOut)
        };
        self.exchange(call, addr).or(timeout).await
    }

    async fn exchange(&self, call: &Call<'_>, addr: SocketAddr) -> Result<Reply, Error> {
        let request = call.request(addr)?;
        let exchange = self.pool.send(addr, request).await.map_err(send_error)?;
        let (response, connection) = exchange.split();
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), RESPONSE_BYTES_MAX);
        // If the body can't be read to its end, the connection is dropped.
        let body = body.collect().await.map_err(|_| Error::Lost)?.to_bytes();
        connection.put_back();
        if status >= 500 {
            return Err(Error::BadAnswer { status });
        }
        Ok(Reply { status, body })
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, Error> {
        let reply = self.call(Call::get(Kind::Read, path)).await?;
        match reply.status {
            200 => reply.parse().map(Some),
            404 => Ok(None),
            status => Err(Error::BadAnswer { status }),
        }
    }

    async fn write(&self, method: Method, path: &str, body: Bytes) -> Result<Reply, Error> {
        let reply = self
            .call(Call {
                kind: Kind::Write,
                method,
                path,
                body,
            })
            .await?;
        let error = match reply.status {
            200 => return Ok(reply),
            409 => Error::Conflict {
                current: reply.parse::<kv::Conflict>()?.current,
            },
            404 => Error::LeaseLapsed,
            status => Error::BadAnswer { status },
        };
        self.counters.record_failure(&error);
        Err(error)
    }
}

impl Store for Client {
    fn get<'a>(&'a self, key: &'a str) -> Pending<'a, Option<kv::Entry>> {
        Box::pin(async move { self.read(&path(key)?).await })
    }

    fn put<'a>(&'a self, key: &'a str, put: kv::Put) -> Pending<'a, kv::Written> {
        Box::pin(async move {
            let bytes = put.value.len();
            if bytes > kv::VALUE_MAX {
                return Err(Error::TooLarge { bytes });
            }
            let reply = self.write(Method::PUT, &path(key)?, json(&put)).await?;
            reply.parse()
        })
    }

    fn delete<'a>(&'a self, key: &'a str, revision: Option<u64>) -> Pending<'a, kv::Written> {
        Box::pin(async move {
            let path = match revision {
                Some(revision) => format!("{}?revision={revision}", path(key)?),
                None => path(key)?,
            };
            self.write(Method::DELETE, &path, Bytes::new())
                .await?
                .parse()
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
        wait: Duration,
    ) -> Pending<'a, Option<kv::Entry>> {
        Box::pin(async move {
            let path = path(key)?;
            let path = format!("{path}?after={after}&wait_ms={}", wait.as_millis());
            let reply = self.call(Call::get(Kind::Watch(wait), &path)).await?;
            match reply.status {
                200 => reply.parse().map(Some),
                204 => Ok(None),
                status => Err(Error::BadAnswer { status }),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> Pending<'a, Vec<kv::Entry>> {
        Box::pin(async move {
            check_key(prefix)?;
            let path = format!("/kv?prefix={prefix}");
            let listing = self.read::<kv::Listing>(&path).await?;
            Ok(listing.unwrap_or_default().entries)
        })
    }

    fn grant(&self, ttl: Duration) -> Pending<'_, kv::Lease> {
        Box::pin(async move {
            let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
            let body = json(&kv::LeaseRequest { ttl_ms });
            self.write(Method::POST, "/leases", body).await?.parse()
        })
    }

    fn renew(&self, id: u64) -> Pending<'_, kv::Lease> {
        Box::pin(async move {
            let path = format!("/leases/{id}/renew");
            self.write(Method::POST, &path, Bytes::new()).await?.parse()
        })
    }

    fn instances<'a>(&'a self, part: &'a instance::Filter) -> Pending<'a, instance::Instances> {
        Box::pin(async move {
            let list = self.read(&part.path()).await?;
            list.ok_or(Error::BadAnswer { status: 404 })
        })
    }
}

impl<'a> Call<'a> {
    const fn get(kind: Kind, path: &'a str) -> Self {
        Self {
            kind,
            method: Method::GET,
            path,
            body: Bytes::new(),
        }
    }

    fn request(&self, addr: SocketAddr) -> Result<pool::Request, Error> {
        let request = hyper::Request::builder()
            .method(&self.method)
            .uri(self.path)
            .header(header::HOST, addr.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(self.body.clone()));
        // Keys are validated before, so that the path is a valid URI.
        request.map_err(|_| Error::BadKey {
            key: self.path.to_owned(),
        })
    }
}

impl Reply {
    fn parse<T: DeserializeOwned>(&self) -> Result<T, Error> {
        let status = self.status;
        serde_json::from_slice(&self.body).map_err(|_| Error::BadAnswer { status })
    }
}

const fn send_error(error: pool::Error) -> Error {
    match error {
        pool::Error::Unreachable(_) | pool::Error::Unsent => Error::Unreachable,
        pool::Error::Full | pool::Error::Withheld => Error::Busy,
        pool::Error::Broken | pool::Error::Malformed => Error::Lost,
    }
}

fn json(value: &impl Serialize) -> Bytes {
    let bytes = serde_json::to_vec(value);
    bytes.expect("plain data serialises").into()
}

fn path(key: &str) -> Result<String, Error> {
    check_key(key)?;
    Ok(format!("/kv/{key}"))
}

fn check_key(key: &str) -> Result<(), Error> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '/');
    if key.chars().all(is_allowed) && !key.contains("./") {
        return Ok(());
    }
    let key = key.to_owned();
    Err(Error::BadKey { key })
}
