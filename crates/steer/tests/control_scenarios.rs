//! Scenarios of whole fleets in virtual time.
//!
//! Each file of `control_data` names the safeguards that it is about. With all
//! safeguards enabled its output has to match the file; with each named one
//! disabled it has to differ.

#[path = "control_scenarios/fleet.rs"]
mod fleet;
#[path = "control_scenarios/script.rs"]
mod script;

use std::path::Path;

use datadriven::TestCase;
use rstest::rstest;
use steer::process::control::Safeguards;
use steer::process::control::apply;

#[rstest]
fn scenario_holds(#[files("tests/control_data/*")] path: std::path::PathBuf) {
    let path = path.to_str().expect("a path in UTF-8");
    let mut results: Vec<(TestCase, String)> = Vec::new();
    datadriven::walk(path, |file| {
        let mut script = script::Script::new(Safeguards::default(), apply::Guards::default());
        file.run(|case| -> String {
            let output = script.step(case);
            results.push((case.clone(), output.clone()));
            output
        });
    });
    for name in safeguards(&results) {
        let is_different = differs_without(&name, &results);
        assert!(
            is_different,
            "{}: no difference without {name}",
            file_name(path)
        );
    }
}

fn safeguards(results: &[(TestCase, String)]) -> Vec<String> {
    let found = results
        .iter()
        .find(|(case, _)| case.directive == "safeguard");
    let (case, _) = found.expect("a file names its safeguards");
    case.args["off"].clone()
}

/// Whether some output differs with the safeguard disabled.
fn differs_without(name: &str, results: &[(TestCase, String)]) -> bool {
    let mut guards = Safeguards::default();
    let mut apply = apply::Guards::default();
    script::disable_safeguard(name, &mut guards, &mut apply);
    let mut script = script::Script::new(guards, apply);
    let mut is_different = false;
    for (case, expected) in results {
        let output = script.step(case);
        if output != *expected {
            let directive = &case.directive;
            println!("without {name}, `{directive}` gives:\n{output}instead of:\n{expected}");
            is_different = true;
        }
    }
    is_different
}

fn file_name(path: &str) -> String {
    let name = Path::new(path).file_name();
    name.unwrap_or_default().to_string_lossy().into_owned()
}
