//! Merges the overlay of a site into the base.
//!
//! An overlay has the structure of the base, but contains only the fields that differ at its site.
//! It can change the value of a field that the base contains. It cannot add fields or named
//! entries, such as a service, and cannot change the type of a value. A list is replaced as a
//! whole.

use serde_norway::Mapping;
use serde_norway::Value;

use crate::path::FieldPath;
use crate::source::Source;
use crate::validation_error::ValidationErrors;

/// Returns the base with the values of the overlay. `source` is the file from which `overlay` was
/// parsed; errors are reported at its lines.
///
/// # Errors
///
/// Returns all errors: fields that the base does not contain, and values of another type than in
/// the base.
pub fn merge(base: &Value, overlay: &Value, source: &Source) -> Result<Value, ValidationErrors> {
    let (merged, errors) = merge_valid_fields(base, overlay, source);
    errors.into_result(merged)
}

/// Merges the valid fields of an overlay into the base, and returns the errors of the others.
pub(crate) fn merge_valid_fields(
    base: &Value,
    overlay: &Value,
    source: &Source,
) -> (Value, ValidationErrors) {
    let mut overlay_merge = OverlayMerge {
        source,
        errors: ValidationErrors::new(),
    };
    // An empty file is a document without a value, and changes nothing.
    if overlay.is_null() {
        return (base.clone(), overlay_merge.errors);
    }
    let merged = overlay_merge.merge_value(base, overlay, &FieldPath::new());
    (merged, overlay_merge.errors)
}

struct OverlayMerge<'a> {
    source: &'a Source,
    errors: ValidationErrors,
}

impl OverlayMerge<'_> {
    fn merge_value(&mut self, base: &Value, overlay: &Value, path: &FieldPath) -> Value {
        match (base, overlay) {
            (Value::Mapping(base), Value::Mapping(overlay)) => {
                Value::Mapping(self.merge_mapping(base, overlay, path))
            }
            _ if type_name(base) == type_name(overlay) => overlay.clone(),
            _ => {
                let (found, expected) = (type_name(overlay), type_name(base));
                self.add_error(
                    path,
                    &format!("expected {expected} as in the base, found {found}"),
                );
                base.clone()
            }
        }
    }

    fn merge_mapping(&mut self, base: &Mapping, overlay: &Mapping, path: &FieldPath) -> Mapping {
        let mut merged = base.clone();
        for (key, value) in overlay {
            let Some(name) = key.as_str() else {
                self.add_error(path, "the mapping has a key that is not a string");
                continue;
            };
            let path = path.join_key(name);
            let Some(base_value) = base.get(key) else {
                self.add_error(&path, UNKNOWN_FIELD);
                continue;
            };
            let value = self.merge_value(base_value, value, &path);
            merged.insert(key.clone(), value);
        }
        merged
    }

    fn add_error(&mut self, path: &FieldPath, reason: &str) {
        self.errors.add(self.source.error_at(path, reason));
    }
}

const UNKNOWN_FIELD: &str =
    "the base has no such field; an overlay can only change fields of the base";

/// Returns the name of a value's type for error messages.
pub(crate) fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "no value",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Sequence(_) => "a list",
        Value::Mapping(_) => "a mapping",
        Value::Tagged(_) => "a tagged value",
    }
}
