//! What operators may ask, on a listener of their own.
//!
//! | call | answer |
//! |---|---|
//! | `GET /metrics` | the metrics, as text |
//! | `GET /dump` | the state of the process, as JSON |
//!
//! Every call wants `Authorization: Bearer SECRET`. The listener runs on the
//! control thread, so that it answers while traffic threads are overloaded.
//!
//! Invariant: nothing is answered, not even whether a path exists, before the
//! secret has been compared, in constant time.

use std::sync::Arc;

use settings::secret::Secret;
use subtle::ConstantTimeEq;
use trillium_http::{KnownHeaderName, Method, Status};

use super::accept::{Conn, Limits};
use super::control;
use super::engine::Engine;
use super::guarded::Bounds;
use super::metrics::Metrics;
use super::reply;

/// Longest body that operators may send: a whole configuration.
const BODY_MAX: u32 = 256 << 20;

/// What the operators' listener needs.
pub struct Operators {
    /// What callers of this listener must know.
    pub secret: Secret,
    /// The control thread.
    pub control: control::Handle,
    /// The traffic engine.
    pub engine: Arc<Engine>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// Bounds on the operators' listener.
#[must_use]
pub const fn limits(bounds: Bounds) -> Limits {
    Limits {
        bounds: Bounds {
            ahead: BODY_MAX as usize,
            ..bounds
        },
        head: 16 << 10,
        body: BODY_MAX as u64,
        connections: 64,
    }
}

impl Operators {
    /// Answers one call.
    pub async fn handle(self: Arc<Self>, mut conn: Conn) -> Conn {
        if !self.knows_secret(&conn) {
            conn.set_status(401);
            return conn;
        }
        let path = conn.path().to_owned();
        match (conn.method(), path.as_str()) {
            (Method::Get, "/metrics") => self.metrics(conn),
            (Method::Get, "/dump") => self.dump(conn),
            _ => {
                conn.set_status(404);
                conn
            }
        }
    }

    fn knows_secret(&self, conn: &Conn) -> bool {
        let given = conn
            .request_headers()
            .get_str(KnownHeaderName::Authorization);
        let given = given.and_then(|v| v.strip_prefix("Bearer "));
        given.is_some_and(|g| g.as_bytes().ct_eq(self.secret.bytes()).into())
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

    fn dump(&self, conn: Conn) -> Conn {
        reply::json(conn, Status::Ok, &self.control.dump())
    }
}
