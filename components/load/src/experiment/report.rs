//! Figures and verdict of one experiment.

use std::fmt;

use crate::model::stats::Group;

/// A bound that was fixed before the measurement.
#[derive(Clone, Debug)]
pub struct Goal {
    /// Name.
    pub name: &'static str,
    /// Measured figure.
    pub value: f64,
    /// Lower bound, if any.
    pub min: Option<f64>,
    /// Upper bound, if any.
    pub max: Option<f64>,
}

impl Goal {
    /// The figure must not be above `max`.
    pub fn at_most(name: &'static str, value: f64, max: f64) -> Self {
        Goal {
            name,
            value,
            min: None,
            max: Some(max),
        }
    }

    /// The figure must not be below `min`.
    pub fn at_least(name: &'static str, value: f64, min: f64) -> Self {
        Goal {
            name,
            value,
            min: Some(min),
            max: None,
        }
    }

    /// True if the figure is within its bounds; a figure that is no number is not.
    pub fn met(&self) -> bool {
        let above = self.min.is_none_or(|min| self.value >= min);
        let below = self.max.is_none_or(|max| self.value <= max);
        above && below && !self.value.is_nan()
    }
}

/// Figures and verdict of one experiment.
#[derive(Clone, Debug)]
pub struct Report {
    /// Name of the experiment.
    pub name: &'static str,
    /// Seed.
    pub seed: u64,
    /// Lines of figures.
    pub lines: Vec<String>,
    /// Goals with their figures.
    pub goals: Vec<Goal>,
}

impl Report {
    /// Creates a report without figures.
    pub fn new(name: &'static str, seed: u64) -> Self {
        Report {
            name,
            seed,
            lines: Vec::new(),
            goals: Vec::new(),
        }
    }

    /// Adds the figures of a group of requests.
    pub fn group(&mut self, run: &str, group: &Group) {
        let ms = |q| group.quantile_ms(q);
        self.lines.push(format!(
            "run={run} requests={} refused={:.4} late={:.4} p50_ms={:.2} p95_ms={:.2} p99_ms={:.2} p999_ms={:.2}",
            group.requests,
            group.refused_share(),
            group.late as f64 / group.requests.max(1) as f64,
            ms(0.5),
            ms(0.95),
            ms(0.99),
            ms(0.999),
        ));
        if !group.refused.is_empty() {
            let reasons = group.refused.iter();
            let reasons = reasons.map(|(why, n)| format!(" {why:?}={n}").to_lowercase());
            self.lines
                .push(format!("run={run} refusals{}", reasons.collect::<String>()));
        }
    }

    /// Adds a baseline figure beside that of the mechanism.
    pub fn compare(&mut self, figure: &str, baseline: f64, mechanism: f64) {
        let ratio = mechanism / baseline;
        self.lines.push(format!(
            "figure={figure} baseline={baseline:.3} mechanism={mechanism:.3} ratio={ratio:.4}"
        ));
    }

    /// Adds any other figure.
    pub fn figure(&mut self, figure: &str, value: f64) {
        self.lines.push(format!("figure={figure} value={value:.4}"));
    }

    /// Names of the missed goals.
    pub fn missed(&self) -> Vec<&'static str> {
        let missed = self.goals.iter().filter(|g| !g.met());
        missed.map(|g| g.name).collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        for goal in &self.goals {
            write!(f, "goal={} value={:.4}", goal.name, goal.value)?;
            if let Some(min) = goal.min {
                write!(f, " min={min}")?;
            }
            if let Some(max) = goal.max {
                write!(f, " max={max}")?;
            }
            writeln!(f, " met={}", goal.met())?;
        }
        write!(f, "experiment={} seed={} ", self.name, self.seed)?;
        let missed = self.missed();
        if missed.is_empty() {
            write!(f, "verdict=met")
        } else {
            write!(f, "verdict=missed goals={}", missed.join(","))
        }
    }
}
