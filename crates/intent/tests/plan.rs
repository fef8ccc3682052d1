//! The deployments' base files, and views made from them.

use std::sync::Arc;

use intent::instance::{Instance, Role, Stranger};
use intent::plan::Plan;
use rstest::rstest;
use steer::version::view::{State, Version};

const BLUESTONE: &str = include_str!("../../../deploy/bluestone/base.jsonc");
const TESFAYE: &str = include_str!("../../../deploy/tesfaye/base.jsonc");

fn target(name: &str, site: &str, service: &str) -> Instance {
    Instance {
        name: name.into(),
        domain: "seq-1".into(),
        state: State::Live,
        role: Role::Target {
            addr: "127.0.0.1:9000".parse().unwrap(),
            service: service.into(),
            site: site.into(),
            slots: 3,
        },
    }
}

#[rstest]
#[case::bluestone(BLUESTONE)]
#[case::tesfaye(TESFAYE)]
fn parse_deployment(#[case] text: &str) {
    let plan = Plan::parse("base.jsonc", text).unwrap();
    assert_eq!(plan.regions.len(), 3);
    assert_eq!(plan.sites.len(), 6);
    assert_eq!(plan.entries.len(), 7);
    assert_eq!(plan.links.len(), 6);
    assert_eq!(plan.shifts.len(), 24);
}

#[test]
fn view_places_targets() {
    let plan = Plan::parse("base.jsonc", BLUESTONE).unwrap();
    let instances = [
        target("t2", "seq-1", "billing"),
        target("t1", "seq-1", "sheetview"),
    ];
    let view = plan.view(Version(7), &instances, &[]);
    let first = view.target("t1").unwrap();
    assert_eq!(view.version, Version(7));
    assert_eq!(
        view.targets[first].service,
        view.service("sheetview").unwrap()
    );
    assert_eq!(view.target_domain(first), view.domain("seq-1").unwrap());
}

#[test]
fn view_leaves_strangers_out() {
    let plan = Plan::parse("base.jsonc", BLUESTONE).unwrap();
    let instances = [
        target("t1", "cq-1", "billing"),
        target("t2", "seq-1", "mail"),
    ];
    assert!(plan.view(Version(1), &instances, &[]).targets.is_empty());
    let expected = [
        Stranger::Elsewhere {
            name: "t1".into(),
            site: "cq-1".into(),
            domain: "seq-1".into(),
        },
        Stranger::Service {
            name: "t2".into(),
            service: "mail".into(),
        },
    ];
    assert_eq!(plan.strangers(&instances), expected);
}

/// A target is leaving as soon as one of three says so: the platform's list, an
/// operator's drain of the target, or of its site. A view that waited for all
/// three would send work to a target that may stop before answering.
#[rstest]
#[case::target("\"targets\": []", "\"targets\": [\"t1\"]")]
#[case::site("\"sites\": [], \"targets\"", "\"sites\": [\"seq-1\"], \"targets\"")]
fn view_drains_target(#[case] from: &str, #[case] to: &str) {
    let text = BLUESTONE.replacen(from, to, 1);
    let plan = Plan::parse("base.jsonc", &text).unwrap();
    let view = plan.view(Version(1), &[target("t1", "seq-1", "billing")], &[]);
    let states: Vec<State> = view.targets.values().map(|t| t.state).collect();
    assert_eq!(states, [State::Leaving]);
}

#[test]
fn view_shares_blocks() {
    let plan = Plan::parse("base.jsonc", BLUESTONE).unwrap();
    let view = plan.view(Version(1), &[], &[]);
    assert!(Arc::ptr_eq(&view.blocks, &plan.blocks));
    let seq = view.region("seq");
    assert_eq!(view.blocks.region("198.51.100.9".parse().unwrap()), seq);
}
