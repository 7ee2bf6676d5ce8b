//! Faults in configuration files, each with its file, line and path.

use std::collections::BTreeSet;
use std::error::Error;
use std::fmt;

use crate::source::Source;

/// One fault in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ValidationError {
    /// The file, as it was named when it was read.
    pub file: String,
    /// The line, counted from 1; 0 when the fault concerns the whole file.
    pub line: usize,
    /// The path of the field.
    pub path: String,
    /// What is wrong, and what is expected.
    pub reason: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            path,
            reason,
        } = self;
        write!(f, "{file}:{line}: {path}: {reason}")
    }
}

/// All faults that were found, in the order of files and lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValidationErrors {
    errors: BTreeSet<ValidationError>,
}

impl ValidationErrors {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a fault; one that is already known is not repeated.
    pub fn add(&mut self, error: ValidationError) {
        self.errors.insert(error);
    }

    /// Adds all faults of another set.
    pub fn extend(&mut self, other: Self) {
        self.errors.extend(other.errors);
    }

    /// Names the site in faults of the base that only occur after the site's overlay.
    pub(crate) fn append_site_to_new_errors(&mut self, base: &Source, site: &str, known: &Self) {
        let named = self.errors.iter().map(|error| {
            let mut error = error.clone();
            if error.file == base.file() && !known.errors.contains(&error) {
                error.reason = format!("{} (at the site {site})", error.reason);
            }
            error
        });
        self.errors = named.collect();
    }

    /// Returns whether no fault was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// Returns the number of faults.
    #[must_use]
    pub fn len(&self) -> usize {
        self.errors.len()
    }

    /// Returns the faults in the order of files and lines.
    pub fn iter(&self) -> impl Iterator<Item = &ValidationError> {
        self.errors.iter()
    }

    /// Returns the value when no fault was found.
    ///
    /// # Errors
    ///
    /// Returns the faults when there are some.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            return Ok(value);
        }
        Err(self)
    }
}

impl From<ValidationError> for ValidationErrors {
    fn from(error: ValidationError) -> Self {
        Self {
            errors: BTreeSet::from([error]),
        }
    }
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, error) in self.errors.iter().enumerate() {
            if position > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl Error for ValidationErrors {}
