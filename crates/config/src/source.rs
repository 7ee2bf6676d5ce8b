//! YAML texts and the lines of their fields.
//!
//! The YAML library keeps no positions of values; only its errors have one. [`LineIndex`] reads a
//! text once and refuses each key and each scalar list item, which yields the position, and then
//! goes on: the refused scalar is consumed, so the reader is at the next one.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::OnceLock;

use serde::Deserializer;
use serde::de::DeserializeSeed;
use serde::de::EnumAccess;
use serde::de::Error;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::VariantAccess;
use serde::de::Visitor;
use serde_norway::Value;

use crate::path::FieldPath;
use crate::validation_error::ValidationError;

/// A YAML text and the name of its file.
#[derive(Clone, Debug)]
pub struct Source {
    file: String,
    text: String,
    index: OnceLock<LineIndex>,
}

impl PartialEq for Source {
    fn eq(&self, other: &Self) -> bool {
        (&self.file, &self.text) == (&other.file, &other.text)
    }
}

impl Eq for Source {}

impl Source {
    /// Creates a source.
    #[must_use]
    pub fn new(file: &str, text: &str) -> Self {
        Self {
            file: file.to_owned(),
            text: text.to_owned(),
            index: OnceLock::new(),
        }
    }

    /// Returns the name of the file.
    #[must_use]
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the text.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Parses the text.
    ///
    /// # Errors
    ///
    /// Returns a fault when the text is not one YAML document, or when a key occurs twice.
    pub fn parse(&self) -> Result<Value, ValidationError> {
        serde_norway::from_str(&self.text).map_err(|error| ValidationError {
            file: self.file.clone(),
            line: error.location().map_or(0, |location| location.line()),
            path: FieldPath::new().to_string(),
            reason: error.to_string(),
        })
    }

    /// Returns the line of a field, or `None` when the text has no such field.
    #[must_use]
    pub fn line(&self, path: &FieldPath) -> Option<usize> {
        let index = self.index.get_or_init(|| LineIndex::of(&self.text));
        let root = path.segments().is_empty().then_some(FIRST_LINE);
        index.lines.get(path).copied().or(root)
    }

    /// Returns the line of a field, or else of its closest ancestor in the text.
    #[must_use]
    pub fn nearest_line(&self, path: &FieldPath) -> usize {
        let mut current = Some(path.clone());
        while let Some(candidate) = current {
            if let Some(line) = self.line(&candidate) {
                return line;
            }
            current = candidate.parent();
        }
        FIRST_LINE
    }

    /// Creates a fault at a field.
    #[must_use]
    pub fn error_at(&self, path: &FieldPath, reason: impl fmt::Display) -> ValidationError {
        ValidationError {
            file: self.file.clone(),
            line: self.nearest_line(path),
            path: path.to_string(),
            reason: reason.to_string(),
        }
    }
}

/// The lines of all keys and list items of a text.
#[derive(Clone, Debug, Default)]
struct LineIndex {
    lines: BTreeMap<FieldPath, usize>,
}

/// The text of the error that refuses a scalar; it cannot come from the library itself.
const REFUSED: &str = "\u{1}scalar refused\u{1}";
/// How the library's errors give their line.
const LINE_PREFIX: &str = " at line ";
const FIRST_LINE: usize = 1;

impl LineIndex {
    /// Reads a text up to its end or its first error.
    fn of(text: &str) -> Self {
        let mut index = Self::default();
        let deserializer = serde_norway::Deserializer::from_str(text);
        let seed = Node {
            index: &mut index,
            path: FieldPath::new(),
        };
        // A text with an error is refused by `Source::parse`; what was read until then is used.
        drop(seed.deserialize(deserializer));
        index
    }

    /// Adds the line of a field and of its ancestors, which begin there unless they have a key.
    fn add(&mut self, path: &FieldPath, line: usize) {
        let mut current = Some(path.clone());
        while let Some(path) = current {
            if self.lines.contains_key(&path) {
                return;
            }
            current = path.parent();
            self.lines.insert(path, line);
        }
    }
}

/// Returns the line of an error that refused a scalar, or `None` for any other error.
fn refused_line(error: &impl Error) -> Option<usize> {
    let text = error.to_string();
    // Keys stand before the message, so the last occurrence is the message.
    let (_, position) = text.rsplit_once(REFUSED)?;
    match position.strip_prefix(LINE_PREFIX) {
        Some(position) => position.split(' ').next()?.parse().ok(),
        // The library leaves out the very beginning of the text.
        None => Some(FIRST_LINE),
    }
}

/// Reads a node and adds the lines of what it contains.
struct Node<'a> {
    index: &'a mut LineIndex,
    path: FieldPath,
}

impl<'de> DeserializeSeed<'de> for Node<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        let Self { index, path } = self;
        let visitor = Node {
            index: &mut *index,
            path: path.clone(),
        };
        match deserializer.deserialize_any(visitor) {
            Ok(()) => Ok(()),
            Err(error) => match refused_line(&error) {
                Some(line) => {
                    index.add(&path, line);
                    Ok(())
                }
                None => Err(error),
            },
        }
    }
}

macro_rules! refuse_scalars {
    ($value:ty: $($method:ident($type:ty)),*) => {
        $(
            fn $method<E: Error>(self, _: $type) -> Result<$value, E> {
                Err(E::custom(REFUSED))
            }
        )*

        fn visit_unit<E: Error>(self) -> Result<$value, E> {
            Err(E::custom(REFUSED))
        }
    };
}

impl<'de> Visitor<'de> for Node<'_> {
    type Value = ();

    refuse_scalars!((): visit_bool(bool), visit_i64(i64), visit_u64(u64), visit_f64(f64),
        visit_i128(i128), visit_u128(u128), visit_str(&str));

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("any value")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        for position in 0.. {
            let item = Node {
                index: &mut *self.index,
                path: self.path.join_index(position),
            };
            if seq.next_element_seed(item)?.is_none() {
                break;
            }
        }
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key_seed(KeySeed)? {
            let Some((name, line)) = key else {
                map.next_value::<IgnoredAny>()?;
                continue;
            };
            let path = self.path.join_key(&name);
            self.index.add(&path, line);
            map.next_value_seed(Node {
                index: &mut *self.index,
                path,
            })?;
        }
        Ok(())
    }

    fn visit_enum<A: EnumAccess<'de>>(self, data: A) -> Result<(), A::Error> {
        let (_, variant) = data.variant::<IgnoredAny>()?;
        variant.newtype_variant_seed(self)
    }
}

/// Reads a key with its line; a key that is not a string yields `None`.
struct KeySeed;

impl<'de> DeserializeSeed<'de> for KeySeed {
    type Value = Option<(String, usize)>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        let mut name = None;
        let visitor = KeyVisitor { name: &mut name };
        match deserializer.deserialize_any(visitor) {
            Ok(IgnoredAny) => Ok(None),
            Err(error) => match refused_line(&error) {
                Some(line) => Ok(name.map(|name| (name, line))),
                None => Err(error),
            },
        }
    }
}

/// Keeps the text of a key and refuses it.
struct KeyVisitor<'a> {
    name: &'a mut Option<String>,
}

impl<'de> Visitor<'de> for KeyVisitor<'_> {
    type Value = IgnoredAny;

    refuse_scalars!(IgnoredAny: visit_bool(bool), visit_i64(i64), visit_u64(u64), visit_f64(f64),
        visit_i128(i128), visit_u128(u128));

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a key")
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<IgnoredAny, E> {
        *self.name = Some(v.to_owned());
        Err(E::custom(REFUSED))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, seq: A) -> Result<IgnoredAny, A::Error> {
        IgnoredAny.visit_seq(seq)
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<IgnoredAny, A::Error> {
        IgnoredAny.visit_map(map)
    }

    fn visit_enum<A: EnumAccess<'de>>(self, data: A) -> Result<IgnoredAny, A::Error> {
        IgnoredAny.visit_enum(data)
    }
}
