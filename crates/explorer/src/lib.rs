//! Drives the decisions through seeded and exhaustive orders of events.
