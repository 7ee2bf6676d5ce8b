//! Paths of fields within a YAML document.

use std::fmt;

/// One step from a node to one of its children.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// The value of a key of a mapping.
    Key(String),
    /// An item of a list, counted from 0.
    Item(usize),
}

/// The path from the root of a document to a field.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FieldPath {
    steps: Vec<Step>,
}

impl FieldPath {
    /// Creates the path of the root.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a path of keys that are separated by dots.
    #[must_use]
    pub fn of_keys(keys: &[&str]) -> Self {
        let steps = keys.iter().map(|&key| Step::Key(key.to_owned()));
        Self {
            steps: steps.collect(),
        }
    }

    /// Returns the path extended by a key.
    #[must_use]
    pub fn key(&self, key: &str) -> Self {
        self.with_step(Step::Key(key.to_owned()))
    }

    /// Returns the path extended by the index of a list item.
    #[must_use]
    pub fn item(&self, index: usize) -> Self {
        self.with_step(Step::Item(index))
    }

    /// Returns the path without its last step, or `None` for the root.
    #[must_use]
    pub fn parent(&self) -> Option<Self> {
        let (_, steps) = self.steps.split_last()?;
        Some(Self {
            steps: steps.to_vec(),
        })
    }

    /// Returns the steps from the root.
    #[must_use]
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    fn with_step(&self, step: Step) -> Self {
        let mut steps = self.steps.clone();
        steps.push(step);
        Self { steps }
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.steps.is_empty() {
            return f.write_str("(root)");
        }
        for (position, step) in self.steps.iter().enumerate() {
            match step {
                Step::Key(key) if position == 0 => f.write_str(key)?,
                Step::Key(key) => write!(f, ".{key}")?,
                Step::Item(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}
