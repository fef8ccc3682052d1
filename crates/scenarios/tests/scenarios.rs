//! Runs each file of `scenarios/` as a test of its own.

use std::path::{Path, PathBuf};

use rstest::rstest;
use scenarios::script::Script;

#[rstest]
fn scenario(#[files("scenarios/*.txt")] path: PathBuf) {
    let name = path.file_stem().unwrap_or_default();
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let folder = path.parent().expect("the file is in a folder");
    let actor = Path::new(env!("CARGO_BIN_EXE_actor"));
    datadriven::walk(&path.display().to_string(), |file| {
        let mut script =
            Script::new(actor, folder, &dir).expect("the scenario's folder can be made");
        file.run(|case| script.run(case));
    });
}
