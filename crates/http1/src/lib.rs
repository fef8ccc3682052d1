//! Server side of HTTP/1.1 without I/O: request parsing, pipelining and response
//! encoding.
//!
//! [`reader::Reader`] takes bytes as they arrive and returns complete requests, or
//! the fault that ends the connection. [`pipeline::Pipeline`] decides which request
//! may start, which response is written next, and when reading stops.
//! [`answer::encode`] encodes responses.
//!
//! Invariants: the same bytes yield the same requests, however they are split into
//! reads; no byte after a fault, or after a request that closes its connection, is
//! parsed as a request.

pub mod answer;
pub mod body;
pub mod fault;
pub mod head;
pub mod pipeline;
pub mod reader;
