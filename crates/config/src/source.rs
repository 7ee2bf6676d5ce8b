//! YAML files and the lines of their fields.
//!
//! `serde_norway` does not provide the position of a value, but its errors contain a position.
//! `LineIndex` therefore deserializes a file with visitors that reject each key and each scalar,
//! and takes the line from the error. The parser has consumed the rejected scalar by then, so
//! deserialization continues with the next one.

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

/// The content of a YAML file and the name of the file.
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
    /// Creates a source. The file name only occurs in error messages.
    #[must_use]
    pub fn new(file: &str, text: &str) -> Self {
        Self {
            file: file.to_owned(),
            text: text.to_owned(),
            index: OnceLock::new(),
        }
    }

    /// Returns the file name for error messages.
    #[must_use]
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the content of the file.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Parses the content.
    ///
    /// # Errors
    ///
    /// Returns an error if the content is not exactly one YAML document, or if a mapping has the
    /// same key twice.
    pub fn parse(&self) -> Result<Value, ValidationError> {
        serde_norway::from_str(&self.text).map_err(|error| ValidationError {
            file: self.file.clone(),
            line: error.location().map_or(0, |location| location.line()),
            path: FieldPath::new().to_string(),
            reason: error.to_string(),
        })
    }

    /// Returns the line of a field, counted from 1, or `None` if the file has no such field.
    #[must_use]
    pub fn line(&self, path: &FieldPath) -> Option<usize> {
        let index = self.index.get_or_init(|| LineIndex::from_text(&self.text));
        let root = path.segments().is_empty().then_some(FIRST_LINE);
        index.lines.get(path).copied().or(root)
    }

    /// Returns the line of a field, or of its nearest ancestor if the file has no such field.
    #[must_use]
    pub fn nearest_line(&self, path: &FieldPath) -> usize {
        let mut ancestor = Some(path.clone());
        while let Some(candidate) = ancestor {
            if let Some(line) = self.line(&candidate) {
                return line;
            }
            ancestor = candidate.parent();
        }
        FIRST_LINE
    }

    /// Creates an error at the line of a field or of its nearest ancestor.
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

/// The lines of all keys and list items of a YAML file.
#[derive(Clone, Debug, Default)]
struct LineIndex {
    lines: BTreeMap<FieldPath, usize>,
}

/// The message of the error that rejects a scalar. The control characters distinguish it from the
/// messages of `serde_norway`.
const REJECTED_SCALAR: &str = "\u{1}scalar rejected\u{1}";
/// The text before the line number in an error of `serde_norway`.
const LINE_PREFIX: &str = " at line ";
const FIRST_LINE: usize = 1;

impl LineIndex {
    /// Indexes a text up to its end or its first syntax error.
    fn from_text(text: &str) -> Self {
        let mut index = Self::default();
        let deserializer = serde_norway::Deserializer::from_str(text);
        let seed = LineCollector {
            index: &mut index,
            path: FieldPath::new(),
        };
        // `Source::parse` reports the syntax error; the lines before it are used.
        drop(seed.deserialize(deserializer));
        index
    }

    /// Adds the line of a field. Each ancestor without a line gets the same line.
    fn add(&mut self, path: &FieldPath, line: usize) {
        let mut ancestor = Some(path.clone());
        while let Some(path) = ancestor {
            if self.lines.contains_key(&path) {
                return;
            }
            ancestor = path.parent();
            self.lines.insert(path, line);
        }
    }
}

/// Returns the line of an error that rejected a scalar, or `None` for any other error.
fn rejected_scalar_line(error: &impl Error) -> Option<usize> {
    let text = error.to_string();
    // The library puts the path of the value before the message, and a key may contain any text.
    // The last occurrence is therefore the message.
    let (_, position) = text.rsplit_once(REJECTED_SCALAR)?;
    match position.strip_prefix(LINE_PREFIX) {
        Some(position) => position.split(' ').next()?.parse().ok(),
        // The library omits a position at the start of the text.
        None => Some(FIRST_LINE),
    }
}

/// Deserializes a value and indexes the lines of everything that it contains.
struct LineCollector<'a> {
    index: &'a mut LineIndex,
    path: FieldPath,
}

impl<'de> DeserializeSeed<'de> for LineCollector<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        let Self { index, path } = self;
        let visitor = LineCollector {
            index: &mut *index,
            path: path.clone(),
        };
        match deserializer.deserialize_any(visitor) {
            Ok(()) => Ok(()),
            Err(error) => match rejected_scalar_line(&error) {
                Some(line) => {
                    index.add(&path, line);
                    Ok(())
                }
                None => Err(error),
            },
        }
    }
}

macro_rules! reject_scalars {
    ($value:ty: $($method:ident($type:ty)),*) => {
        $(
            fn $method<E: Error>(self, _: $type) -> Result<$value, E> {
                Err(E::custom(REJECTED_SCALAR))
            }
        )*

        fn visit_unit<E: Error>(self) -> Result<$value, E> {
            Err(E::custom(REJECTED_SCALAR))
        }
    };
}

impl<'de> Visitor<'de> for LineCollector<'_> {
    type Value = ();

    reject_scalars!((): visit_bool(bool), visit_i64(i64), visit_u64(u64), visit_f64(f64),
        visit_i128(i128), visit_u128(u128), visit_str(&str));

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("any value")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        for position in 0.. {
            let item = LineCollector {
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
            map.next_value_seed(LineCollector {
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

/// Deserializes a key with its line; yields `None` if the key is not a string.
struct KeySeed;

impl<'de> DeserializeSeed<'de> for KeySeed {
    type Value = Option<(String, usize)>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        let mut name = None;
        let visitor = KeyVisitor { name: &mut name };
        match deserializer.deserialize_any(visitor) {
            Ok(IgnoredAny) => Ok(None),
            Err(error) => match rejected_scalar_line(&error) {
                Some(line) => Ok(name.map(|name| (name, line))),
                None => Err(error),
            },
        }
    }
}

/// Stores the text of a string key and rejects the key, so that the error contains its line.
struct KeyVisitor<'a> {
    name: &'a mut Option<String>,
}

impl<'de> Visitor<'de> for KeyVisitor<'_> {
    type Value = IgnoredAny;

    reject_scalars!(IgnoredAny: visit_bool(bool), visit_i64(i64), visit_u64(u64), visit_f64(f64),
        visit_i128(i128), visit_u128(u128));

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a key")
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<IgnoredAny, E> {
        *self.name = Some(v.to_owned());
        Err(E::custom(REJECTED_SCALAR))
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
