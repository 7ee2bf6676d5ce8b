//! Paths of fields in a YAML document.

use std::fmt;

/// Selects a child of a value in a YAML document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PathSegment {
    /// The value of a key in a mapping.
    Key(String),
    /// An item of a list, counted from 0.
    Index(usize),
}

/// The path from the root of a document to a field, such as `pipelines.booking.stages[0].service`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FieldPath {
    segments: Vec<PathSegment>,
}

impl FieldPath {
    /// Creates the path of the root.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a path that consists of mapping keys only.
    #[must_use]
    pub fn from_keys(keys: &[&str]) -> Self {
        let segments = keys.iter().map(|&key| PathSegment::Key(key.to_owned()));
        Self {
            segments: segments.collect(),
        }
    }

    /// Returns the path extended by a key.
    #[must_use]
    pub fn join_key(&self, key: &str) -> Self {
        self.join(PathSegment::Key(key.to_owned()))
    }

    /// Returns the path extended by the index of a list item.
    #[must_use]
    pub fn join_index(&self, index: usize) -> Self {
        self.join(PathSegment::Index(index))
    }

    /// Returns the path without its last segment, or `None` for the root.
    #[must_use]
    pub fn parent(&self) -> Option<Self> {
        let (_, segments) = self.segments.split_last()?;
        Some(Self {
            segments: segments.to_vec(),
        })
    }

    /// Returns the segments, beginning at the root.
    #[must_use]
    pub fn segments(&self) -> &[PathSegment] {
        &self.segments
    }

    fn join(&self, segment: PathSegment) -> Self {
        let mut segments = self.segments.clone();
        segments.push(segment);
        Self { segments }
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.segments.is_empty() {
            return f.write_str("(root)");
        }
        for (position, segment) in self.segments.iter().enumerate() {
            match segment {
                PathSegment::Key(key) if position == 0 => f.write_str(key)?,
                PathSegment::Key(key) => write!(f, ".{key}")?,
                PathSegment::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}
