//! The runs behind `docs/measurements/shifting.md`: caps and links between
//! regions, as the files in `deploy/` set them.

pub mod cost;
pub mod tally;
pub mod world;

use core::fmt::Write;
use core::time::Duration;
use std::path::Path;
use std::sync::Arc;

use entity::EntityRef;
use intent::bundle::{Bundle, File};
use intent::instance::{Instance, Member, Role};
use steer::process::share::{Guards, Route, SETTLING_TIME};
use steer::version::view::{Incarnation, State, Version, View};

use tally::Tally;
use world::{Figures, Kind, Setup, World};

/// Time for which the fleet runs before it is measured.
const WARM_UP: Duration = Duration::from_secs(SETTLING_TIME.as_secs() + 2);
/// When a loss strikes.
const STRIKE: Duration = Duration::from_secs(WARM_UP.as_secs() + 5);

/// By service, in order of names: mean service time in seconds and bytes of an
/// answer. Both are assumed.
const KINDS: [Kind; 4] = [
    Kind {
        mean: 0.060,
        answer: 60_000,
    },
    Kind {
        mean: 0.040,
        answer: 2_000,
    },
    Kind {
        mean: 0.040,
        answer: 2_000,
    },
    Kind {
        mean: 0.020,
        answer: 40_000,
    },
];

/// Ways to hold caps: whether instances lend, and whether each uses its part
/// alone and not the whole cap.
const WAYS: [(&str, bool, bool); 3] = [
    ("loans", true, true),
    ("no-loans", false, true),
    ("unguarded", false, false),
];

/// What is lost in a case.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Lost {
    Nothing,
    Domain,
    Region,
}

/// Caps and links of a deployment under load and losses.
#[must_use]
pub fn table(deployment: &str, seed: u64, seconds: u64, only: &str) -> String {
    let view = view(deployment);
    let mut out = format!(
        "virtual time; deployment {deployment}, seed {seed}, {seconds} s measured after {} s; \
         a loss strikes 5 s in\n\n",
        WARM_UP.as_secs()
    );
    let losses = [
        ("nothing", Lost::Nothing),
        ("domain", Lost::Domain),
        ("region", Lost::Region),
    ];
    for (name, lost) in losses {
        for load in [0.6, 0.9, 1.2, 2.0] {
            for (word, loans, part) in WAYS {
                let label = format!("{name}-{load} {word}");
                if label.contains(only) {
                    let world = world::run(Setup {
                        view: Arc::clone(&view),
                        kinds: KINDS.to_vec(),
                        load,
                        seed,
                        lost: (domains(&view, lost), STRIKE),
                        span: (WARM_UP, WARM_UP + Duration::from_secs(seconds)),
                        loans,
                        guards: Guards {
                            allotment: part,
                            ..Guards::default()
                        },
                    });
                    report(&mut out, &label, &view, &world);
                }
            }
        }
    }
    out
}

/// Failure domains that are lost: the last region's, or one of them.
fn domains(view: &View, lost: Lost) -> Vec<usize> {
    let Some(region) = view.regions.keys().last() else {
        return Vec::new();
    };
    let all = view.domains.iter().filter(|(_, d)| d.region == region);
    let all: Vec<usize> = all.map(|(key, _)| key.index()).collect();
    let count = match lost {
        Lost::Nothing => 0,
        Lost::Domain => 1,
        Lost::Region => all.len(),
    };
    all[..count].to_vec()
}

fn report(out: &mut String, label: &str, view: &View, world: &World) {
    let over = |link: bool| {
        let of = |t: &&Tally| matches!(t.route, Route::Link { .. }) == link;
        let all = world.tallies.iter().filter(of);
        all.map(Tally::over).max().unwrap_or(0)
    };
    let (shift, link) = (over(false), over(true));
    line(
        out,
        &format!(
            "{label}: over-run shift {shift}/s, link {link} B/s; most waiting {}",
            world.waiting
        ),
    );
    for (service, figures) in view.services.values().zip(&world.figures) {
        let of =
            |t: &&Tally| matches!(&t.route, Route::Shift { service: s, .. } if *s == service.name);
        let busiest = busiest(world.tallies.iter().filter(of));
        let shift = busiest.map_or(String::new(), |t| {
            format!(" | most {} of {} {}", t.most, t.limit, full(t))
        });
        line(out, &format!("{}{shift}", row(&service.name, figures)));
    }
    let links = |t: &&Tally| matches!(t.route, Route::Link { .. });
    if let Some(tally) = busiest(world.tallies.iter().filter(links)) {
        let (route, most, limit) = (&tally.route, tally.most, tally.limit);
        line(out, &format!("  {route}: most {most} of {limit} B"));
    }
    line(out, "");
}

/// The route that came nearest to its limit.
fn busiest<'a>(tallies: impl Iterator<Item = &'a Tally>) -> Option<&'a Tally> {
    tallies.max_by_key(|t| t.most * 1000 / t.limit.max(1))
}

/// How long use took from its begin to nine tenths of the limit.
fn full(tally: &Tally) -> String {
    match (tally.begun, tally.full) {
        (Some(begun), Some(full)) => {
            format!("(nine tenths after {} s)", full.since(begun).as_secs())
        }
        _ => String::new(),
    }
}

fn row(name: &str, figures: &Figures) -> String {
    let quantile = |at| {
        let tenths = figures.latency.value_at_quantile(at) / 100;
        format!("{}.{}", tenths / 10, tenths % 10)
    };
    let share = |part: u64| {
        let hundredths = (part * 10_000).checked_div(figures.asked).unwrap_or(0);
        format!("{}.{:02}", hundredths / 100, hundredths % 100)
    };
    format!(
        "  {name:10} | p50 {:>6} ms | p99 {:>7} ms | refused {:>6} % | of cap {:>6} % | failed {:>5} %",
        quantile(0.5),
        quantile(0.99),
        share(figures.refused),
        share(figures.capped),
        share(figures.failed),
    )
}

fn line(out: &mut String, text: &str) {
    writeln!(out, "{}", text.trim_end()).expect("a string takes all");
}

/// The view of a deployment's base file, with two targets of each service in
/// each failure domain, and every entry instance alive.
fn view(deployment: &str) -> Arc<View> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let path = folder.join(deployment).join("base.jsonc");
    let text = std::fs::read_to_string(&path).expect("the deployment has a base file");
    let bundle = Bundle {
        base: File {
            name: "base.jsonc".into(),
            text: text.into(),
        },
        overlays: Vec::new(),
        blocks: Vec::new(),
    };
    let checked = bundle.check().expect("the base file is checked by tests");
    let plan = &checked.base;
    let mut instances = Vec::new();
    for service in plan.services.values() {
        for &site in &service.sites {
            let site = &plan.sites[site];
            for number in 0..2 {
                instances.push(Instance {
                    name: format!("{}-{}-{number}", service.name, site.name).into(),
                    domain: Arc::clone(&plan.domains[site.domain].name),
                    state: State::Live,
                    role: Role::Target {
                        addr: ([127, 0, 0, 1], 1).into(),
                        service: Arc::clone(&service.name),
                        site: Arc::clone(&site.name),
                        slots: 3,
                    },
                });
            }
        }
    }
    let members = plan.entries.values().enumerate().map(|(at, entry)| Member {
        name: Arc::clone(&entry.name),
        incarnation: Incarnation(at as u64 + 1),
        domain: Arc::clone(&plan.domains[entry.domain].name),
        addr: ([127, 0, 0, 1], 1).into(),
        // The model finds an instance by its port.
        peer: ([127, 0, 0, 1], u16::try_from(at).expect("few instances")).into(),
        state: State::Live,
    });
    let members: Vec<Member> = members.collect();
    Arc::new(plan.view(Version(1), &instances, &members))
}
