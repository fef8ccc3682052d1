//! Dense entity references and the maps they index.
//!
//! An entity reference is a `u32` index with a type of its own, so that a target can't
//! be mistaken for a service. Invariant: a reference is only valid for the
//! [`PrimaryMap`] that returned it, and so for one version of the configuration.

mod primary;
mod secondary;

pub use primary::PrimaryMap;
pub use secondary::SecondaryMap;

/// A typed index into a [`PrimaryMap`].
pub trait EntityRef: Copy + Eq + Ord {
    /// Makes a reference from an index.
    ///
    /// # Panics
    /// If the index doesn't fit 32 bits.
    fn new(index: usize) -> Self;

    /// Returns the index.
    fn index(self) -> usize;
}

/// Declares an entity reference that prints as its prefix and index (`target3`).
#[macro_export]
macro_rules! entity_ref {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $crate::EntityRef for $name {
            fn new(index: usize) -> Self {
                Self(u32::try_from(index).expect("an entity index fits 32 bits"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl ::core::fmt::Display for $name {
            fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl ::core::fmt::Debug for $name {
            fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                ::core::fmt::Display::fmt(self, f)
            }
        }
    };
}
