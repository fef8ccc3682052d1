//! Adapter to the platform's key-value service, behind a small trait.
