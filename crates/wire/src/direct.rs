//! What instances that steer straight to targets say to each other: heartbeats
//! as datagrams, and by call what one knows of the platform's store, for
//! another that can't read it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bincode::{DefaultOptions, Options};
use serde::{Deserialize, Serialize};
use steer::process::direct::{StoreContact, health, limit, members, quota, replica};
use thiserror::Error;

/// Bytes of a datagram that crosses any network unbroken.
pub const DATAGRAM_MAX: usize = 1200;

/// Targets named in one heartbeat: what fits a datagram beside the rest.
pub const IN_FLIGHT_MAX: usize = 70;

/// Targets named in one heartbeat that are slow or fail.
pub const OBSERVATIONS_MAX: usize = 30;

/// Requests named in one heartbeat that broke targets.
pub const SUSPECTS_MAX: usize = 16;

/// Thousandths in one.
const THOUSANDTHS: f64 = 1000.0;

/// A message that can't be read.
#[derive(Debug, Error)]
pub enum Error {
    /// Its bytes are none.
    #[error("the message can't be read: {0}; its sender may be of another release")]
    Bytes(#[from] bincode::Error),
    /// What was compressed can't be unpacked.
    #[error("the message can't be unpacked: {0}; its sender may be of another release")]
    Packed(#[from] lz4_flex::block::DecompressError),
    /// It would be too long.
    #[error("a message of {0} bytes unpacked; its sender may be of another release")]
    Size(usize),
}

/// Where an instance is reached, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub domain: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers call.
    pub peers: SocketAddr,
    /// Where heartbeats go.
    pub beats: SocketAddr,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    name: String,
    life: u64,
    seq: u64,
    leaving: bool,
    doubtful: bool,
    revision: u64,
    version: u64,
    row: Option<Registration>,
    flying: Vec<(Mark, u8)>,
    held: Vec<(Mark, Mark)>,
    struck: Vec<(Print, u8)>,
    /// Mark, requests failed, and slowness in eighths.
    troubles: Vec<(Mark, u8, u8)>,
    /// Mark, thousandths of a request a second, and milliseconds since then.
    limits: Vec<(Mark, Option<u32>, u32)>,
}

/// A hash. As bytes, since numbers are written in as few bytes as they need,
/// and a hash needs all of them and one more.
type Mark = [u8; 4];

/// A longer one.
type Print = [u8; 16];

/// Numbers in as few bytes as they need: most are small, heartbeats are sent a
/// hundred times a second in a small fleet, and what crosses regions is paid.
fn form() -> impl Options {
    DefaultOptions::new().with_limit(DATAGRAM_MAX as u64 * 2)
}

/// One item of the platform's store.
#[derive(Serialize, Deserialize)]
struct Item {
    key: String,
    revision: u64,
    value: Option<serde_bytes::ByteBuf>,
}

/// What an instance knows of the platform's store and another has missed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision up to which the receiver knows everything afterwards; 0 if the
    /// sender knows nothing.
    pub revision: u64,
    /// Milliseconds since the store confirmed it, as far as the sender knows;
    /// `None` if it never did.
    pub age_ms: Option<u32>,
    /// Milliseconds since which it has confirmed without a gap in which entries may
    /// have lapsed.
    span_ms: Option<u32>,
    /// Milliseconds since the moment at which everything that the store held is
    /// known here, at most; `None` if there is no such moment.
    stale_ms: Option<u32>,
    /// Milliseconds for which the question was kept waiting for this answer.
    held_ms: u32,
    /// Whether it is everything, in place of what has changed.
    whole: bool,
    /// The items, compressed: instances have narrow links, and one tells many.
    #[serde(with = "serde_bytes")]
    items: Vec<u8>,
}

/// Longest list of items before it is compressed, in bytes: far more than a
/// store of this kind holds, far less than an instance's memory.
const ITEMS_MAX: usize = 48 << 20;

impl Changes {
    /// For another instance.
    #[must_use]
    pub fn new(update: &replica::Update, contact: StoreContact) -> Self {
        let item = |item: &replica::Item| Item {
            key: item.key.as_ref().to_owned(),
            revision: item.revision,
            value: item.value.as_deref().map(|v| v.to_vec().into()),
        };
        let items: Vec<Item> = update.items.iter().map(item).collect();
        // Vectors and strings in memory can always be written.
        let plain = DefaultOptions::new().serialize(&items).unwrap_or_default();
        Self {
            revision: update.revision,
            age_ms: millis(contact.age),
            span_ms: millis(contact.span),
            stale_ms: None,
            held_ms: 0,
            whole: update.is_full,
            items: lz4_flex::compress_prepend_size(&plain),
        }
    }

    /// The same by a sender that now stands so to the store.
    #[must_use]
    pub fn confirmed(self, contact: StoreContact) -> Self {
        Self {
            age_ms: millis(contact.age),
            span_ms: millis(contact.span),
            ..self
        }
    }

    /// The same by a sender that knows all that the store held `stale` ago, after
    /// it has kept the question waiting.
    #[must_use]
    pub fn answered(self, stale: Option<Duration>, held: Duration) -> Self {
        Self {
            stale_ms: millis(stale),
            // Less is safe: the rest counts as time on the way.
            held_ms: u32::try_from(held.as_millis()).unwrap_or(0),
            ..self
        }
    }

    /// Time since everything that the store held is known, at most, if `span` lies
    /// between the question and now. How long the question and its answer were on
    /// their way isn't known, so all of that counts.
    #[must_use]
    pub fn staleness(&self, span: Duration) -> Option<Duration> {
        let stale = Duration::from_millis(self.stale_ms?.into());
        let held = Duration::from_millis(self.held_ms.into());
        Some(stale + span.saturating_sub(held))
    }

    /// Time since the store confirmed it.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.contact().age
    }

    /// How the sender stands to the store.
    #[must_use]
    pub fn contact(&self) -> StoreContact {
        let span = |ms: u32| Duration::from_millis(ms.into());
        StoreContact {
            age: self.age_ms.map(span),
            span: self.span_ms.map(span),
        }
    }
}

fn millis(age: Option<Duration>) -> Option<u32> {
    age.map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
}

impl TryFrom<Changes> for replica::Update {
    type Error = Error;

    fn try_from(changes: Changes) -> Result<Self, Error> {
        let (size, packed) = lz4_flex::block::uncompressed_size(&changes.items)?;
        if size > ITEMS_MAX {
            return Err(Error::Size(size));
        }
        let plain = lz4_flex::decompress(packed, size)?;
        let items: Vec<Item> = DefaultOptions::new().deserialize(&plain)?;
        let item = |item: Item| replica::Item {
            key: Arc::from(item.key),
            revision: item.revision,
            value: item.value.map(|v| Arc::from(v.into_vec())),
        };
        Ok(Self {
            revision: changes.revision,
            is_full: changes.whole,
            items: items.into_iter().map(item).collect(),
        })
    }
}

/// What instances send each other as datagrams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A sign of life.
    #[serde(rename = "Beat")]
    Heartbeat(Box<Heartbeat>),
    /// What an instance needs of teams' tokens.
    Report(Report),
    /// What it is given.
    Grant(Grant),
}

/// See [`quota::Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    name: String,
    life: u64,
    seq: u64,
    /// Whether it goes to the fleet's pool and not to the region's.
    fleet: bool,
    pool: u64,
    session: u64,
    counted: u32,
    /// Mark, held, received, want, urgent.
    needs: Vec<(Long, u32, u32, u32, u32)>,
}

/// See [`quota::Grant`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    name: String,
    life: u64,
    fleet: bool,
    to: u64,
    session: u64,
    /// Mark, total, keep, share, dry.
    given: Vec<(Long, u32, u32, u32, bool)>,
}

/// A long hash, as bytes.
type Long = [u8; 8];

impl Message {
    /// As bytes for a datagram.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        form().serialize(self).unwrap_or_default()
    }

    /// From a datagram.
    ///
    /// # Errors
    /// If it is none of these.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        Ok(form().deserialize(bytes)?)
    }
}

const fn level(fleet: bool) -> quota::Level {
    if fleet {
        quota::Level::Fleet
    } else {
        quota::Level::Region
    }
}

impl From<quota::Report> for Report {
    fn from(report: quota::Report) -> Self {
        let need = |n: quota::Need| {
            (
                n.team.to_le_bytes(),
                n.held,
                n.received,
                n.wanted,
                n.waiting,
            )
        };
        Self {
            name: report.name.as_ref().to_owned(),
            life: report.incarnation,
            seq: report.seq,
            fleet: report.level == quota::Level::Fleet,
            pool: report.pool_incarnation,
            session: report.session,
            counted: report.represented,
            needs: report.needs.into_iter().map(need).collect(),
        }
    }
}

impl From<Report> for quota::Report {
    fn from(report: Report) -> Self {
        let need = |(team, held, received, want, urgent): (Long, u32, u32, u32, u32)| quota::Need {
            team: u64::from_le_bytes(team),
            held,
            received,
            wanted: want,
            waiting: urgent,
        };
        Self {
            name: Arc::from(report.name),
            incarnation: report.life,
            seq: report.seq,
            level: level(report.fleet),
            pool_incarnation: report.pool,
            session: report.session,
            represented: report.counted,
            needs: report.needs.into_iter().map(need).collect(),
        }
    }
}

impl From<quota::Grant> for Grant {
    fn from(grant: quota::Grant) -> Self {
        let given = |g: quota::TeamGrant| {
            (
                g.team.to_le_bytes(),
                g.total,
                g.held_max,
                g.rate_milli,
                g.is_exhausted,
            )
        };
        Self {
            name: grant.name.as_ref().to_owned(),
            life: grant.incarnation,
            fleet: grant.level == quota::Level::Fleet,
            to: grant.recipient,
            session: grant.session,
            given: grant.grants.into_iter().map(given).collect(),
        }
    }
}

impl From<Grant> for quota::Grant {
    fn from(grant: Grant) -> Self {
        let given =
            |(team, total, keep, share, dry): (Long, u32, u32, u32, bool)| quota::TeamGrant {
                team: u64::from_le_bytes(team),
                total,
                held_max: keep,
                rate_milli: share,
                is_exhausted: dry,
            };
        Self {
            name: Arc::from(grant.name),
            incarnation: grant.life,
            level: level(grant.fleet),
            recipient: grant.to,
            session: grant.session,
            grants: grant.given.into_iter().map(given).collect(),
        }
    }
}

impl From<members::Registration> for Registration {
    fn from(row: members::Registration) -> Self {
        Self {
            region: row.region.as_ref().to_owned(),
            domain: row.domain.as_ref().to_owned(),
            callers: row.callers,
            peers: row.peers,
            beats: row.heartbeats,
        }
    }
}

impl From<Registration> for members::Registration {
    fn from(row: Registration) -> Self {
        Self {
            region: Arc::from(row.region),
            domain: Arc::from(row.domain),
            callers: row.callers,
            peers: row.peers,
            heartbeats: row.beats,
        }
    }
}

impl From<members::Heartbeat> for Heartbeat {
    fn from(beat: members::Heartbeat) -> Self {
        let mut flying = beat.in_flight;
        flying.truncate(IN_FLIGHT_MAX);
        let mut struck = beat.suspects;
        struck.truncate(SUSPECTS_MAX);
        let mut troubles = beat.observations;
        troubles.truncate(OBSERVATIONS_MAX);
        let trouble =
            |t: health::Observation| (t.target_hash.to_le_bytes(), t.failures, t.ratio_eighths);
        Self {
            name: beat.name.as_ref().to_owned(),
            life: beat.incarnation,
            seq: beat.seq,
            leaving: beat.is_leaving,
            doubtful: beat.is_stale,
            revision: beat.revision,
            version: beat.version,
            row: beat.registration.map(Into::into),
            flying: flying
                .into_iter()
                .map(|(t, n)| (t.to_le_bytes(), n))
                .collect(),
            held: beat
                .warm_objects
                .into_iter()
                .map(|(t, o)| (t.to_le_bytes(), o.to_le_bytes()))
                .collect(),
            struck: struck
                .into_iter()
                .map(|(r, n)| (r.to_le_bytes(), n))
                .collect(),
            troubles: troubles.into_iter().map(trouble).collect(),
            limits: beat.limits.into_iter().map(named).collect(),
        }
    }
}

impl From<Heartbeat> for members::Heartbeat {
    fn from(beat: Heartbeat) -> Self {
        let count = |(target, count)| (u32::from_le_bytes(target), count);
        let mut flying: Vec<(u32, u8)> = beat.flying.into_iter().map(count).collect();
        flying.sort_unstable();
        let held = |(target, object)| (u32::from_le_bytes(target), u32::from_le_bytes(object));
        let trouble = |(target, failures, ratio_eighths)| health::Observation {
            target_hash: u32::from_le_bytes(target),
            failures,
            ratio_eighths,
        };
        let mut troubles: Vec<_> = beat.troubles.into_iter().map(trouble).collect();
        troubles.sort_unstable();
        let named = |(mark, rate, age): (Mark, Option<u32>, u32)| limit::LimitReport {
            target_hash: u32::from_le_bytes(mark),
            rate: rate.map(|rate| f64::from(rate) / THOUSANDTHS),
            age: Duration::from_millis(age.into()),
        };
        let strikes = |(request, strikes)| (u128::from_le_bytes(request), strikes);
        Self {
            name: Arc::from(beat.name),
            incarnation: beat.life,
            seq: beat.seq,
            is_leaving: beat.leaving,
            is_stale: beat.doubtful,
            revision: beat.revision,
            version: beat.version,
            registration: beat.row.map(Into::into),
            in_flight: flying,
            warm_objects: beat.held.into_iter().map(held).collect(),
            suspects: beat.struck.into_iter().map(strikes).collect(),
            observations: troubles,
            limits: beat.limits.into_iter().map(named).collect(),
        }
    }
}

fn named(named: limit::LimitReport) -> (Mark, Option<u32>, u32) {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "saturates"
    )]
    let thousandths = |rate: f64| (rate * THOUSANDTHS) as u32;
    let age = u32::try_from(named.age.as_millis()).unwrap_or(u32::MAX);
    let mark = named.target_hash.to_le_bytes();
    (mark, named.rate.map(thousandths), age)
}
