//! Diagnostics: errors and warnings about files and configurations.

use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The file or configuration is rejected.
    Error,
    /// The file or configuration is accepted, but probably not what the operator intended.
    Warning,
}

/// An error or warning with its location and a suggested fix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    pub severity: Severity,
    /// File name; `inventory`, `rules` or `configuration` if the text did not come from a file.
    pub file: Box<str>,
    /// Line, counted from 1, if the text could not be parsed.
    pub line: Option<usize>,
    /// Path of the value inside the file, such as `servers[3].domain`.
    pub path: Box<str>,
    /// Description of the problem.
    pub message: Box<str>,
    /// Suggested correction.
    pub fix: Box<str>,
}

impl Diagnostic {
    pub fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }
}

impl fmt::Display for Diagnostic {
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

/// Collects the diagnostics of one file.
pub(crate) struct Diagnostics {
    file: Box<str>,
    list: Vec<Diagnostic>,
}

impl Diagnostics {
    pub fn new(file: &str) -> Diagnostics {
        Diagnostics {
            file: file.into(),
            list: Vec::new(),
        }
    }

    pub fn error(&mut self, path: &str, message: impl Into<Box<str>>, fix: impl Into<Box<str>>) {
        self.add(Severity::Error, None, path, message.into(), fix.into());
    }

    pub fn warning(&mut self, path: &str, message: impl Into<Box<str>>, fix: impl Into<Box<str>>) {
        self.add(Severity::Warning, None, path, message.into(), fix.into());
    }

    /// Adds an error with a line instead of a path.
    pub fn error_at(&mut self, line: usize, message: impl Into<Box<str>>, fix: &str) {
        self.add(Severity::Error, Some(line), "", message.into(), fix.into());
    }

    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub fn into_vec(self) -> Vec<Diagnostic> {
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
        self.list.push(Diagnostic {
            severity,
            file,
            line,
            path,
            message,
            fix,
        });
    }
}
