//! The deployments' files fit together.

use std::fs;
use std::path::PathBuf;

use intent::bundle::{Bundle, Checked, File};
use intent::instance::{Instance, Role};
use rstest::rstest;
use steer::version::view::{State, Version};

fn folder(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../deploy")
        .join(name)
}

fn read(path: &PathBuf) -> File {
    File {
        name: path.file_name().unwrap().to_str().unwrap().into(),
        text: fs::read_to_string(path).unwrap().into(),
    }
}

fn checked(name: &str) -> Checked {
    let folder = folder(name);
    let sites = fs::read_dir(folder.join("overlay")).unwrap();
    let bundle = Bundle {
        base: read(&folder.join("base.jsonc")),
        overlays: sites.map(|site| read(&site.unwrap().path())).collect(),
        blocks: Vec::new(),
    };
    bundle
        .check()
        .unwrap_or_else(|faults| panic!("{faults:#?}"))
}

fn instances(name: &str) -> Vec<Instance> {
    let text = fs::read_to_string(folder(name).join("instances.json")).unwrap();
    let list: serde_json::Value = serde_json::from_str(&text).unwrap();
    let items = list["instances"].as_array().unwrap();
    items.iter().map(instance).collect()
}

fn instance(item: &serde_json::Value) -> Instance {
    let text = |name: &str| item[name].as_str().unwrap().into();
    Instance {
        name: text("name"),
        domain: text("domain"),
        state: State::Live,
        role: Role::Target {
            addr: item["addr"].as_str().unwrap().parse().unwrap(),
            service: text("service"),
            site: text("site"),
            slots: 3,
        },
    }
}

#[rstest]
#[case::bluestone("bluestone", 2)]
#[case::tesfaye("tesfaye", 1)]
fn check_deployment(#[case] name: &str, #[case] overlays: usize) {
    assert_eq!(checked(name).overlays.len(), overlays);
}

#[rstest]
#[case::bluestone("bluestone")]
#[case::tesfaye("tesfaye")]
fn view_holds_all_targets(#[case] name: &str) {
    let plan = checked(name).base;
    let instances = instances(name);
    assert_eq!(plan.strangers(&instances), []);
    let view = plan.view(Version(1), &instances, &[]);
    for (service, data) in view.services.iter() {
        let own = view.targets.values().filter(|t| t.service == service);
        assert_eq!(own.count(), 12, "{}", data.name);
    }
}

/// The entry instances of a domain see its first site's overlay, others the base.
#[test]
fn plan_in_takes_overlay() {
    let checked = checked("bluestone");
    let deadline = |domain: &str| {
        let plan = checked.plan_in(domain);
        plan.services[plan.service("sheetview").unwrap()].deadline
    };
    assert_eq!(deadline("fnq-1").as_millis(), 3_000);
    assert_eq!(deadline("fnq-2").as_millis(), 2_000);
    assert_eq!(deadline("nowhere").as_millis(), 2_000);
}
