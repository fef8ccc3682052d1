//! Moves by sites that come, go or drain, and by caps that rise.

use std::sync::Arc;

use steer::version::view::{Region, Service, State};

use super::{Cause, Move, Permille, cap, regions, services};
use crate::plan::Plan;

/// Moves between two plans; only those of `only`'s callers if it is given.
pub(super) fn moves(old: &Plan, new: &Plan, only: Option<&str>) -> Vec<Move> {
    let mut moves = Vec::new();
    for (before, after) in services(old, new) {
        for (from, to) in regions(old, new) {
            let name = &old.regions[from].name;
            if only.is_none_or(|region| region == &**name) {
                let old = Local::new(old, before, from);
                let new = Local::new(new, after, to);
                compare(&old, &new, &mut moves);
            }
        }
    }
    moves.extend(raised(old, new, only));
    moves
}

/// One service's places for the callers of one region.
struct Local<'a> {
    plan: &'a Plan,
    service: Service,
    region: Region,
    live: Vec<&'a Arc<str>>,
}

impl<'a> Local<'a> {
    fn new(plan: &'a Plan, service: Service, region: Region) -> Self {
        let sites = plan.services[service].sites.iter();
        let live = sites
            .filter(|&&site| plan.site_region(site) == region)
            .filter(|&&site| plan.sites[site].state == State::Live)
            .map(|&site| &plan.sites[site].name)
            .collect();
        Self {
            plan,
            service,
            region,
            live,
        }
    }

    /// Regions that shifts may take the callers to, where a site is live.
    fn havens(&self) -> Vec<&'a Arc<str>> {
        let own =
            |s: &&steer::version::view::Shift| s.service == self.service && s.from == self.region;
        let shifts = self.plan.shifts.iter().filter(own);
        let live = shifts.filter(|s| !Local::new(self.plan, self.service, s.to).live.is_empty());
        live.map(|s| &self.plan.regions[s.to].name).collect()
    }

    fn make(&self, from: &Arc<str>, to: Option<&Arc<str>>, cause: Cause, share: Permille) -> Move {
        let service = &self.plan.services[self.service].name;
        Move {
            service: Arc::clone(service),
            from: Arc::clone(from),
            to: to.cloned(),
            cause,
            share,
            cap: to.and_then(|to| cap(self.plan, service, from, to)),
        }
    }
}

fn compare(old: &Local<'_>, new: &Local<'_>, moves: &mut Vec<Move>) {
    let name = &new.plan.regions[new.region].name;
    match (old.live.is_empty(), new.live.is_empty()) {
        (true, true) => {}
        (false, true) => {
            let havens = new.havens();
            if havens.is_empty() {
                moves.push(new.make(name, None, Cause::Left, Permille::ALL));
            }
            let all = havens.into_iter();
            moves.extend(all.map(|to| new.make(name, Some(to), Cause::Left, Permille::ALL)));
        }
        (true, false) => {
            let all = old.havens().into_iter();
            moves.extend(all.map(|from| new.make(from, Some(name), Cause::Home, Permille::ALL)));
        }
        (false, false) => moves.extend(within(old, new, name)),
    }
}

/// Traffic spreads evenly over a region's live sites as far as the files tell;
/// sites that go give their share away, sites that come draw theirs.
fn within(old: &Local<'_>, new: &Local<'_>, name: &Arc<str>) -> Option<Move> {
    let gone = old
        .live
        .iter()
        .filter(|site| !new.live.contains(site))
        .count();
    let come = new
        .live
        .iter()
        .filter(|site| !old.live.contains(site))
        .count();
    let share = portion(gone, old.live.len()).max(portion(come, new.live.len()));
    (share > Permille(0)).then(|| new.make(name, Some(name), Cause::Within, share))
}

fn portion(part: usize, whole: usize) -> Permille {
    Permille::of(part as u64, whole as u64)
}

/// Caps that rose, and shifts that are new.
fn raised(old: &Plan, new: &Plan, only: Option<&str>) -> Vec<Move> {
    let mut moves = Vec::new();
    for shift in &new.shifts {
        let service = &new.services[shift.service].name;
        let from = &new.regions[shift.from].name;
        let to = &new.regions[shift.to].name;
        let before = cap(old, service, from, to).unwrap_or(0);
        let known = old.service(service).is_some() && old.region(from).is_some();
        if shift.cap > before && known && only.is_none_or(|region| region == &**from) {
            let cause = Cause::Cap {
                old: before,
                new: shift.cap,
            };
            moves.push(Move {
                service: Arc::clone(service),
                from: Arc::clone(from),
                to: Some(Arc::clone(to)),
                cause,
                share: Permille(0),
                cap: Some(shift.cap),
            });
        }
    }
    moves
}
