//! Tables derived from one version of the configuration. They are never changed.

pub mod blocks;
pub mod lookup;
pub mod routes;
pub mod teams;
pub mod view;
