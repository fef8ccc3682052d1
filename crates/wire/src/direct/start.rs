//! Messages by which instances that start find each other.
//!
//! Invariant: fields are encoded by position. Their order and types are part of the
//! protocol.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use steer::process::direct::starters;

/// Twin of [`starters::Starter`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Starter {
    name: String,
    domain: String,
    peers: SocketAddr,
}

/// Twin of [`starters::StartPlace`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartPlace {
    above: u32,
    others: u32,
    sources: Vec<(String, SocketAddr)>,
}

impl From<&starters::Starter> for Starter {
    fn from(starter: &starters::Starter) -> Self {
        Self {
            name: starter.name.as_ref().to_owned(),
            domain: starter.domain.as_ref().to_owned(),
            peers: starter.peers,
        }
    }
}

impl From<Starter> for starters::Starter {
    fn from(starter: Starter) -> Self {
        Self {
            name: Arc::from(starter.name),
            domain: Arc::from(starter.domain),
            peers: starter.peers,
        }
    }
}

impl From<starters::StartPlace> for StartPlace {
    fn from(place: starters::StartPlace) -> Self {
        let source = |(name, addr): (Arc<str>, SocketAddr)| (name.as_ref().to_owned(), addr);
        Self {
            above: u32::try_from(place.above).unwrap_or(u32::MAX),
            others: u32::try_from(place.others).unwrap_or(u32::MAX),
            sources: place.sources.into_iter().map(source).collect(),
        }
    }
}

impl From<StartPlace> for starters::StartPlace {
    fn from(place: StartPlace) -> Self {
        let source = |(name, addr): (String, SocketAddr)| (Arc::from(name), addr);
        Self {
            above: usize::try_from(place.above).unwrap_or(usize::MAX),
            others: usize::try_from(place.others).unwrap_or(usize::MAX),
            sources: place.sources.into_iter().map(source).collect(),
        }
    }
}
