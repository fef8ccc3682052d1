//! Row of an instance in the platform's store, as JSON: its registration and its size.
//!
//! Invariant: a row without a size, or with one that can't be read, is a row whose size is
//! unknown, and its registration is used. Releases that know no sizes ignore their fields.

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use steer::process::direct::members;
use steer::process::direct::referral::size::Size;

use super::Registration;

/// Row of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    #[serde(flatten)]
    registration: Registration,
    /// Processor share in thousandths of a core.
    #[serde(
        default,
        deserialize_with = "readable",
        skip_serializing_if = "Option::is_none"
    )]
    millicores: Option<u32>,
    /// Link in kbit/s.
    #[serde(
        default,
        deserialize_with = "readable",
        skip_serializing_if = "Option::is_none"
    )]
    link_kbps: Option<u32>,
}

/// Reads a number; `None` for anything else.
fn readable<'de, D: Deserializer<'de>>(value: D) -> Result<Option<u32>, D::Error> {
    let number = Value::deserialize(value)?.as_u64();
    Ok(number.and_then(|n| u32::try_from(n).ok()))
}

impl From<(members::Registration, Option<Size>)> for Row {
    fn from((registration, size): (members::Registration, Option<Size>)) -> Self {
        Self {
            registration: registration.into(),
            millicores: size.map(Size::millicores),
            link_kbps: size.map(Size::link_kbps),
        }
    }
}

impl From<Row> for (members::Registration, Option<Size>) {
    fn from(row: Row) -> Self {
        let sizes = row.millicores.zip(row.link_kbps);
        let size = sizes.and_then(|(millicores, kbps)| Size::new(millicores, kbps));
        (row.registration.into(), size)
    }
}
