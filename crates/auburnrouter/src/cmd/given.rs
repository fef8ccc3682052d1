//! Input files of a command, sorted into kinds by their content.

use std::ffi::OsStr;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use intent::bundle::{self, Bundle};
use intent::document;
use jsonc::fault::{Fault, Kind, Place};
use jsonc::node::{Node, Value};
use settings::direct;
use thiserror::Error;

use super::files;

/// A path can't be read.
#[derive(Debug, Error)]
#[error("can't read {path}: {error}; check the path and its mode")]
pub struct Unread {
    path: String,
    error: io::Error,
}

/// Files by their kind, each with its path as its name.
#[derive(Debug, Default)]
pub struct InputFiles {
    /// Settings of processes.
    pub settings: Vec<bundle::File>,
    /// Settings of processes on the users' platform.
    pub direct: Vec<bundle::File>,
    bases: Vec<bundle::File>,
    overlays: Vec<bundle::File>,
    blocks: Vec<bundle::File>,
}

/// Fields that only settings have.
const SETTINGS_FIELDS: [&str; 7] = [
    "name", "domain", "listen", "seeds", "store", "limits", "log",
];

/// Subfolders of a configuration, with the extension of the files in each.
const SUBFOLDERS: [(&str, &str); 4] = [
    ("", "jsonc"),
    ("", "txt"),
    ("overlay", "jsonc"),
    ("blocks", "txt"),
];

/// Whether fields are those of settings on the users' platform. Some fields are
/// in both kinds of settings; each kind has more of its own.
#[must_use]
pub fn is_direct(names: &[&str]) -> bool {
    let count = |known: &[&str]| names.iter().filter(|name| known.contains(name)).count();
    let direct = count(&direct::SETTINGS_FIELDS);
    direct > count(&SETTINGS_FIELDS) && direct * 2 > names.len()
}

/// Field that only overlays have.
const SITE_FIELD: &str = "site";

impl InputFiles {
    /// Reads paths: files of any kind, or folders as `apply` takes them.
    ///
    /// # Errors
    /// If one can't be read.
    pub fn read(paths: &[PathBuf]) -> Result<Self, Unread> {
        let mut given = Self::default();
        for path in paths {
            if path.is_dir() {
                given.read_folder(path)?;
            } else {
                given.take(path)?;
            }
        }
        Ok(given)
    }

    fn read_folder(&mut self, path: &Path) -> Result<(), Unread> {
        for (folder, ending) in SUBFOLDERS {
            let folder = if folder.is_empty() {
                path.to_path_buf()
            } else {
                path.join(folder)
            };
            if !folder.is_dir() {
                continue;
            }
            for file in list(&folder, ending)? {
                self.take(&file)?;
            }
        }
        Ok(())
    }

    fn take(&mut self, path: &Path) -> Result<(), Unread> {
        let text = fs::read_to_string(path).map_err(|error| unread(path, error))?;
        let file = bundle::File {
            name: path.display().to_string().into(),
            text: text.into(),
        };
        self.kind(path, &file).push(file);
        Ok(())
    }

    /// Block files go by their ending; the others by their fields, since a
    /// misplaced file should be told its faults and not another kind's.
    fn kind(&mut self, path: &Path, file: &bundle::File) -> &mut Vec<bundle::File> {
        if path.extension() == Some(OsStr::new("txt")) {
            return &mut self.blocks;
        }
        let root = jsonc::parse(&file.name, &file.text).ok();
        let names = root.as_ref().map_or(Vec::new(), fields);
        let own = names
            .iter()
            .filter(|name| SETTINGS_FIELDS.contains(name))
            .count();
        if names.contains(&SITE_FIELD) {
            return &mut self.overlays;
        }
        if is_direct(&names) {
            return &mut self.direct;
        }
        if own * 2 > names.len() {
            return &mut self.settings;
        }
        &mut self.bases
    }

    /// The configuration among the files; `None` if there is none.
    ///
    /// # Errors
    /// There is no base file for it, or more than one.
    pub fn bundle(self) -> Result<Option<Bundle>, Vec<Fault>> {
        let mut bases = self.bases.into_iter();
        let Some(base) = bases.next() else {
            let orphans = self.overlays.iter().chain(&self.blocks);
            let faults: Vec<Fault> = orphans.map(orphan).collect();
            return if faults.is_empty() {
                Ok(None)
            } else {
                Err(faults)
            };
        };
        let more: Vec<Fault> = bases.map(|other| second(&other, &base)).collect();
        if !more.is_empty() {
            return Err(more);
        }
        Ok(Some(Bundle {
            base,
            overlays: self.overlays,
            blocks: self.blocks,
        }))
    }
}

/// Names of a file's fields; none if it isn't an object.
#[must_use]
pub fn fields(root: &Node) -> Vec<&str> {
    match &root.value {
        Value::Object(fields) => fields.iter().map(|f| &*f.name).collect(),
        _ => Vec::new(),
    }
}

fn orphan(file: &bundle::File) -> Fault {
    Fault::new(
        &Place::start(&file.name),
        Kind::Missing,
        "no base file is given for this one",
        "name the base file besides, or the whole folder",
    )
}

fn second(file: &bundle::File, first: &bundle::File) -> Fault {
    Fault::new(
        &Place::start(&file.name),
        Kind::Duplicate,
        format!("a second base file besides {}", first.name),
        "check them one at a time; an overlay says whose it is by \"site\"",
    )
}

/// The configuration in force at an instance; `None` if there is none.
#[must_use]
pub fn in_force(config: &files::Config) -> Option<Bundle> {
    let mut base = None;
    let mut overlays = Vec::new();
    let mut blocks = Vec::new();
    for file in config.files.iter().map(bundle::File::from) {
        if &*file.name == document::BASE {
            base = Some(file);
        } else if file.name.starts_with(document::OVERLAY) {
            overlays.push(file);
        } else {
            blocks.push(file);
        }
    }
    Some(Bundle {
        base: base?,
        overlays,
        blocks,
    })
}

fn list(folder: &Path, ending: &str) -> Result<Vec<PathBuf>, Unread> {
    let entries = fs::read_dir(folder).map_err(|error| unread(folder, error))?;
    let mut paths = Vec::new();
    for entry in entries {
        let path = entry.map_err(|error| unread(folder, error))?.path();
        if path.extension() == Some(OsStr::new(ending)) && path.is_file() {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

fn unread(path: &Path, error: io::Error) -> Unread {
    Unread {
        path: path.display().to_string(),
        error,
    }
}
