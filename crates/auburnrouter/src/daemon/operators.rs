//! The operators' API, on a listener of its own.
//!
//! | call | answer |
//! |---|---|
//! | `GET /metrics` | the metrics, as text |
//! | `GET /dump` | the state of the process, as JSON |
//! | `GET /config` | the configuration files in force, as JSON |
//! | `GET /status` | the version in force at each entry instance, as JSON |
//! | `GET /changes/{id}` | whether that change was accepted, as JSON |
//! | `POST /apply` | applies a configuration change; the answer gives its result, as JSON |
//!
//! Every call requires `Authorization: Bearer SECRET`. The listener runs on the
//! control thread, so that it answers while the traffic threads are overloaded.
//!
//! Invariant: a call without the secret gets status 401 whether or not its path
//! exists, and the secret is compared in constant time.

use std::sync::Arc;

use serde::Serialize;
use settings::secret::Secret;
use subtle::ConstantTimeEq;
use trillium_http::{KnownHeaderName, Method, Status};

use super::accept::Limits;
use super::control;
use super::engine::Engine;
use super::guarded::Bounds;
use super::guarded::Conn;
use super::metrics::Metrics;
use super::reply;

/// Maximum size of an operator's request body, which holds a full configuration.
const BODY_MAX_BYTES: u32 = 256 << 20;

/// State of the operators' listener.
pub struct Operators {
    /// Shared secret that every call must present.
    pub secret: Secret,
    /// Handle to the control thread.
    pub control: control::Handle,
    /// The traffic engine.
    pub engine: Arc<Engine>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
}

/// Path prefix of queries for a change by its id.
const CHANGES_PATH: &str = "/changes/";

/// Acceptance of a change; `None` if it can't be determined, or no longer.
#[derive(Debug, Serialize)]
struct ChangeStatus {
    accepted: Option<bool>,
}

/// Version and files of the configuration in force.
#[derive(Debug, Serialize)]
struct Config {
    version: u64,
    files: Vec<control::File>,
}

/// Limits of the operators' listener.
#[must_use]
pub const fn limits(bounds: Bounds) -> Limits {
    Limits {
        bounds: Bounds {
            unanswered_max: BODY_MAX_BYTES as usize,
            ..bounds
        },
        head_bytes: 16 << 10,
        body_bytes: BODY_MAX_BYTES as u64,
        connections: 64,
    }
}

impl Operators {
    /// Answers one call.
    pub async fn handle(self: Arc<Self>, mut conn: Conn) -> Conn {
        if !self.has_secret(&conn) {
            conn.set_status(401);
            return conn;
        }
        let path = conn.path().to_owned();
        match (conn.method(), path.as_str()) {
            (Method::Get, "/metrics") => self.metrics(conn),
            (Method::Get, "/dump") => self.dump(conn).await,
            (Method::Get, "/config") => self.config(conn),
            (Method::Get, "/status") => reply::json(conn, Status::Ok, &self.control.status().await),
            (Method::Get, path) if path.starts_with(CHANGES_PATH) => {
                let accepted = self.control.accepted(&path[CHANGES_PATH.len()..]).await;
                reply::json(conn, Status::Ok, &ChangeStatus { accepted })
            }
            (Method::Post, "/apply") => self.apply(conn).await,
            _ => {
                conn.set_status(404);
                conn
            }
        }
    }

    fn has_secret(&self, conn: &Conn) -> bool {
        let presented = conn
            .request_headers()
            .get_str(KnownHeaderName::Authorization);
        let presented = presented.and_then(|v| v.strip_prefix("Bearer "));
        presented.is_some_and(|g| g.as_bytes().ct_eq(self.secret.bytes()).into())
    }

    fn metrics(&self, mut conn: Conn) -> Conn {
        self.metrics
            .in_flight
            .set(i64::try_from(self.engine.in_flight()).unwrap_or(i64::MAX));
        match self.metrics.text() {
            Ok(text) => {
                conn.set_status(200);
                conn.set_response_body(text);
            }
            Err(_) => conn.set_status(500),
        }
        conn
    }

    async fn dump(&self, mut conn: Conn) -> Conn {
        let Some(state) = self.control.dump().await else {
            conn.set_status(Status::ServiceUnavailable);
            return conn;
        };
        reply::json(conn, Status::Ok, &state)
    }

    fn config(&self, conn: Conn) -> Conn {
        let active = self.control.active_config();
        let config = Config {
            version: active.as_ref().map_or(0, |f| f.version.0),
            files: active.map(|f| f.listing()).unwrap_or_default(),
        };
        reply::json(conn, Status::Ok, &config)
    }

    async fn apply(&self, mut conn: Conn) -> Conn {
        let body = conn.request_body().await.read_bytes().await;
        let change = body.ok().and_then(|b| serde_json::from_slice(&b).ok());
        let Some(change) = change else {
            conn.set_status(Status::BadRequest);
            return conn;
        };
        let answer = self.control.change(change).await;
        reply::json(conn, Status::Ok, &answer)
    }
}
