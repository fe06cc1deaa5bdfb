//! Faults found in files and configurations.

use std::fmt;

/// How serious a fault is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The file or configuration is rejected.
    Error,
    /// The file or configuration is accepted, but probably not what the operator wants.
    Warning,
}

/// One fault with its place and its fix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// How serious it is.
    pub severity: Severity,
    /// File name, or `inventory` or `rules` when the text did not come from a file.
    pub file: Box<str>,
    /// Line, counted from 1, when the text could not be read as JSON.
    pub line: Option<usize>,
    /// Path of the value inside the file, such as `servers[3].domain`.
    pub path: Box<str>,
    /// What is wrong.
    pub message: Box<str>,
    /// How to put it right.
    pub fix: Box<str>,
}

impl Fault {
    /// True if the file or configuration is rejected because of it.
    pub fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.path.is_empty() {
            write!(f, ": {}", self.path)?;
        }
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, ": {severity}: {}", self.message)?;
        if !self.fix.is_empty() {
            write!(f, "; {}", self.fix)?;
        }
        Ok(())
    }
}

/// Collects the faults of one file.
pub(crate) struct Faults {
    /// File that the faults are in.
    file: Box<str>,
    /// Faults found so far.
    list: Vec<Fault>,
}

impl Faults {
    /// Starts without faults.
    pub fn new(file: &str) -> Faults {
        Faults {
            file: file.into(),
            list: Vec::new(),
        }
    }

    /// Adds an error.
    pub fn error(&mut self, path: &str, message: impl Into<Box<str>>, fix: impl Into<Box<str>>) {
        self.add(Severity::Error, None, path, message.into(), fix.into());
    }

    /// Adds a warning.
    pub fn warning(&mut self, path: &str, message: impl Into<Box<str>>, fix: impl Into<Box<str>>) {
        self.add(Severity::Warning, None, path, message.into(), fix.into());
    }

    /// Adds an error at a line.
    pub fn error_at(&mut self, line: usize, message: impl Into<Box<str>>, fix: &str) {
        self.add(Severity::Error, Some(line), "", message.into(), fix.into());
    }

    /// True if no fault was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The faults found.
    pub fn into_vec(self) -> Vec<Fault> {
        self.list
    }

    fn add(
        &mut self,
        severity: Severity,
        line: Option<usize>,
        path: &str,
        message: Box<str>,
        fix: Box<str>,
    ) {
        let (file, path) = (self.file.clone(), path.into());
        self.list.push(Fault {
            severity,
            file,
            line,
            path,
            message,
            fix,
        });
    }
}
