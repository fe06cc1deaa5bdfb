//! Formatting of plans for operators.

use std::fmt;

use crate::drain::Resource;
use crate::plan::{Plan, ServicePlan};

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (title, resources) in [
            ("added", &self.added),
            ("removed", &self.removed),
            ("changed", &self.changed),
            ("drain starts", &self.drained),
            ("drain ends", &self.undrained),
        ] {
            write_resources(f, title, resources)?;
        }
        for service in &self.services {
            write!(f, "{service}")?;
        }
        Ok(())
    }
}

fn write_resources(f: &mut fmt::Formatter<'_>, title: &str, resources: &[Resource]) -> fmt::Result {
    for resource in resources {
        writeln!(f, "{title}: {resource}")?;
    }
    Ok(())
}

impl fmt::Display for ServicePlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "service {}", self.service)?;
        let width = self
            .domains
            .iter()
            .map(|d| d.domain.len())
            .max()
            .unwrap_or(0)
            .max(6);
        writeln!(
            f,
            "  {:width$}  {:>12}  {:>11}  {:>12}  {:>12}  {:>11}",
            "domain", "share before", "share after", "share at end", "slots before", "slots after"
        )?;
        for d in &self.domains {
            writeln!(
                f,
                "  {:width$}  {:>10.2} %  {:>9.2} %  {:>10.2} %  {:>12}  {:>11}",
                d.domain,
                d.share_before * 100.0,
                d.share_after * 100.0,
                d.share_at_end * 100.0,
                d.slots_before,
                d.slots_after
            )?;
        }
        let (step, moved) = (self.moved_at_once * 100.0, self.max_moved_in_minute * 100.0);
        let cap = self.cap_after * 100.0;
        write!(
            f,
            "  moves {step:.2} % at once, {moved:.2} % in a minute, cap {cap:.2} %"
        )?;
        if let Some(end_ms) = self.end_ms {
            write!(f, ", shift complete at {end_ms} ms platform time")?;
        }
        writeln!(f)?;
        if self.exceeds_cap() {
            writeln!(
                f,
                "  EXCEEDS ITS CAP: use a planned shift to move the traffic in steps"
            )?;
        }
        Ok(())
    }
}
