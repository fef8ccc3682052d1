//! Drawings of a trial: means over its seeds, over time.

use std::path::{Path, PathBuf};

use emulator::plan::Plan;
use emulator::score::Score;
use emulator::trial::Trial;
use report::plot::{Error, Series, chart};

/// Seconds between the points of worth and rejections, and of load.
const WINDOW: f64 = 2.0;
const SAMPLE: f64 = 0.5;

/// Draws everything into `folder`; gives the files.
pub fn all(plan: &Plan, trial: &Trial, folder: &Path, stem: &str) -> Result<Vec<PathBuf>, Error> {
    let regions: Vec<String> = plan.regions().iter().map(ToString::to_string).collect();
    let kinds: Vec<String> = plan.kinds.iter().map(|k| k.name.to_string()).collect();
    let mut files = Vec::new();
    let mut draw = |name: &str, title: &str, lines: Vec<Series>| {
        let path = folder.join(format!("{stem}-{name}.svg"));
        chart(&path, title, &lines).map(|()| files.push(path))
    };
    draw(
        "regions",
        "worth by region",
        mean(trial, &regions, WINDOW, |s| &s.regions),
    )?;
    draw(
        "kinds",
        "worth by kind",
        mean(trial, &kinds, WINDOW, |s| &s.kinds),
    )?;
    let rejections = mean(trial, &regions, WINDOW, |s| &s.rejections);
    draw(
        "rejections",
        "rejections in each span of 2 s, by region",
        rejections,
    )?;
    let loads = mean(trial, &places(plan, &regions), SAMPLE, |s| &s.load);
    for (number, service) in plan.services.iter().enumerate() {
        let from = number * regions.len();
        let own = loads[from..from + regions.len()].iter().zip(&regions);
        let own = own.map(|(series, region)| Series {
            name: region.clone(),
            points: series.points.clone(),
        });
        let title = format!("{}: in flight over slots", service.name);
        draw(&format!("load-{}", service.name), &title, own.collect())?;
    }
    Ok(files)
}

fn places(plan: &Plan, regions: &[String]) -> Vec<String> {
    let names = plan.services.iter().flat_map(|service| {
        regions
            .iter()
            .map(move |region| format!("{} {region}", service.name))
    });
    names.collect()
}

/// Means over seeds of figures by line and time; a seed whose run was shorter
/// counts as far as it goes.
fn mean(
    trial: &Trial,
    names: &[String],
    step: f64,
    figures: impl Fn(&Score) -> &Vec<Vec<f64>>,
) -> Vec<Series> {
    let line = |(number, name): (usize, &String)| {
        let length = trial.scores.iter().map(|s| figures(s)[number].len()).max();
        let points = (0..length.unwrap_or(0)).map(|at| {
            let all = trial
                .scores
                .iter()
                .filter_map(|s| figures(s)[number].get(at));
            let all: Vec<f64> = all.copied().collect();
            #[allow(clippy::cast_precision_loss, reason = "seeds and points are few")]
            let (count, at) = (all.len() as f64, at as f64);
            (at * step, all.iter().sum::<f64>() / count)
        });
        Series {
            name: name.clone(),
            points: points.collect(),
        }
    };
    names.iter().enumerate().map(line).collect()
}
