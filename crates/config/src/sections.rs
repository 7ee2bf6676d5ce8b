//! Splitting a record into sections, so that distribution sends only what has changed.
//!
//! The base is cut before each of its top-level fields and each overlay is one section. The cut
//! is lossless: the texts of the base's sections, one after the other, are the base. A receiver
//! that lacks a section, or whose result does not match the digest, has to ask for the whole
//! record.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::committed::CommittedConfig;
use crate::committed::ConfigError;
use crate::committed::digest_of;
use crate::path::FieldPath;
use crate::source::Source;

/// A part of a record and its digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    /// The name: `base/{field}` or `overlay/{site}`.
    pub name: String,
    /// The digest of the text.
    pub digest: String,
    /// The text; absent when the receiver has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

/// A record of which only the changed sections carry their text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The record with its own digest, but without its texts.
    pub head: CommittedConfig,
    /// All sections of the record in order.
    pub sections: Vec<Section>,
}

const BASE_PREFIX: &str = "base/";
const OVERLAY_PREFIX: &str = "overlay/";

impl CommittedConfig {
    /// Returns the sections of the record with their texts.
    #[must_use]
    pub fn sections(&self) -> Vec<Section> {
        let mut sections = base_sections(&self.base);
        for (site, text) in &self.overlays {
            sections.push(section(format!("{OVERLAY_PREFIX}{site}"), text));
        }
        sections
    }

    /// Returns what a holder of other sections needs to build this record.
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

    /// Builds the record that a delta describes from this one.
    ///
    /// # Errors
    ///
    /// Returns that a section is missing, or that the result does not match its digest; the
    /// whole record has to be fetched then.
    pub fn apply_delta(&self, delta: Delta) -> Result<Self, ConfigError> {
        let own = self.sections();
        let mut built = delta.head;
        built.base = String::new();
        built.overlays = BTreeMap::new();
        for section in delta.sections {
            let held = || {
                let matching = own.iter().find(|own| own.digest == section.digest);
                matching.and_then(|own| own.text.clone())
            };
            let text = section.text.clone().or_else(held);
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

fn section(name: String, text: &str) -> Section {
    Section {
        name,
        digest: digest_of(text.as_bytes()),
        text: Some(text.to_owned()),
    }
}

/// Cuts the base before each top-level field that begins a line of its own.
fn base_sections(base: &str) -> Vec<Section> {
    let source = Source::new("base", base);
    let lines: Vec<&str> = base.split_inclusive('\n').collect();
    let mut cuts: Vec<(usize, String)> = Vec::new();
    for field in top_level_fields(&source) {
        let line = source.line(&FieldPath::from_keys(&[&field])).unwrap_or(0);
        let begins_line = line > 0
            && lines
                .get(line - 1)
                .is_some_and(|text| text.starts_with(field.as_str()));
        if begins_line {
            cuts.push((line - 1, field));
        }
    }
    cuts.sort();
    let first = cuts.first().map_or(lines.len(), |cut| cut.0);
    let mut sections = Vec::new();
    if first > 0 {
        sections.push(section(BASE_PREFIX.to_owned(), &lines[..first].concat()));
    }
    for (position, (line, field)) in cuts.iter().enumerate() {
        let end = cuts.get(position + 1).map_or(lines.len(), |next| next.0);
        let name = format!("{BASE_PREFIX}{field}");
        sections.push(section(name, &lines[*line..end].concat()));
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
