//! What goes wrong in a scenario apart from what it expects.

use std::io;

/// Why a directive has no output.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An argument is missing or can't be read.
    #[error("{0}")]
    Argument(#[from] datadriven::DataDrivenError),
    /// There is no such directive.
    #[error("no directive `{0}`")]
    Directive(String),
    /// Nothing of this name was started, or it has ended.
    #[error("no process `{0}` runs; start it first")]
    Unknown(String),
    /// A file or process can't be worked with.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A process did not become ready.
    #[error("`{name}` did not become ready; it said: {said}")]
    NotReady {
        /// Its name.
        name: String,
        /// What it printed first.
        said: String,
    },
    /// No whole answer came.
    #[error("no whole answer: {0}")]
    Http(String),
    /// Something lasted longer than [`crate::BOUND`].
    #[error("{0} did not end in time")]
    Late(String),
}
