//! Comparison of two configurations by field.

use std::collections::BTreeSet;

use serde::Serialize;
use serde_norway::Value;

use crate::path::FieldPath;
use crate::resolve::ConfigSources;
use crate::source::Source;
use crate::validation_error::ValidationErrors;

/// A field whose value differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldDifference {
    /// `base`, or `overlay` and the site.
    pub part: String,
    /// The path of the field.
    pub path: String,
    /// The earlier value in YAML flow style; absent when the field is new.
    pub before: Option<String>,
    /// The later value in YAML flow style; absent when the field is gone.
    pub after: Option<String>,
}

/// Returns all fields that differ, in the order of parts and paths.
///
/// Comments and layout make no difference.
///
/// # Errors
///
/// Returns the faults of texts that cannot be parsed.
pub fn compare_sources(
    before: &ConfigSources,
    after: &ConfigSources,
) -> Result<Vec<FieldDifference>, ValidationErrors> {
    let mut found = Vec::new();
    compare_parts("base", Some(&before.base), Some(&after.base), &mut found)?;
    let sites: BTreeSet<&String> = before
        .overlays
        .keys()
        .chain(after.overlays.keys())
        .collect();
    for site in sites {
        let part = format!("overlay {site}");
        let before = before.overlays.get(site);
        compare_parts(&part, before, after.overlays.get(site), &mut found)?;
    }
    Ok(found)
}

fn compare_parts(
    part: &str,
    before: Option<&Source>,
    after: Option<&Source>,
    found: &mut Vec<FieldDifference>,
) -> Result<(), ValidationErrors> {
    let before = before.map(Source::parse).transpose()?;
    let after = after.map(Source::parse).transpose()?;
    compare(
        part,
        &FieldPath::new(),
        before.as_ref(),
        after.as_ref(),
        found,
    );
    Ok(())
}

fn compare(
    part: &str,
    path: &FieldPath,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<FieldDifference>,
) {
    match (before, after) {
        (Some(before), Some(after)) if before == after => {}
        (Some(Value::Mapping(before)), Some(Value::Mapping(after))) => {
            let added = after.keys().filter(|key| !before.contains_key(key));
            for key in before.keys().chain(added) {
                let path = path.join_key(&render(key));
                compare(part, &path, before.get(key), after.get(key), found);
            }
        }
        (Some(Value::Sequence(before)), Some(Value::Sequence(after)))
            if before.len() == after.len() =>
        {
            for (index, (before, after)) in before.iter().zip(after).enumerate() {
                compare(
                    part,
                    &path.join_index(index),
                    Some(before),
                    Some(after),
                    found,
                );
            }
        }
        _ => found.push(FieldDifference {
            part: part.to_owned(),
            path: path.to_string(),
            before: before.map(render),
            after: after.map(render),
        }),
    }
}

/// Renders a value on one line. JSON is valid YAML in flow style.
fn render(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        _ => serde_json::to_string(value).unwrap_or_else(|error| error.to_string()),
    }
}
