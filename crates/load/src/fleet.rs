//! What the configuration of a fleet costs, over its size.

use std::sync::Arc;
use std::time::Instant;

use intent::bundle::{Bundle, File};
use intent::document::{self, install};
use intent::plan::Plan;
use steer::process::config;

use crate::setup::Error;
use crate::shape::Shape;

/// The target's shape with fewer sites, and what grows with them.
const SITES: [Shape; 5] = [
    with_sites(2, 6, 6, 7),
    with_sites(3, 9, 29, 188),
    with_sites(6, 18, 58, 375),
    with_sites(11, 35, 115, 750),
    Shape::TARGET,
];

/// Numbers of services at the target's other sizes.
const SERVICES: [usize; 4] = [1, 4, 8, 16];

const fn with_sites(regions: usize, domains: usize, sites: usize, entries: usize) -> Shape {
    Shape {
        regions,
        domains,
        sites,
        entries,
        ..Shape::TARGET
    }
}

/// Prints a row for each size.
pub fn print() -> Result<(), Error> {
    println!("regions domains sites entries services | base B  check ms  install ms");
    for shape in SITES {
        row(&shape)?;
    }
    for services in SERVICES {
        row(&Shape {
            services,
            ..Shape::TARGET
        })?;
    }
    Ok(())
}

fn row(shape: &Shape) -> Result<(), Error> {
    let text: Arc<str> = shape.base().to_string().into();
    let bundle = Bundle {
        base: File {
            name: "base".into(),
            text: Arc::clone(&text),
        },
        overlays: Vec::new(),
        blocks: Vec::new(),
    };
    let begin = Instant::now();
    bundle.check().map_err(|f| refused(&f))?;
    let check = begin.elapsed();
    let documents = document::documents(&bundle).map_err(|f| refused(&f))?;
    let files: Vec<config::File> = documents
        .iter()
        .map(|d| config::File {
            name: Arc::clone(&d.name),
            hash: d.hash,
        })
        .collect();
    let body = |hash| {
        let found = documents.iter().find(|d| d.hash == hash)?;
        Some(Arc::from(found.text.as_bytes()))
    };
    let begin = Instant::now();
    let plan: Result<Plan, _> = install::plan(&files, "d0", body);
    let install = begin.elapsed();
    plan.map_err(|e| refused(&e))?;
    println!(
        "{:>7} {:>7} {:>5} {:>7} {:>8} | {:>6} {:>8.1} {:>10.1}",
        shape.regions,
        shape.domains,
        shape.sites,
        shape.entries,
        shape.services,
        text.len(),
        check.as_secs_f64() * 1e3,
        install.as_secs_f64() * 1e3,
    );
    Ok(())
}

fn refused(error: &impl core::fmt::Debug) -> Error {
    Error::Refused(format!("{error:?}"))
}
