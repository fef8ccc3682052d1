//! The account as tables of text.

use core::fmt::{self, Write};
use std::sync::Arc;

use crate::tally::{Cross, Group, Report, Tally};

const HEAD: &str = "  taken  in time    late  reject  failed    else   cold    held   piped  room";

/// Lines that a table of pairs shows; the rest is summed up.
const MOST: usize = 20;

/// Prints all tables.
///
/// # Errors
/// If the formatter fails.
pub fn print(report: &Report) -> Result<String, fmt::Error> {
    let mut out = String::new();
    if report.left_out > 0 {
        let count = report.left_out;
        writeln!(
            out,
            "{count} lines were left out by the instances: counts are too low\n"
        )?;
    }
    if report.unread > 0 {
        writeln!(out, "{} lines hold no event\n", report.unread)?;
    }
    group(&mut out, "route", &report.routes)?;
    group(&mut out, "region", &report.regions)?;
    group(&mut out, "instance", &report.instances)?;
    writeln!(out, "{:20}{HEAD}", "all")?;
    tally(&mut out, "", &report.all)?;
    writeln!(out)?;
    let late = "late by, of each route";
    cross(&mut out, late, &report.late)?;
    cross(&mut out, "rejected by, and region", &report.rejected)?;
    let missed = "late or rejected with a slot free in";
    cross(&mut out, missed, &report.missed)?;
    spans(&mut out, report)?;
    Ok(out)
}

fn group(out: &mut String, title: &str, group: &Group) -> fmt::Result {
    writeln!(out, "{title:20}{HEAD}")?;
    for (name, row) in group.names.iter().zip(&group.tallies) {
        tally(out, shown(name), row)?;
    }
    writeln!(out)
}

fn tally(out: &mut String, name: &str, t: &Tally) -> fmt::Result {
    let cold = t.sent.saturating_sub(t.warm);
    writeln!(
        out,
        "{name:20}{:>7} {:>8} {:>7} {:>7} {:>7} {:>7} {cold:>6} {:>7} {:>7} {:>5}",
        t.taken, t.in_time, t.late, t.rejected, t.failed, t.elsewhere, t.held, t.piped, t.room,
    )
}

fn shown(name: &Arc<str>) -> &str {
    if name.is_empty() { "(none)" } else { name }
}

fn cross(out: &mut String, title: &str, cross: &Cross) -> fmt::Result {
    if cross.lines.is_empty() {
        return writeln!(out, "{title}: none\n");
    }
    write!(out, "{title:40}")?;
    for column in &cross.columns {
        write!(out, " {column:>13}")?;
    }
    writeln!(out)?;
    let mut rows: Vec<(&str, &[usize])> = Vec::new();
    for (line, counts) in cross.lines.iter().zip(&cross.counts) {
        rows.push((line, counts));
    }
    // The sort keeps the order of names among equals.
    rows.sort_by_key(|(_, counts)| core::cmp::Reverse(counts.iter().sum::<usize>()));
    let rest = rows.split_off(MOST.min(rows.len()));
    for (line, counts) in rows {
        row(out, line, counts)?;
    }
    if !rest.is_empty() {
        let sum = |column| rest.iter().map(|(_, counts)| counts[column]).sum();
        let sums: Vec<usize> = (0..cross.columns.len()).map(sum).collect();
        row(out, &format!("({} more)", rest.len()), &sums)?;
    }
    writeln!(out)
}

fn row(out: &mut String, line: &str, counts: &[usize]) -> fmt::Result {
    write!(out, "{line:40}")?;
    for count in counts {
        write!(out, " {count:>13}")?;
    }
    writeln!(out)
}

/// In flight against slots in the middle of each span, by service and region.
fn spans(out: &mut String, report: &Report) -> fmt::Result {
    writeln!(out, "in flight of slots in the middle of each span:")?;
    for (number, (service, region)) in report.places.iter().enumerate() {
        writeln!(out, "  [{number}] {service} in {region}")?;
    }
    write!(out, "\n{:>14}  taken   late reject", "from second")?;
    for number in 0..report.places.len() {
        write!(out, " {:>8}", format!("[{number}]"))?;
    }
    writeln!(out)?;
    for span in &report.spans {
        let t = &span.tally;
        let from = span.from;
        write!(
            out,
            "{from:>14.1} {:>6} {:>6} {:>6}",
            t.taken, t.late, t.rejected
        )?;
        for (flying, slots) in &span.usage {
            write!(out, " {:>8}", format!("{flying}/{slots}"))?;
        }
        writeln!(out)?;
    }
    Ok(())
}
