//! Splits a record into sections, so that a sender can omit sections that the receiver has.
//!
//! The base is split before each top-level field that begins a line, and each overlay is one
//! section. The split is lossless: the sections of the base, concatenated in order, are the base.
//! A receiver that lacks a section, or whose result does not match the digest, has to request the
//! whole record.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::committed::CommittedConfig;
use crate::committed::ConfigError;
use crate::committed::digest_of;
use crate::path::FieldPath;
use crate::source::Source;

/// A section of a record and its digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    /// `base/{field}` or `overlay/{site}`; `base/` for the text before the first top-level field.
    pub name: String,
    /// The digest of the text, see [`digest_of`].
    pub digest: String,
    /// The text; `None` if the receiver already has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

/// A record in which only the sections that the receiver lacks contain their text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The record with its digest, but with empty `base` and `overlays`.
    pub head: CommittedConfig,
    /// All sections of the record in order.
    pub sections: Vec<Section>,
}

const BASE_PREFIX: &str = "base/";
const OVERLAY_PREFIX: &str = "overlay/";

impl CommittedConfig {
    /// Returns all sections of the record with their texts.
    #[must_use]
    pub fn sections(&self) -> Vec<Section> {
        let mut sections = base_sections(&self.base);
        for (site, text) in &self.overlays {
            sections.push(new_section(format!("{OVERLAY_PREFIX}{site}"), text));
        }
        sections
    }

    /// Returns the delta from which a receiver with the sections `known` can build this record.
    #[must_use]
    pub fn delta(&self, known: &[Section]) -> Delta {
        let mut sections = self.sections();
        for section in &mut sections {
            if known.iter().any(|known| known.digest == section.digest) {
                section.text = None;
            }
        }
        Delta {
            head: Self {
                base: String::new(),
                overlays: BTreeMap::new(),
                ..self.clone()
            },
            sections,
        }
    }

    /// Returns the record that a delta describes. Sections without a text are taken from this
    /// record.
    ///
    /// # Errors
    ///
    /// Returns an error if this record lacks a section, or if the result does not match its
    /// digest. The caller then has to fetch the whole record.
    pub fn apply_delta(&self, delta: Delta) -> Result<Self, ConfigError> {
        let local_sections = self.sections();
        let mut built = delta.head;
        built.base = String::new();
        built.overlays = BTreeMap::new();
        for section in delta.sections {
            let local_text = || {
                let matching = local_sections
                    .iter()
                    .find(|local| local.digest == section.digest);
                matching.and_then(|local| local.text.clone())
            };
            let text = section.text.clone().or_else(local_text);
            let text = text.ok_or_else(|| ConfigError::MissingSection(section.name.clone()))?;
            match section.name.strip_prefix(OVERLAY_PREFIX) {
                Some(site) => {
                    built.overlays.insert(site.to_owned(), text);
                }
                None => built.base.push_str(&text),
            }
        }
        built.verify_digest()?;
        Ok(built)
    }
}

fn new_section(name: String, text: &str) -> Section {
    Section {
        name,
        digest: digest_of(text.as_bytes()),
        text: Some(text.to_owned()),
    }
}

/// Splits the base before each top-level field whose key begins a line. Any other top-level field,
/// for example in flow style, belongs to the preceding section.
fn base_sections(base: &str) -> Vec<Section> {
    let source = Source::new("base", base);
    let lines: Vec<&str> = base.split_inclusive('\n').collect();
    let mut boundaries: Vec<(usize, String)> = Vec::new();
    for field in top_level_fields(&source) {
        let line = source.line(&FieldPath::from_keys(&[&field])).unwrap_or(0);
        let begins_line = line > 0
            && lines
                .get(line - 1)
                .is_some_and(|text| text.starts_with(field.as_str()));
        if begins_line {
            boundaries.push((line - 1, field));
        }
    }
    boundaries.sort();
    let preamble_end = boundaries
        .first()
        .map_or(lines.len(), |boundary| boundary.0);
    let mut sections = Vec::new();
    if preamble_end > 0 {
        sections.push(new_section(
            BASE_PREFIX.to_owned(),
            &lines[..preamble_end].concat(),
        ));
    }
    for (position, (line, field)) in boundaries.iter().enumerate() {
        let end = boundaries
            .get(position + 1)
            .map_or(lines.len(), |next| next.0);
        let name = format!("{BASE_PREFIX}{field}");
        sections.push(new_section(name, &lines[*line..end].concat()));
    }
    sections
}

fn top_level_fields(source: &Source) -> Vec<String> {
    let Ok(serde_norway::Value::Mapping(root)) = source.parse() else {
        return Vec::new();
    };
    let keys = root.keys().filter_map(serde_norway::Value::as_str);
    keys.map(str::to_owned).collect()
}
