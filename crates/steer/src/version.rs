//! What lives as long as one version of the configuration.

pub mod blocks;
pub mod lookup;
pub mod routes;
pub mod teams;
pub mod view;
