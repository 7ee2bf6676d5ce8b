//! YAML texts and the lines of their fields.
//!
//! The YAML library keeps no positions of values. [`Source::line`] reads the text once more and
//! stops with an error at the wanted field; the position of that error is the field's.

use std::fmt;

use serde::Deserializer;
use serde::de::DeserializeSeed;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_norway::Value;

use crate::fault::Fault;
use crate::path::FieldPath;
use crate::path::Step;

/// A YAML text and the name of its file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    file: String,
    text: String,
}

impl Source {
    /// Creates a source.
    #[must_use]
    pub fn new(file: &str, text: &str) -> Self {
        Self {
            file: file.to_owned(),
            text: text.to_owned(),
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
    pub fn parse(&self) -> Result<Value, Fault> {
        serde_norway::from_str(&self.text).map_err(|error| Fault {
            file: self.file.clone(),
            line: error.location().map_or(0, |location| location.line()),
            path: FieldPath::new().to_string(),
            reason: error.to_string(),
        })
    }

    /// Returns the line of a field, or `None` when the text has no such field.
    #[must_use]
    pub fn line(&self, path: &FieldPath) -> Option<usize> {
        let deserializer = serde_norway::Deserializer::from_str(&self.text);
        let seed = Locate {
            steps: path.steps(),
        };
        let error = seed.deserialize(deserializer).err()?;
        if !error.to_string().contains(FOUND) {
            return None;
        }
        error.location().map(|location| location.line())
    }

    /// Returns the line of a field, or else of its closest ancestor in the text.
    #[must_use]
    pub fn closest_line(&self, path: &FieldPath) -> usize {
        let mut current = Some(path.clone());
        while let Some(candidate) = current {
            if let Some(line) = self.line(&candidate) {
                return line;
            }
            current = candidate.parent();
        }
        0
    }

    /// Creates a fault at a field.
    #[must_use]
    pub fn fault(&self, path: &FieldPath, reason: impl fmt::Display) -> Fault {
        Fault {
            file: self.file.clone(),
            line: self.closest_line(path),
            path: path.to_string(),
            reason: reason.to_string(),
        }
    }
}

/// The text of the error that ends the search; it cannot come from the library itself.
const FOUND: &str = "\u{1}field found\u{1}";

struct Locate<'a> {
    steps: &'a [Step],
}

impl<'de> DeserializeSeed<'de> for Locate<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

macro_rules! visit_scalar {
    ($($method:ident: $type:ty),*) => {
        $(
            fn $method<E: serde::de::Error>(self, _: $type) -> Result<(), E> {
                self.at_end()
            }
        )*
    };
}

impl Locate<'_> {
    fn at_end<E: serde::de::Error>(&self) -> Result<(), E> {
        if self.steps.is_empty() {
            return Err(E::custom(FOUND));
        }
        Ok(())
    }
}

impl<'de> Visitor<'de> for Locate<'_> {
    type Value = ();

    visit_scalar!(visit_bool: bool, visit_i64: i64, visit_u64: u64, visit_f64: f64, visit_str: &str);

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("any value")
    }

    fn visit_unit<E: serde::de::Error>(self) -> Result<(), E> {
        self.at_end()
    }

    fn visit_none<E: serde::de::Error>(self) -> Result<(), E> {
        self.at_end()
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        self.at_end()?;
        let mut index = 0;
        loop {
            let present = match self.steps.split_first() {
                Some((Step::Item(wanted), rest)) if *wanted == index => {
                    seq.next_element_seed(Locate { steps: rest })?.is_some()
                }
                _ => seq.next_element::<IgnoredAny>()?.is_some(),
            };
            if !present {
                return Ok(());
            }
            index += 1;
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        self.at_end()?;
        while let Some(matches) = map.next_key_seed(LocateKey { steps: self.steps })? {
            if matches {
                let rest = &self.steps[1..];
                map.next_value_seed(Locate { steps: rest })?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }
}

/// Compares a key with the first step; at the last step a match ends the search, so that the
/// position is that of the key and not of a value on a later line.
struct LocateKey<'a> {
    steps: &'a [Step],
}

impl<'de> DeserializeSeed<'de> for LocateKey<'_> {
    type Value = bool;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<bool, D::Error> {
        deserializer.deserialize_any(self)
    }
}

macro_rules! visit_other_key {
    ($($method:ident: $type:ty),*) => {
        $(
            fn $method<E: serde::de::Error>(self, _: $type) -> Result<bool, E> {
                Ok(false)
            }
        )*
    };
}

impl<'de> Visitor<'de> for LocateKey<'_> {
    type Value = bool;

    visit_other_key!(visit_bool: bool, visit_i64: i64, visit_u64: u64, visit_f64: f64);

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a key")
    }

    fn visit_str<E: serde::de::Error>(self, v: &str) -> Result<bool, E> {
        match self.steps {
            [Step::Key(key)] if key == v => Err(E::custom(FOUND)),
            [Step::Key(key), ..] => Ok(key == v),
            _ => Ok(false),
        }
    }

    fn visit_unit<E: serde::de::Error>(self) -> Result<bool, E> {
        Ok(false)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<bool, A::Error> {
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(false)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<bool, A::Error> {
        while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(false)
    }
}
