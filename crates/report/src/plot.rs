//! The account as drawings.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    SeriesLabelPosition, WHITE,
};
use thiserror::Error;

use crate::tally::{Report, Share, Tally};

/// A drawing can't be written.
#[derive(Debug, Error)]
#[error("can't draw {path}: {cause}; give a folder that can be written to")]
pub struct Error {
    path: PathBuf,
    cause: String,
}

const SIZE: (u32, u32) = (900, 420);

/// One line of a drawing.
pub struct Series {
    /// Its name.
    pub name: String,
    /// Seconds, and a figure.
    pub points: Vec<(f64, f64)>,
}

/// Draws everything into `folder`; gives the files.
///
/// # Errors
/// If a file can't be written.
pub fn draw(report: &Report, folder: &Path) -> Result<Vec<PathBuf>, Error> {
    let mut files = Vec::new();
    let mut add = |name: &str, title: &str, series: &[Series]| {
        let path = folder.join(format!("{name}.svg"));
        chart(&path, title, series).map(|()| files.push(path))
    };
    add("outcomes", "requests in each span", &outcomes(report))?;
    add(
        "elsewhere",
        "share run in other regions",
        &elsewhere(report),
    )?;
    add(
        "rejected",
        "rejections in each span, by cause",
        &rejected(report),
    )?;
    let mut services: Vec<&Arc<str>> = report.places.iter().map(|p| &p.0).collect();
    services.dedup();
    for service in services {
        let title = format!("{service}: in flight over slots");
        add(&format!("load-{service}"), &title, &load(report, service))?;
    }
    Ok(files)
}

fn outcomes(report: &Report) -> Vec<Series> {
    let line = |name: &str, count: fn(&Tally) -> usize| Series {
        name: name.to_owned(),
        points: report
            .spans
            .iter()
            .map(|s| (s.from, float(count(&s.tally))))
            .collect(),
    };
    vec![
        line("in time", |t| t.in_time),
        line("late", |t| t.late),
        line("rejected", |t| t.rejected),
        line("failed", |t| t.failed),
    ]
}

fn rejected(report: &Report) -> Vec<Series> {
    let line = |(number, cause): (usize, &String)| Series {
        name: cause.clone(),
        points: report
            .spans
            .iter()
            .map(|span| (span.from, float(span.rejected[number])))
            .collect(),
    };
    report.rejected.lines.iter().enumerate().map(line).collect()
}

fn elsewhere(report: &Report) -> Vec<Series> {
    let line = |share: &Share| Series {
        name: share.region.to_string(),
        points: report
            .spans
            .iter()
            .zip(&share.counts)
            .map(|(span, (all, far))| (span.from, float(*far) / float((*all).max(1))))
            .collect(),
    };
    report.shares.iter().map(line).collect()
}

fn load(report: &Report, service: &str) -> Vec<Series> {
    let places = report.places.iter().enumerate();
    let places = places.filter(|(_, p)| *p.0 == *service);
    let line = |(number, place): (usize, &(Arc<str>, Arc<str>))| Series {
        name: place.1.to_string(),
        points: report
            .spans
            .iter()
            .map(|span| {
                let (flying, slots) = span.usage[number];
                (span.from, float(flying) / float(slots.max(1)))
            })
            .collect(),
    };
    places.map(line).collect()
}

#[allow(clippy::cast_precision_loss, reason = "counts of a few thousand")]
fn float(count: usize) -> f64 {
    count as f64
}

/// Draws lines over time into one file.
///
/// # Errors
/// If the file can't be written.
pub fn chart(path: &Path, title: &str, series: &[Series]) -> Result<(), Error> {
    lines(path, title, series).map_err(|cause| Error {
        path: path.to_owned(),
        cause,
    })
}

fn lines(path: &Path, title: &str, series: &[Series]) -> Result<(), String> {
    let points = || series.iter().flat_map(|s| &s.points);
    let from = points().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let to = points().map(|p| p.0).fold(f64::NEG_INFINITY, f64::max);
    let most = points().map(|p| p.1).fold(1.0, f64::max) * 1.05;
    let (from, to) = if from < to { (from, to) } else { (0.0, 1.0) };
    let text = |error: &dyn core::fmt::Display| error.to_string();
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| text(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(from..to, 0.0..most)
        .map_err(|e| text(&e))?;
    let mesh = chart.configure_mesh().x_desc("seconds").draw();
    mesh.map_err(|e| text(&e))?;
    for (number, line) in series.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let drawn = chart.draw_series(LineSeries::new(line.points.clone(), &colour));
        drawn
            .map_err(|e| text(&e))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    let labels = chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .border_style(plotters::prelude::BLACK)
        .background_style(WHITE.mix(0.8))
        .draw();
    labels.map_err(|e| text(&e))?;
    area.present().map_err(|e| text(&e))
}
