//! Messages between instances that send requests directly to targets.
//!
//! Heartbeats, quota reports and grants are datagrams. [`Changes`] is the answer of
//! a call: items of the platform's store for an instance that can't read the store.
//!
//! Invariant: fields and variants are encoded by position. Their order and types are
//! part of the protocol.

pub mod caller_rate;
pub mod regions;
pub mod relay;
pub mod row;
pub mod start;
pub mod suspects;
pub mod target_loads;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bincode::{DefaultOptions, Options};
use serde::{Deserialize, Serialize};
use steer::process::direct::{StoreContact, health, limit, members, notice, quota, replica};
use thiserror::Error;

/// Intended largest size of a datagram in bytes, at which usual networks don't fragment it.
/// Encoding and decoding fail only above twice this size.
pub const DATAGRAM_MAX: usize = 1200;

/// Largest number of targets with in-flight counts in one heartbeat, so that the
/// heartbeat fits a datagram.
pub const IN_FLIGHT_MAX: usize = members::IN_FLIGHT_MAX;

/// Largest number of observations of slow or failing targets in one heartbeat.
pub const OBSERVATIONS_MAX: usize = 30;

/// Largest number of suspects in one heartbeat: requests during which targets broke
/// off.
pub const SUSPECTS_MAX: usize = 16;

/// Encoded steps per unit of a rate.
const RATE_STEPS: f64 = 1000.0;

/// Errors in decoding a message.
#[derive(Debug, Error)]
pub enum Error {
    /// The bytes are not a message.
    #[error("the message can't be read: {0}; its sender may be of another release")]
    Bytes(#[from] bincode::Error),
    /// The compressed items can't be decompressed.
    #[error("the message can't be unpacked: {0}; its sender may be of another release")]
    Packed(#[from] lz4_flex::block::DecompressError),
    /// The decompressed items would be longer than [`ITEMS_MAX`]; in bytes.
    #[error("a message of {0} bytes unpacked; its sender may be of another release")]
    Size(usize),
}

/// Addresses and location of an instance, as registered in the platform's store (as
/// JSON, in a [`row::Row`]) and sent in some heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Region of the instance.
    pub region: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for calls of peers.
    pub peers: SocketAddr,
    /// Address for heartbeats.
    #[serde(rename = "beats")]
    pub heartbeats: SocketAddr,
}

/// Twin of [`members::Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    name: String,
    #[serde(rename = "life")]
    incarnation: u64,
    seq: u64,
    #[serde(rename = "leaving")]
    is_leaving: bool,
    #[serde(rename = "doubtful")]
    is_stale: bool,
    revision: u64,
    version: u64,
    #[serde(rename = "row")]
    registration: Option<Registration>,
    /// Target hash and requests in flight; sorted when read.
    #[serde(rename = "flying")]
    in_flight: Vec<(ShortHash, u8)>,
    /// Target hash and object hash.
    #[serde(rename = "held")]
    warm_objects: Vec<(ShortHash, ShortHash)>,
    /// Request fingerprint and strikes.
    #[serde(rename = "struck")]
    suspects: Vec<(Fingerprint, u8)>,
    /// Target hash, failed requests, and latency ratio in eighths.
    #[serde(rename = "troubles")]
    observations: Vec<(ShortHash, u8, u8)>,
    /// Target hash, thousandths of a request a second, and milliseconds since the
    /// target reported it.
    limits: Vec<(ShortHash, Option<u32>, u32)>,
}

/// 32-bit hash as little-endian bytes. A variable-length integer would take one byte
/// more, since a hash uses its whole range.
type ShortHash = [u8; 4];

/// 128-bit fingerprint of a request as little-endian bytes.
type Fingerprint = [u8; 16];

/// Encoding with variable-length integers: most numbers are small, a small fleet sends
/// a hundred heartbeats a second, and bytes between regions are paid for.
fn codec() -> impl Options {
    DefaultOptions::new().with_limit(DATAGRAM_MAX as u64 * 2)
}

/// Twin of [`replica::Item`].
#[derive(Serialize, Deserialize)]
struct Item {
    key: String,
    revision: u64,
    value: Option<serde_bytes::ByteBuf>,
}

/// Items of the platform's store that the receiver lacks, with the age of the sender's
/// contact with the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision up to which the receiver has every item after applying the changes; 0
    /// if the sender has none.
    pub revision: u64,
    /// Milliseconds since the store's last answer, as far as the sender knows; `None`
    /// if there was none.
    pub age_ms: Option<u32>,
    /// Milliseconds for which the store has answered without a gap in which entries
    /// may have expired.
    span_ms: Option<u32>,
    /// Upper bound of the sender's staleness: milliseconds since a time up to which it
    /// has everything that the store held; `None` if there is no such time.
    stale_ms: Option<u32>,
    /// Milliseconds for which the sender delayed this answer.
    #[serde(rename = "held_ms")]
    delay_ms: u32,
    /// Whether this is a full snapshot and not only changes.
    #[serde(rename = "whole")]
    is_full: bool,
    /// Items, encoded and compressed: links are narrow, and one instance serves many.
    #[serde(with = "serde_bytes")]
    items: Vec<u8>,
}

/// Largest list of items before compression, in bytes: far more than the platform's
/// store holds, far less than an instance's memory.
const ITEMS_MAX: usize = 48 << 20;

impl Changes {
    /// Encodes an update for another instance; the staleness stays unknown until
    /// [`Changes::answered`].
    #[must_use]
    pub fn new(update: &replica::Update, contact: StoreContact) -> Self {
        let item = |item: &replica::Item| Item {
            key: item.key.as_ref().to_owned(),
            revision: item.revision,
            value: item.value.as_deref().map(|v| v.to_vec().into()),
        };
        let items: Vec<Item> = update.items.iter().map(item).collect();
        // Encoding vectors and strings can't fail.
        let plain = DefaultOptions::new().serialize(&items).unwrap_or_default();
        Self {
            revision: update.revision,
            age_ms: millis(contact.age),
            span_ms: millis(contact.span),
            stale_ms: None,
            delay_ms: 0,
            is_full: update.is_full,
            items: lz4_flex::compress_prepend_size(&plain),
        }
    }

    /// Replaces the sender's contact with the store by a newer one.
    #[must_use]
    pub fn confirmed(self, contact: StoreContact) -> Self {
        Self {
            age_ms: millis(contact.age),
            span_ms: millis(contact.span),
            ..self
        }
    }

    /// Sets the sender's staleness and the time for which it delayed the answer.
    #[must_use]
    pub fn answered(self, stale: Option<Duration>, delay: Duration) -> Self {
        Self {
            stale_ms: millis(stale),
            // A smaller value is safe: the receiver counts the rest as time in transit.
            delay_ms: u32::try_from(delay.as_millis()).unwrap_or(0),
            ..self
        }
    }

    /// Upper bound of the receiver's staleness, `span` after it sent the question.
    /// `None` if the sender gave no bound. The transit times in each direction are
    /// unknown, so all of `span` but the sender's delay counts.
    #[must_use]
    pub fn staleness(&self, span: Duration) -> Option<Duration> {
        let stale = Duration::from_millis(self.stale_ms?.into());
        let delay = Duration::from_millis(self.delay_ms.into());
        Some(stale + span.saturating_sub(delay))
    }

    /// Time since the store's last answer to the sender.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.contact().age
    }

    /// Contact of the sender with the store.
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
            report: None,
        };
        Ok(Self {
            revision: changes.revision,
            is_full: changes.is_full,
            since: None,
            items: items.into_iter().map(item).collect(),
        })
    }
}

/// Datagram between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat; boxed because it is much larger than the other kinds.
    #[serde(rename = "Beat")]
    Heartbeat(Box<Heartbeat>),
    /// Quota tokens that an instance holds and needs.
    Report(Report),
    /// Quota tokens that a pool grants.
    Grant(Grant),
    /// What targets have asked of the sender.
    Notices(Notices),
    /// What the sender holds against requests that crash targets.
    Suspects(suspects::Suspects),
    /// Requests a permit to run a suspect, or releases one.
    PermitRequest(suspects::PermitRequest),
    /// Reply to such a request.
    PermitReply(suspects::PermitReply),
    /// Requests that the sender has at targets, while a service is short.
    TargetLoads(target_loads::TargetLoads),
    /// Rate of callers' requests at the sender.
    CallerRate(caller_rate::CallerRate),
    /// Loads of the sender's region.
    RegionLoads(regions::RegionLoads),
}

/// Twins of [`notice::TargetNotice`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notices {
    /// Target hash, incarnation, milliseconds left of a backoff, and whether the target
    /// is about to stop.
    notices: Vec<(ShortHash, u64, u32, bool)>,
}

impl From<Vec<notice::TargetNotice>> for Notices {
    fn from(notices: Vec<notice::TargetNotice>) -> Self {
        let encode = |notice: notice::TargetNotice| {
            (
                notice.target_hash.to_le_bytes(),
                notice.incarnation,
                u32::try_from(notice.backoff.as_millis()).unwrap_or(u32::MAX),
                notice.is_leaving,
            )
        };
        Self {
            notices: notices.into_iter().map(encode).collect(),
        }
    }
}

impl From<Notices> for Vec<notice::TargetNotice> {
    fn from(notices: Notices) -> Self {
        let decode = |(hash, incarnation, millis, is_leaving): (ShortHash, u64, u32, bool)| {
            notice::TargetNotice {
                target_hash: u32::from_le_bytes(hash),
                incarnation,
                backoff: Duration::from_millis(millis.into()),
                is_leaving,
            }
        };
        notices.notices.into_iter().map(decode).collect()
    }
}

/// Twin of [`quota::Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    name: String,
    #[serde(rename = "life")]
    incarnation: u64,
    seq: u64,
    /// Whether the report goes to the fleet's pool and not to the region's.
    #[serde(rename = "fleet")]
    is_fleet: bool,
    #[serde(rename = "pool")]
    pool_incarnation: u64,
    session: u64,
    #[serde(rename = "counted")]
    represented: u32,
    /// Team hash and tokens held, received, wanted and waited for, as in
    /// [`quota::Need`].
    needs: Vec<(TeamHash, u32, u32, u32, u32)>,
}

/// Twin of [`quota::Grant`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    name: String,
    #[serde(rename = "life")]
    incarnation: u64,
    #[serde(rename = "fleet")]
    is_fleet: bool,
    #[serde(rename = "to")]
    recipient: u64,
    session: u64,
    /// Team hash, total, largest number held, rate in thousandths a second, and
    /// whether the pool is exhausted, as in [`quota::TeamGrant`].
    #[serde(rename = "given")]
    grants: Vec<(TeamHash, u32, u32, u32, bool)>,
}

/// 64-bit hash of a team's name as little-endian bytes.
type TeamHash = [u8; 8];

impl Message {
    /// Encodes the message for a datagram.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        codec().serialize(self).unwrap_or_default()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// [`Error::Bytes`] if the bytes are not a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        Ok(codec().deserialize(bytes)?)
    }
}

const fn level(is_fleet: bool) -> quota::Level {
    if is_fleet {
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
            incarnation: report.incarnation,
            seq: report.seq,
            is_fleet: report.level == quota::Level::Fleet,
            pool_incarnation: report.pool_incarnation,
            session: report.session,
            represented: report.represented,
            needs: report.needs.into_iter().map(need).collect(),
        }
    }
}

impl From<Report> for quota::Report {
    fn from(report: Report) -> Self {
        let need =
            |(team, held, received, wanted, waiting): (TeamHash, u32, u32, u32, u32)| quota::Need {
                team: u64::from_le_bytes(team),
                held,
                received,
                wanted,
                waiting,
            };
        Self {
            name: Arc::from(report.name),
            incarnation: report.incarnation,
            seq: report.seq,
            level: level(report.is_fleet),
            pool_incarnation: report.pool_incarnation,
            session: report.session,
            represented: report.represented,
            needs: report.needs.into_iter().map(need).collect(),
        }
    }
}

impl From<quota::Grant> for Grant {
    fn from(grant: quota::Grant) -> Self {
        let team_grant = |g: quota::TeamGrant| {
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
            incarnation: grant.incarnation,
            is_fleet: grant.level == quota::Level::Fleet,
            recipient: grant.recipient,
            session: grant.session,
            grants: grant.grants.into_iter().map(team_grant).collect(),
        }
    }
}

impl From<Grant> for quota::Grant {
    fn from(grant: Grant) -> Self {
        let team_grant = |(team, total, held, rate, exhausted): (TeamHash, u32, u32, u32, bool)| {
            quota::TeamGrant {
                team: u64::from_le_bytes(team),
                total,
                held_max: held,
                rate_milli: rate,
                is_exhausted: exhausted,
            }
        };
        Self {
            name: Arc::from(grant.name),
            incarnation: grant.incarnation,
            level: level(grant.is_fleet),
            recipient: grant.recipient,
            session: grant.session,
            grants: grant.grants.into_iter().map(team_grant).collect(),
        }
    }
}

impl From<members::Registration> for Registration {
    fn from(registration: members::Registration) -> Self {
        Self {
            region: registration.region.as_ref().to_owned(),
            domain: registration.domain.as_ref().to_owned(),
            callers: registration.callers,
            peers: registration.peers,
            heartbeats: registration.heartbeats,
        }
    }
}

impl From<Registration> for members::Registration {
    fn from(registration: Registration) -> Self {
        Self {
            region: Arc::from(registration.region),
            domain: Arc::from(registration.domain),
            callers: registration.callers,
            peers: registration.peers,
            heartbeats: registration.heartbeats,
        }
    }
}

impl From<members::Heartbeat> for Heartbeat {
    fn from(heartbeat: members::Heartbeat) -> Self {
        let mut in_flight = heartbeat.in_flight;
        in_flight.truncate(IN_FLIGHT_MAX);
        let mut suspects = heartbeat.suspects;
        suspects.truncate(SUSPECTS_MAX);
        let mut observations = heartbeat.observations;
        observations.truncate(OBSERVATIONS_MAX);
        let observation =
            |t: health::Observation| (t.target_hash.to_le_bytes(), t.failures, t.ratio_eighths);
        Self {
            name: heartbeat.name.as_ref().to_owned(),
            incarnation: heartbeat.incarnation,
            seq: heartbeat.seq,
            is_leaving: heartbeat.is_leaving,
            is_stale: heartbeat.is_stale,
            revision: heartbeat.revision,
            version: heartbeat.version,
            registration: heartbeat.registration.map(Into::into),
            in_flight: in_flight
                .into_iter()
                .map(|(t, n)| (t.to_le_bytes(), n))
                .collect(),
            warm_objects: heartbeat
                .warm_objects
                .into_iter()
                .map(|(t, o)| (t.to_le_bytes(), o.to_le_bytes()))
                .collect(),
            suspects: suspects
                .into_iter()
                .map(|(r, n)| (r.to_le_bytes(), n))
                .collect(),
            observations: observations.into_iter().map(observation).collect(),
            limits: heartbeat.limits.into_iter().map(encode_limit).collect(),
        }
    }
}

impl From<Heartbeat> for members::Heartbeat {
    fn from(heartbeat: Heartbeat) -> Self {
        let count = |(target, count)| (u32::from_le_bytes(target), count);
        let mut in_flight: Vec<(u32, u8)> = heartbeat.in_flight.into_iter().map(count).collect();
        in_flight.sort_unstable();
        let warm_object =
            |(target, object)| (u32::from_le_bytes(target), u32::from_le_bytes(object));
        let observation = |(target, failures, ratio_eighths)| health::Observation {
            target_hash: u32::from_le_bytes(target),
            failures,
            ratio_eighths,
        };
        let mut observations: Vec<_> = heartbeat
            .observations
            .into_iter()
            .map(observation)
            .collect();
        observations.sort_unstable();
        let limit = |(hash, rate, age): (ShortHash, Option<u32>, u32)| limit::LimitReport {
            target_hash: u32::from_le_bytes(hash),
            rate: rate.map(|rate| f64::from(rate) / RATE_STEPS),
            age: Duration::from_millis(age.into()),
        };
        let suspect = |(request, strikes)| (u128::from_le_bytes(request), strikes);
        Self {
            name: Arc::from(heartbeat.name),
            incarnation: heartbeat.incarnation,
            seq: heartbeat.seq,
            is_leaving: heartbeat.is_leaving,
            is_stale: heartbeat.is_stale,
            revision: heartbeat.revision,
            version: heartbeat.version,
            registration: heartbeat.registration.map(Into::into),
            in_flight,
            warm_objects: heartbeat
                .warm_objects
                .into_iter()
                .map(warm_object)
                .collect(),
            suspects: heartbeat.suspects.into_iter().map(suspect).collect(),
            observations,
            limits: heartbeat.limits.into_iter().map(limit).collect(),
        }
    }
}

fn encode_limit(report: limit::LimitReport) -> (ShortHash, Option<u32>, u32) {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "saturates"
    )]
    let thousandths = |rate: f64| (rate * RATE_STEPS) as u32;
    let age = u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX);
    let hash = report.target_hash.to_le_bytes();
    (hash, report.rate.map(thousandths), age)
}
