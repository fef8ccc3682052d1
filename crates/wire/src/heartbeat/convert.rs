//! Conversions between the messages of [`super`] and their twins in `steer`.
//!
//! Invariant: a message from a peer is only converted if its names and heads are
//! valid.

use core::time::Duration;
use std::sync::Arc;

use steer::clock::Time;
use steer::process::config::{self, RECENT};
use steer::process::control::message;
use steer::process::member::{self, table};
use steer::version::view;

use super::{
    Body, Change, Content, Digest, DomainHeartbeat, DomainSeen, File, Head, HealthSummary,
    Heartbeat, Lifecycle, Malformed, Message, NAME_MAX, Record, Stamp, Summary,
};

fn checked_name(name: String) -> Result<Arc<str>, Malformed> {
    if name.is_empty() || name.len() > NAME_MAX {
        return Err(Malformed::Name(name.len()));
    }
    Ok(name.into())
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

impl From<member::Stamp> for Stamp {
    fn from(stamp: member::Stamp) -> Self {
        Self {
            generation: stamp.generation,
            incarnation: stamp.incarnation.0.to_le_bytes(),
        }
    }
}

impl From<Stamp> for member::Stamp {
    fn from(stamp: Stamp) -> Self {
        Self {
            generation: stamp.generation,
            incarnation: view::Incarnation(u64::from_le_bytes(stamp.incarnation)),
        }
    }
}

impl From<member::Lifecycle> for Lifecycle {
    fn from(lifecycle: member::Lifecycle) -> Self {
        match lifecycle {
            member::Lifecycle::Live => Self::Live,
            member::Lifecycle::Leaving => Self::Leaving,
            member::Lifecycle::Released => Self::Released,
            member::Lifecycle::Dead => Self::Dead,
        }
    }
}

impl From<Lifecycle> for member::Lifecycle {
    fn from(lifecycle: Lifecycle) -> Self {
        match lifecycle {
            Lifecycle::Live => Self::Live,
            Lifecycle::Leaving => Self::Leaving,
            Lifecycle::Released => Self::Released,
            Lifecycle::Dead => Self::Dead,
        }
    }
}

impl From<&member::Record> for Record {
    fn from(record: &member::Record) -> Self {
        let identity = &record.identity;
        Self {
            name: identity.name.to_string(),
            domain: identity.domain.to_string(),
            addr: identity.addr,
            peer: identity.peer,
            stamp: record.stamp.into(),
            serial: record.serial,
            lifecycle: record.lifecycle.into(),
        }
    }
}

impl TryFrom<Record> for member::Record {
    type Error = Malformed;

    fn try_from(record: Record) -> Result<Self, Malformed> {
        let identity = member::Identity {
            name: checked_name(record.name)?,
            domain: checked_name(record.domain)?,
            addr: record.addr,
            peer: record.peer,
        };
        Ok(Self {
            identity,
            stamp: record.stamp.into(),
            serial: record.serial,
            lifecycle: record.lifecycle.into(),
        })
    }
}

impl From<member::HealthSummary> for HealthSummary {
    fn from(health: member::HealthSummary) -> Self {
        Self {
            version: health.version.0,
            load: health.load,
            store: health.store,
        }
    }
}

impl From<HealthSummary> for member::HealthSummary {
    fn from(health: HealthSummary) -> Self {
        Self {
            version: view::Version(health.version),
            load: health.load,
            store: health.store,
        }
    }
}

impl From<member::Summary> for Summary {
    fn from(summary: member::Summary) -> Self {
        Self {
            count: summary.count,
            oldest: summary.oldest.0,
            newest: summary.newest.0,
            load: summary.load,
        }
    }
}

impl From<Summary> for member::Summary {
    fn from(summary: Summary) -> Self {
        Self {
            count: summary.count,
            oldest: view::Version(summary.oldest),
            newest: view::Version(summary.newest),
            load: summary.load,
        }
    }
}

impl From<&message::DomainSeen> for DomainSeen {
    fn from(seen: &message::DomainSeen) -> Self {
        Self {
            domain: seen.domain.to_string(),
            age_ms: millis(seen.age),
        }
    }
}

impl TryFrom<DomainSeen> for message::DomainSeen {
    type Error = Malformed;

    fn try_from(seen: DomainSeen) -> Result<Self, Malformed> {
        Ok(Self {
            domain: checked_name(seen.domain)?,
            age: Duration::from_millis(seen.age_ms.into()),
        })
    }
}

impl From<&message::Heartbeat> for Heartbeat {
    fn from(heartbeat: &message::Heartbeat) -> Self {
        Self {
            health: heartbeat.health.into(),
            reply: heartbeat.reply,
            probe: heartbeat.probe.as_micros(),
            echo: heartbeat.echo.map(Time::as_micros),
            tombstone: heartbeat.tombstone,
            table_digest: heartbeat.table_digest.to_le_bytes(),
            domains_seen: heartbeat
                .domains_seen
                .iter()
                .map(DomainSeen::from)
                .collect(),
        }
    }
}

impl TryFrom<Heartbeat> for message::Heartbeat {
    type Error = Malformed;

    fn try_from(heartbeat: Heartbeat) -> Result<Self, Malformed> {
        let domains = heartbeat.domains_seen.into_iter().map(TryFrom::try_from);
        Ok(Self {
            health: heartbeat.health.into(),
            reply: heartbeat.reply,
            probe: Time::from_micros(heartbeat.probe),
            echo: heartbeat.echo.map(Time::from_micros),
            tombstone: heartbeat.tombstone,
            table_digest: u64::from_le_bytes(heartbeat.table_digest),
            domains_seen: domains.collect::<Result<_, _>>()?,
        })
    }
}

impl From<message::DomainHeartbeat> for DomainHeartbeat {
    fn from(heartbeat: message::DomainHeartbeat) -> Self {
        Self {
            summary: heartbeat.summary.into(),
            digest: heartbeat.digest.to_le_bytes(),
            reply: heartbeat.reply,
            probe: heartbeat.probe.as_micros(),
            echo: heartbeat.echo.map(Time::as_micros),
            tombstone: heartbeat.tombstone,
        }
    }
}

impl From<DomainHeartbeat> for message::DomainHeartbeat {
    fn from(heartbeat: DomainHeartbeat) -> Self {
        Self {
            summary: heartbeat.summary.into(),
            digest: u64::from_le_bytes(heartbeat.digest),
            reply: heartbeat.reply,
            probe: Time::from_micros(heartbeat.probe),
            echo: heartbeat.echo.map(Time::from_micros),
            tombstone: heartbeat.tombstone,
        }
    }
}

impl From<&table::Digest> for Digest {
    fn from(digest: &table::Digest) -> Self {
        Self {
            domain: digest.domain.to_string(),
            value: digest.value.to_le_bytes(),
        }
    }
}

impl TryFrom<Digest> for table::Digest {
    type Error = Malformed;

    fn try_from(digest: Digest) -> Result<Self, Malformed> {
        Ok(Self {
            domain: checked_name(digest.domain)?,
            value: u64::from_le_bytes(digest.value),
        })
    }
}

impl From<&config::Head> for Head {
    fn from(head: &config::Head) -> Self {
        let change = |c: &config::Change| Change {
            version: c.version.0,
            id: c.id.to_string(),
        };
        let file = |f: &config::File| File {
            name: f.name.to_string(),
            hash: f.hash.0,
        };
        Self {
            version: head.version.0,
            recent: head.recent.iter().map(change).collect(),
            files: head.files.iter().map(file).collect(),
        }
    }
}

impl TryFrom<Head> for config::Head {
    type Error = Malformed;

    fn try_from(head: Head) -> Result<Self, Malformed> {
        let version = head.version;
        if version == 0 || head.recent.is_empty() || head.recent.len() > RECENT {
            return Err(Malformed::Head(version));
        }
        if !head.files.is_sorted_by(|a, b| a.name < b.name) {
            return Err(Malformed::Order(version));
        }
        let change = |c: Change| {
            Ok(config::Change {
                version: view::Version(c.version),
                id: checked_name(c.id)?,
            })
        };
        let file = |f: File| {
            Ok(config::File {
                name: checked_name(f.name)?,
                hash: config::Hash(f.hash),
            })
        };
        Ok(Self {
            version: view::Version(version),
            recent: head
                .recent
                .into_iter()
                .map(change)
                .collect::<Result<_, _>>()?,
            files: head.files.into_iter().map(file).collect::<Result<_, _>>()?,
        })
    }
}

impl From<&config::Body> for Body {
    fn from(body: &config::Body) -> Self {
        Self {
            hash: body.hash.0,
            bytes: body.bytes.to_vec(),
        }
    }
}

impl From<Body> for config::Body {
    fn from(body: Body) -> Self {
        Self {
            hash: config::Hash(body.hash),
            bytes: body.bytes.into(),
        }
    }
}

impl From<&message::Content> for Content {
    fn from(content: &message::Content) -> Self {
        use message::Content as Inner;
        match content {
            Inner::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.into()),
            Inner::DomainHeartbeat(heartbeat) => Self::DomainHeartbeat((*heartbeat).into()),
            Inner::Sync(digests) => Self::Sync(digests.iter().map(Digest::from).collect()),
            Inner::RecordsRequest(domains) => {
                Self::RecordsRequest(domains.iter().map(ToString::to_string).collect())
            }
            Inner::Records(records) => {
                Self::Records(records.iter().map(|r| Record::from(&**r)).collect())
            }
            Inner::Superseded(stamp) => Self::Superseded((*stamp).into()),
            Inner::Succeeded(stamp) => Self::Succeeded((*stamp).into()),
            Inner::PeerQuery(name) => Self::PeerQuery(name.to_string()),
            Inner::PeerSeen { name, stamp, age } => Self::PeerSeen {
                name: name.to_string(),
                stamp: (*stamp).into(),
                age_ms: millis(*age),
            },
            Inner::Pull(version) => Self::Pull(version.0),
            Inner::Offer(head) => Self::Offer((&**head).into()),
            Inner::Fetch(hashes) => Self::Fetch(hashes.iter().map(|h| h.0).collect()),
            Inner::Bodies(bodies) => Self::Bodies(bodies.iter().map(Body::from).collect()),
        }
    }
}

impl TryFrom<Content> for message::Content {
    type Error = Malformed;

    fn try_from(content: Content) -> Result<Self, Malformed> {
        Ok(match content {
            Content::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.try_into()?),
            Content::DomainHeartbeat(heartbeat) => Self::DomainHeartbeat(heartbeat.into()),
            Content::Sync(digests) => Self::Sync(convert_all(digests)?),
            Content::RecordsRequest(domains) => Self::RecordsRequest(
                domains
                    .into_iter()
                    .map(checked_name)
                    .collect::<Result<_, _>>()?,
            ),
            Content::Records(records) => {
                let records: Vec<member::Record> = convert_all(records)?;
                Self::Records(records.into_iter().map(Arc::new).collect())
            }
            Content::Superseded(stamp) => Self::Superseded(stamp.into()),
            Content::Succeeded(stamp) => Self::Succeeded(stamp.into()),
            Content::PeerQuery(queried) => Self::PeerQuery(checked_name(queried)?),
            Content::PeerSeen {
                name: seen,
                stamp,
                age_ms,
            } => Self::PeerSeen {
                name: checked_name(seen)?,
                stamp: stamp.into(),
                age: Duration::from_millis(age_ms.into()),
            },
            Content::Pull(version) => Self::Pull(view::Version(version)),
            Content::Offer(head) => Self::Offer(Arc::new(head.try_into()?)),
            Content::Fetch(hashes) => Self::Fetch(hashes.into_iter().map(config::Hash).collect()),
            Content::Bodies(bodies) => {
                Self::Bodies(bodies.into_iter().map(config::Body::from).collect())
            }
        })
    }
}

/// Converts a list, or returns the first error.
fn convert_all<W, T: TryFrom<W, Error = Malformed>>(list: Vec<W>) -> Result<Vec<T>, Malformed> {
    list.into_iter().map(T::try_from).collect()
}

impl From<&message::Message> for Message {
    fn from(message: &message::Message) -> Self {
        Self {
            from: Record::from(&*message.from),
            content: Content::from(&message.content),
        }
    }
}

impl TryFrom<Message> for message::Message {
    type Error = Malformed;

    fn try_from(message: Message) -> Result<Self, Malformed> {
        Ok(Self {
            from: Arc::new(message.from.try_into()?),
            content: message.content.try_into()?,
        })
    }
}
