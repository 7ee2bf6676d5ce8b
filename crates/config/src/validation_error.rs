//! Errors in configuration files, each with its file, line and field path.

use std::collections::BTreeSet;
use std::error::Error;
use std::fmt;

use crate::source::Source;

/// An error in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ValidationError {
    /// The file name of the [`Source`].
    pub file: String,
    /// The line, counted from 1; 0 if the error has no position.
    pub line: usize,
    /// The path of the field, or `(root)`.
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

/// A set of errors, ordered by file and line.
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

    /// Adds an error, unless the set contains it already.
    pub fn add(&mut self, error: ValidationError) {
        self.errors.insert(error);
    }

    /// Adds all errors of another set.
    pub fn extend(&mut self, other: Self) {
        self.errors.extend(other.errors);
    }

    /// Appends the name of the site to the reason of each error in the base file that the overlay
    /// of the site causes. `base_errors` are the errors of the base without the overlay.
    pub(crate) fn append_site_to_new_errors(
        &mut self,
        base: &Source,
        site: &str,
        base_errors: &Self,
    ) {
        let with_site = self.errors.iter().map(|error| {
            let mut error = error.clone();
            if error.file == base.file() && !base_errors.errors.contains(&error) {
                error.reason = format!("{} (at the site {site})", error.reason);
            }
            error
        });
        self.errors = with_site.collect();
    }

    /// Returns whether the set contains no error.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// Returns the number of errors.
    #[must_use]
    pub fn len(&self) -> usize {
        self.errors.len()
    }

    /// Iterates over the errors, ordered by file and line.
    pub fn iter(&self) -> impl Iterator<Item = &ValidationError> {
        self.errors.iter()
    }

    /// Returns `value` if the set is empty.
    ///
    /// # Errors
    ///
    /// Returns the set if it contains an error.
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
