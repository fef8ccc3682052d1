//! A configuration as files in a folder: `base.jsonc`, `overlay/SITE.jsonc` and
//! client blocks in `blocks/NAME.txt`.

use std::ffi::OsStr;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::daemon::File;

/// A folder can't be read or written.
#[derive(Debug, Error)]
pub enum Error {
    /// A path can't be read.
    #[error("can't read {0}: {1}")]
    Read(String, io::Error),
    /// A path can't be written.
    #[error("can't write {0}: {1}")]
    Write(String, io::Error),
    /// A file's name from an instance leads out of the folder.
    #[error("the instance names a file {0}, which leads elsewhere; not written")]
    Name(String),
}

/// The files in force, as an instance gives them.
#[derive(Debug, Serialize, Deserialize)]
pub struct Config {
    /// Version in force; 0 if none.
    pub version: u64,
    /// Its files.
    pub files: Vec<File>,
}

/// File that holds the version that a folder was written from.
const VERSION_FILE: &str = ".version";

/// Subfolders, with the extension of the files in each.
const SUBFOLDERS: [(&str, &str); 2] = [("overlay", "jsonc"), ("blocks", "txt")];

/// Reads a folder's files; the base file alone may be named instead.
///
/// # Errors
/// If one can't be read.
pub fn read(path: &Path) -> Result<Vec<File>, Error> {
    if path.is_file() {
        return Ok(vec![file("base".to_owned(), path)?]);
    }
    let mut files = vec![file("base".to_owned(), &path.join("base.jsonc"))?];
    for (kind, ending) in SUBFOLDERS {
        let folder = path.join(kind);
        if folder.is_dir() {
            let stem = |path: &Path| format!("{kind}/{}", part(path.file_stem()));
            files.extend(list(&folder, ending, stem)?);
        }
    }
    Ok(files)
}

/// The version that a folder was written from, if it is recorded.
pub fn version(path: &Path) -> Option<u64> {
    let text = fs::read_to_string(path.join(VERSION_FILE)).ok()?;
    text.trim().parse().ok()
}

/// Writes the files in force into a folder, with their version.
///
/// # Errors
/// If one can't be written.
pub fn write(path: &Path, config: &Config) -> Result<(), Error> {
    clear(path)?;
    for file in &config.files {
        let target = place(path, &file.name)?;
        if let Some(folder) = target.parent() {
            fs::create_dir_all(folder).map_err(|e| unwritten(folder, e))?;
        }
        fs::write(&target, &file.text).map_err(|e| unwritten(&target, e))?;
    }
    let target = path.join(VERSION_FILE);
    fs::write(&target, format!("{}\n", config.version)).map_err(|e| unwritten(&target, e))
}

/// Removes overlays and blocks of an earlier version, which the next `apply` would put
/// in force again.
fn clear(path: &Path) -> Result<(), Error> {
    for (kind, ending) in SUBFOLDERS {
        let folder = path.join(kind);
        if !folder.is_dir() {
            continue;
        }
        for old in paths(&folder, ending)? {
            fs::remove_file(&old).map_err(|e| unwritten(&old, e))?;
        }
    }
    Ok(())
}

fn place(path: &Path, name: &str) -> Result<PathBuf, Error> {
    if name == "base" {
        return Ok(path.join("base.jsonc"));
    }
    for (kind, ending) in SUBFOLDERS {
        let Some(rest) = name.strip_prefix(kind).and_then(|r| r.strip_prefix('/')) else {
            continue;
        };
        if !rest.is_empty() && !rest.contains(['/', '\\']) && !rest.starts_with('.') {
            return Ok(path.join(kind).join(format!("{rest}.{ending}")));
        }
    }
    Err(Error::Name(name.to_owned()))
}

fn list(folder: &Path, ending: &str, name: impl Fn(&Path) -> String) -> Result<Vec<File>, Error> {
    let paths = paths(folder, ending)?;
    paths.iter().map(|path| file(name(path), path)).collect()
}

/// Files of a folder with this ending, sorted.
fn paths(folder: &Path, ending: &str) -> Result<Vec<PathBuf>, Error> {
    let entries = fs::read_dir(folder).map_err(|e| unread(folder, e))?;
    let mut paths = Vec::new();
    for entry in entries {
        let path = entry.map_err(|e| unread(folder, e))?.path();
        if path.extension() == Some(OsStr::new(ending)) {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

fn part(name: Option<&OsStr>) -> String {
    name.unwrap_or_default().to_string_lossy().into_owned()
}

fn file(name: String, path: &Path) -> Result<File, Error> {
    let text = fs::read_to_string(path).map_err(|e| unread(path, e))?;
    Ok(File { name, text })
}

fn unread(path: &Path, error: io::Error) -> Error {
    Error::Read(path.display().to_string(), error)
}

fn unwritten(path: &Path, error: io::Error) -> Error {
    Error::Write(path.display().to_string(), error)
}
