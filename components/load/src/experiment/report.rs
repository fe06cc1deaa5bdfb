//! Report of an experiment: figures, goals and verdict.

use std::fmt;

use crate::simulation::stats::RequestStats;

/// A measured figure with the bounds that it must keep.
#[derive(Clone, Debug)]
pub struct Goal {
    pub name: &'static str,
    pub value: f64,
    pub min: Option<f64>,
    pub max: Option<f64>,
}

impl Goal {
    /// Creates a goal that is met if the value is `max` or less.
    pub fn at_most(name: &'static str, value: f64, max: f64) -> Self {
        Goal {
            name,
            value,
            min: None,
            max: Some(max),
        }
    }

    /// Creates a goal that is met if the value is `min` or more.
    pub fn at_least(name: &'static str, value: f64, min: f64) -> Self {
        Goal {
            name,
            value,
            min: Some(min),
            max: None,
        }
    }

    /// Returns true if the value is within its bounds; NaN never is.
    pub fn met(&self) -> bool {
        let above = self.min.is_none_or(|min| self.value >= min);
        let below = self.max.is_none_or(|max| self.value <= max);
        above && below && !self.value.is_nan()
    }
}

/// Figures and goals of one experiment; printed as `key=value` lines with the verdict last.
#[derive(Clone, Debug)]
pub struct Report {
    pub name: &'static str,
    pub seed: u64,
    /// Figures as `key=value` lines.
    pub lines: Vec<String>,
    pub goals: Vec<Goal>,
}

impl Report {
    pub fn new(name: &'static str, seed: u64) -> Self {
        Report {
            name,
            seed,
            lines: Vec::new(),
            goals: Vec::new(),
        }
    }

    /// Adds a line with the statistics of a group of requests, and one with its refusals by reason.
    pub fn add_group(&mut self, run: &str, group: &RequestStats) {
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

    /// Adds a figure of the baseline and of the mechanism, with their ratio.
    pub fn add_comparison(&mut self, figure: &str, baseline: f64, mechanism: f64) {
        let ratio = mechanism / baseline;
        self.lines.push(format!(
            "figure={figure} baseline={baseline:.3} mechanism={mechanism:.3} ratio={ratio:.4}"
        ));
    }

    /// Adds a single figure.
    pub fn add_figure(&mut self, figure: &str, value: f64) {
        self.lines.push(format!("figure={figure} value={value:.4}"));
    }

    /// Returns the names of the missed goals.
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
