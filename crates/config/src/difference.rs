//! Compares two configurations field by field.

use std::collections::BTreeSet;

use serde::Serialize;
use serde_norway::Value;

use crate::path::FieldPath;
use crate::resolve::ConfigSources;
use crate::source::Source;
use crate::validation_error::ValidationErrors;

/// A field whose value differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldDifference {
    /// `base`, or `overlay` and the site, such as `overlay arita`.
    pub part: String,
    /// The path of the field.
    pub path: String,
    /// The earlier value in YAML flow style; `None` if the field was added.
    pub before: Option<String>,
    /// The later value in YAML flow style; `None` if the field was removed.
    pub after: Option<String>,
}

/// Returns all fields that differ: first those of the base, then those of the overlays by site.
///
/// Comments and formatting are ignored.
///
/// # Errors
///
/// Returns the syntax error of the first file that cannot be parsed.
pub fn compare_sources(
    before: &ConfigSources,
    after: &ConfigSources,
) -> Result<Vec<FieldDifference>, ValidationErrors> {
    let mut differences = Vec::new();
    compare_files(
        "base",
        Some(&before.base),
        Some(&after.base),
        &mut differences,
    )?;
    let sites: BTreeSet<&String> = before
        .overlays
        .keys()
        .chain(after.overlays.keys())
        .collect();
    for site in sites {
        let part = format!("overlay {site}");
        let before = before.overlays.get(site);
        compare_files(&part, before, after.overlays.get(site), &mut differences)?;
    }
    Ok(differences)
}

fn compare_files(
    part: &str,
    before: Option<&Source>,
    after: Option<&Source>,
    differences: &mut Vec<FieldDifference>,
) -> Result<(), ValidationErrors> {
    let before = before.map(Source::parse).transpose()?;
    let after = after.map(Source::parse).transpose()?;
    compare_values(
        part,
        &FieldPath::new(),
        before.as_ref(),
        after.as_ref(),
        differences,
    );
    Ok(())
}

fn compare_values(
    part: &str,
    path: &FieldPath,
    before: Option<&Value>,
    after: Option<&Value>,
    differences: &mut Vec<FieldDifference>,
) {
    match (before, after) {
        (Some(before), Some(after)) if before == after => {}
        (Some(Value::Mapping(before)), Some(Value::Mapping(after))) => {
            let added = after.keys().filter(|key| !before.contains_key(key));
            for key in before.keys().chain(added) {
                let path = path.join_key(&render_on_one_line(key));
                compare_values(part, &path, before.get(key), after.get(key), differences);
            }
        }
        (Some(Value::Sequence(before)), Some(Value::Sequence(after)))
            if before.len() == after.len() =>
        {
            for (index, (before, after)) in before.iter().zip(after).enumerate() {
                compare_values(
                    part,
                    &path.join_index(index),
                    Some(before),
                    Some(after),
                    differences,
                );
            }
        }
        _ => differences.push(FieldDifference {
            part: part.to_owned(),
            path: path.to_string(),
            before: before.map(render_on_one_line),
            after: after.map(render_on_one_line),
        }),
    }
}

/// Renders a value on one line: a string without quotes, any other value as JSON, which is valid
/// YAML in flow style.
fn render_on_one_line(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        _ => serde_json::to_string(value).unwrap_or_else(|error| error.to_string()),
    }
}
