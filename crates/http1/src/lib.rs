//! The callers' side of HTTP/1.1 without I/O: bytes to requests, the order of a
//! pipeline, answers to bytes.
//!
//! [`reader::Reader`] takes bytes as they come and gives whole requests or the
//! fault for which the connection ends. [`pipeline::Pipeline`] says which
//! request may start, which answer is due, and when reading stops.
//! [`answer::encode`] writes answers.
//!
//! Invariants: the same bytes give the same requests however they are cut; no
//! byte behind a fault, or behind a request that closes its connection, becomes
//! a request.

pub mod answer;
pub mod body;
pub mod fault;
pub mod head;
pub mod pipeline;
pub mod reader;
