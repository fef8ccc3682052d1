//! A plan as short readable text.

use core::fmt;

use steer::version::view::{Domain, Region, State};

use super::Plan;

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for region in self.regions.keys() {
            self.print_region(f, region)?;
        }
        for class in self.classes.values() {
            writeln!(f, "class {} queue {}%", class.name, class.queue_percent)?;
        }
        self.print_services(f)?;
        for link in &self.links {
            let (from, to) = (self.region_name(link.from), self.region_name(link.to));
            writeln!(
                f,
                "link {from} -> {to} {} Mbit/s",
                link.bits_per_s / 1_000_000
            )?;
        }
        self.print_shifts(f)?;
        for name in &self.leaving {
            writeln!(f, "target {name} leaving")?;
        }
        writeln!(f, "blocks {} ranges", self.blocks.len())?;
        writeln!(
            f,
            "moves at most {}% of a region's callers a change",
            self.move_percent
        )
    }
}

impl Plan {
    /// Name of a region.
    #[must_use]
    pub fn region_name(&self, region: Region) -> &str {
        &self.regions[region].name
    }

    fn print_region(&self, f: &mut fmt::Formatter<'_>, region: Region) -> fmt::Result {
        writeln!(f, "region {}", self.region_name(region))?;
        for (domain, data) in self.domains.iter() {
            if data.region == region {
                writeln!(f, "  domain {}", data.name)?;
                self.print_domain(f, domain)?;
            }
        }
        Ok(())
    }

    fn print_domain(&self, f: &mut fmt::Formatter<'_>, domain: Domain) -> fmt::Result {
        for entry in self.entries.values().filter(|e| e.domain == domain) {
            writeln!(f, "    entry {}{}", entry.name, suffix(entry.state))?;
        }
        for site in self.sites.values().filter(|s| s.domain == domain) {
            writeln!(f, "    site {}{}", site.name, suffix(site.state))?;
        }
        Ok(())
    }

    fn print_services(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for service in self.services.values() {
            let class = &self.classes[service.class].name;
            let kind = if service.is_idempotent {
                "idempotent"
            } else {
                "at most once"
            };
            let deadline = service.deadline.as_millis();
            write!(
                f,
                "service {} {class} {kind} {deadline} ms at",
                service.name
            )?;
            for &site in &service.sites {
                write!(f, " {}", self.sites[site].name)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }

    fn print_shifts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for shift in &self.shifts {
            let service = &self.services[shift.service].name;
            let (from, to) = (self.region_name(shift.from), self.region_name(shift.to));
            let ramp = shift.ramp.as_secs();
            writeln!(
                f,
                "shift {service} {from} -> {to} {}/s ramp {ramp} s",
                shift.cap
            )?;
        }
        Ok(())
    }
}

fn suffix(state: State) -> &'static str {
    match state {
        State::Live => "",
        State::Leaving => " leaving",
    }
}
