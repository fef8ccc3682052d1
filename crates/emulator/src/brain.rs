//! Who decides: the product, or something to compare it with.
//!
//! The ceiling knows every target's slots, objects and faults at once, without
//! a delay of news, and holds all requests in one queue. It is greedy: it takes
//! the best place for the most urgent request now and plans nothing ahead, so a
//! policy could in principle beat it on a day, but none that knows less has.

use std::str::FromStr;

use steer::process::direct::mechanisms::{Mechanisms, Unknown};
use thiserror::Error;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Brain {
    /// The product, with some mechanisms.
    Product(Mechanisms),
    /// Everything is known at once; `bound`: the share of a region's requests
    /// elsewhere changes no faster than the operator allows.
    Ceiling {
        /// Whether the operator's bound on shifts holds.
        bound: bool,
    },
    /// The target of the own region with the fewest requests, by true counts.
    Least,
    /// The targets of the own region in turn.
    Turn,
}

/// It names nobody who decides.
#[derive(Debug, Error)]
pub enum Error {
    /// Nobody of that name.
    #[error("nobody is called \"{0}\"; known are product, ceiling, ceiling-free, least, turn")]
    Name(String),
    /// No such mechanism.
    #[error(transparent)]
    Mechanism(#[from] Unknown),
}

impl FromStr for Brain {
    type Err = Error;

    /// `product`, `product-affinity-vain`, `ceiling`, …
    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "ceiling" => return Ok(Self::Ceiling { bound: true }),
            "ceiling-free" => return Ok(Self::Ceiling { bound: false }),
            "least" => return Ok(Self::Least),
            "turn" => return Ok(Self::Turn),
            _ => {}
        }
        let mut words = text.split('-');
        if words.next() != Some("product") {
            return Err(Error::Name(text.to_owned()));
        }
        let mut mechanisms = Mechanisms::ALL;
        for name in words {
            mechanisms = mechanisms.without(name)?;
        }
        Ok(Self::Product(mechanisms))
    }
}
